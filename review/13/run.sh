#!/usr/bin/env bash
# Plays the case models: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 plays it without the
# disruption. Build before with the build line of deploy/system.toml and with review/build-3.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/poplarwinch ] && [ -x target/review-3/standin-3 ] || { echo "build first"; exit 2; }
exec target/review-3/standin-3 -case models -trouble=$trouble -record "$folder/record.txt"
