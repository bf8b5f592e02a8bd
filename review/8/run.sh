#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/poplarwinch ] && [ -x target/review-2/review-2 ] || { echo "build first: the build line of deploy/system.toml, then review/build-2.sh"; exit 2; }
exec target/review-2/review-2 late-crash review/8
