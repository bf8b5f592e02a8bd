#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The deploy file's build command makes the program under test, target/poplarwinch.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
