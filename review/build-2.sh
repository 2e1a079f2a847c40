#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/. Run it after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/rolling ./review/_standins-2/platform
