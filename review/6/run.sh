#!/usr/bin/env bash
# Plays the case of claim.txt and writes record.txt. With TROUBLE=0 it does the same without
# the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# It needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/deckpulley-platform ] && [ -x target/review-2/rolling ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
target/review-2/rolling -program "$PWD/target/deckpulley-platform" -folder "$folder" \
  -record "$here/record.txt" -trouble="$trouble"
