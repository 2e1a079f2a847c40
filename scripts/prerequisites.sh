#!/usr/bin/env bash
# Says which programs that .ci/run needs are missing, with the Debian packages that
# bring them, and fails if any is. Go comes in the version that go.mod names.
set -euo pipefail

# Each line: a program, and the package that has it.
readonly needed='
gcc gcc
make make
git git
curl curl
awk mawk
xargs findutils
ldd libc-bin
apt-cache apt
dpkg-query dpkg
'

missing=()
while read -r program package; do
  if [ -n "$program" ] && ! command -v "$program" >/dev/null; then
    echo "missing: $program (package $package)"
    missing+=("$package")
  fi
done <<<"$needed"
if ! command -v go >/dev/null; then
  echo "missing: go (go.mod names the version; it is no Debian package here)"
  missing+=("go")
fi
if [ ! -e /usr/include/stdlib.h ]; then
  echo "missing: the C library's headers (package libc6-dev)"
  missing+=(libc6-dev)
fi
if [ "${#missing[@]}" -gt 0 ]; then
  echo "README.md has the line that installs them"
  exit 1
fi
