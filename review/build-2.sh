#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. It needs no network beyond the module cache, and comes after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-2/review-2 ./review/standin-2
