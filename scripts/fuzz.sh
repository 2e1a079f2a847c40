#!/usr/bin/env bash
# Runs every fuzz target for a limited time. A failing input is stored in the
# testdata/fuzz folder of the package, and go test runs it from then on.
#
# Usage: scripts/fuzz.sh [DURATION]     default: 30s
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
  # The fuzzing engine reports its own time limit as a failure if a worker is busy
  # at the end. A real failure names the input file that it wrote.
  if grep -q 'context deadline exceeded' <<< "$output" && ! grep -q 'Failing input written' <<< "$output"; then
    printf '%-16s %-24s %s (stopped by the time limit)\n' "$package" "$target" "$(grep -E 'execs:' <<< "$output" | tail -1)"
    continue
  fi
  printf '%s\n' "$output"
  status=1
done < <(git grep -E '^func Fuzz' -- '*_test.go')
exit $status
