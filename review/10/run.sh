#!/usr/bin/env bash
# Loses a zone of entry hosts, the planner's, while a replica leaves. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run.
set -u
cd "$(dirname "$0")" || exit 2
standin=../bin/standin3
[ -x "$standin" ] && [ -x ../../target/turmericshunt ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
exec "$standin" -program "$(cd ../.. && pwd)/target/turmericshunt" -record record.txt lost-zone
