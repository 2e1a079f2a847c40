#!/usr/bin/env bash
# Counts the tests, the other test functions (fuzz targets, benchmarks, examples)
# and the assertion lines of all *_test.go files at a revision and in the working
# tree, prints them side by side, and fails if a count has decreased.
#
# Usage: scripts/test-counts.sh [REVISION]     default: HEAD
set -euo pipefail
cd "$(dirname "$0")/.."

revision=${1:-HEAD}
git rev-parse --verify --quiet "$revision^{commit}" > /dev/null || { echo "unknown revision $revision" >&2; exit 2; }

# count prints how many lines of test files match a pattern, at a revision or in
# the working tree including untracked files.
count() {
  local where=$1 pattern=$2
  if [ "$where" = tree ]; then
    { git grep --untracked -hE "$pattern" -- '*_test.go' || true; } | wc -l
  else
    { git grep -hE "$pattern" "$where" -- '*_test.go' || true; } | wc -l
  fi
}

status=0
printf '%-12s %12s %12s\n' "" "$(git rev-parse --short "$revision")" "working tree"
while IFS='|' read -r name pattern; do
  before=$(count "$revision" "$pattern")
  after=$(count tree "$pattern")
  note=
  if [ "$after" -lt "$before" ]; then
    note="  DECREASED by $((before - after))"
    status=1
  fi
  printf '%-12s %12d %12d%s\n' "$name" "$before" "$after" "$note"
done << 'PATTERNS'
tests|^func Test[A-Z0-9_]
fuzz|^func Fuzz[A-Z0-9_]
benchmarks|^func Benchmark[A-Z0-9_]
examples|^func Example(_?[A-Za-z0-9_]*)?\(
assertions|\.(Error|Errorf|Fatal|Fatalf)\(
PATTERNS
exit "$status"
