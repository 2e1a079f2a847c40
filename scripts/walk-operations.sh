#!/usr/bin/env bash
# Runs every shell block of docs/OPERATIONS.md that is marked with <!-- walk -->,
# in order and in one shell, against a real fleet of five nodes on loopback
# addresses. Prints each command and stops at the first one that fails. It kills
# only the processes whose ids the page's commands wrote to out/operations/*.pid.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly page=docs/OPERATIONS.md
readonly folder=out/operations
readonly limit=120 # seconds after which the run is considered hung

# marked prints the marked shell blocks of a page.
marked() {
  awk '
    /^<!-- walk -->$/ { marked = 1; next }
    marked && /^```sh$/ { inside = 1; marked = 0; count++; next }
    inside && /^```$/ { inside = 0; next }
    inside { print; next }
    /^```sh$/ { printf "%s:%d: shell block is not preceded by <!-- walk -->\n", FILENAME, FNR > "/dev/stderr"; exit 1 }
    marked && NF { printf "%s:%d: <!-- walk --> is not followed by a shell block\n", FILENAME, FNR > "/dev/stderr"; exit 1 }
    END { if (inside || marked || count == 0) { print FILENAME ": a shell block is not closed, or no block is marked" > "/dev/stderr"; exit 1 } }
  ' "$1"
}

# end_started kills the processes that the page started and that still run.
end_started() {
  local file process
  for file in "$folder"/*.pid; do
    [ -s "$file" ] || continue
    process=$(cat "$file")
    # The id may have been reused by another process: kill only a program of bin/
    # that was started in this folder.
    [ "$(readlink "/proc/$process/cwd")" = "$PWD" ] || continue
    if [[ $({ tr '\0' ' ' < "/proc/$process/cmdline"; } 2> /dev/null) == bin/* ]]; then
      kill -KILL "$process" 2> /dev/null || true
    fi
  done
}

end_started
rm -rf "$folder"
mkdir -p "$folder"
{
  # Functions do not inherit a DEBUG trap, so only the commands of the page are
  # printed, not those inside functions.
  echo 'set -eEuo pipefail'
  echo 'trap '\''printf "\n[%s s] $ %s\n" "$SECONDS" "$BASH_COMMAND"'\'' DEBUG'
  echo 'trap '\''echo "FAILED: $BASH_COMMAND" >&2'\'' ERR'
  marked "$page"
} > "$folder/walk.sh"
trap end_started EXIT

status=0
timeout --signal=TERM --kill-after=5 "$limit" bash "$folder/walk.sh" || status=$?
if [ "$status" != 0 ]; then
  echo "commands of $page failed with status $status (124: timed out after $limit s)"
  tail -n 3 "$folder"/*.log
  exit 1
fi
echo "walk-operations: all marked commands of $page succeeded in $SECONDS s"
