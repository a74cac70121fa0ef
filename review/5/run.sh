#!/usr/bin/env bash
# A part of prompts that crashes replicas is refused by all hosts; then all hosts are killed at once and start again: exits with
# 1 if more than three requests with the part reach replicas later than 3 s after the fifth crash, without those sent before
# the hosts are in touch again. TROUBLE=0: neither crashes nor kills. KILL=0: no kill, for comparison.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec timeout 110 target/review/standin forgotten review/5
