#!/usr/bin/env bash
# Runs every fuzz target for a while: scripts/fuzz.sh [30s]. A failing input is
# kept under the package's testdata/fuzz and fails from then on as a test.
set -euo pipefail
cd "$(dirname "$0")/.."

duration=${1:-30s}
status=0
while IFS=: read -r file line; do
  package=./$(dirname "$file")
  target=$(sed -E 's/^func (Fuzz[A-Za-z0-9]+).*/\1/' <<< "$line")
  if output=$(go test "$package" -run '^$' -fuzz "^$target\$" -fuzztime "$duration" -parallel 4 2>&1); then
    printf '%-16s %-24s %s\n' "$package" "$target" "$(grep -E 'execs:' <<< "$output" | tail -1)"
    continue
  fi
  # The engine reports its own time limit as a failure when a worker is busy at
  # the end; a real failure names the input that it wrote.
  if grep -q 'context deadline exceeded' <<< "$output" && ! grep -q 'Failing input written' <<< "$output"; then
    printf '%-16s %-24s %s (ended in mid-run)\n' "$package" "$target" "$(grep -E 'execs:' <<< "$output" | tail -1)"
    continue
  fi
  printf '%s\n' "$output"
  status=1
done < <(git grep -E '^func Fuzz' -- '*_test.go')
exit $status
