#!/usr/bin/env bash
# Runs the case of this folder; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
case=review/$(basename "$(dirname "${BASH_SOURCE[0]}")")
[ -x target/turmericshunt ] && [ -x target/review-2/standin3 ] || { echo "couldn't run: build first" >&2; exit 2; }
exec target/review-2/standin3 -program target/turmericshunt -record "$case/record.txt" lost-zone
