#!/usr/bin/env bash
# Builds the stand-ins of the review, and the project's programs by the deploy file's
# build line if they are not there yet.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/deckpulley-platform ] || bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
go build -o target/review/standins ./review/_standins/platform
