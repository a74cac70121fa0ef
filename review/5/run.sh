#!/usr/bin/env bash
# A planned stop of a host while requests that it has read wait for a free slot: exits with 1 if the connection of one that
# was never passed on ends without an answer. TROUBLE=0: no stop.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec timeout 110 target/review/standin waiting-at-stop review/5
