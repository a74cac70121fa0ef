#!/usr/bin/env bash
# A long request that goes through another host, an answer without a length, and a crash of the replica: exits with 1 if
# a client gets a part of the replica's body as a success. TROUBLE=0: neither partition nor crash. PARTITION=0: the
# crash alone, for comparison.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec timeout 110 target/review/standin early-reset review/1
