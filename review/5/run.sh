#!/usr/bin/env bash
# Prompts of 19 shared parts, the 18th of which crashes replicas: exits with 1 if more than three requests with it reach
# replicas later than 3 s after the fifth crash. TROUBLE=0: the part crashes nothing. BAD_AFTER=3: the part is the fourth, for
# comparison.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec timeout 110 target/review/standin many-parts review/5
