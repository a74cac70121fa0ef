#!/usr/bin/env bash
# A part of prompts that crashes replicas comes in one session after the other, each with a document of its own: exits with 1 if
# more than three requests with the part reach replicas later than 3 s after the fifth crash. TROUBLE=0: the part crashes nothing.
# SESSIONS=1: one session only, for comparison.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec timeout 115 target/review/standin bad-sessions review/5
