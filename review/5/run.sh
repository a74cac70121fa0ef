#!/usr/bin/env bash
# All prompts hold a part that crashes replicas, from the first request on: exits with 1 if more than three of them reach
# replicas later than 3 s after the fifth crash. TROUBLE=0: the part crashes nothing.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec timeout 110 target/review/standin all-bad review/5
