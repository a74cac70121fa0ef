#!/usr/bin/env bash
# Builds the stand-ins of the cases, the project's own ones among them, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/_standin
