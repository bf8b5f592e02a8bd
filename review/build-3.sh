#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs no network: they use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/ ./review/standin-3
