#!/usr/bin/env bash
# Prints which programs required by .ci/run are missing, with the Debian packages
# that contain them, and fails if any is missing. go.mod names the Go version.
set -euo pipefail

# Each line: a program and the Debian package that contains it.
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
  echo "missing: go (see go.mod for the version; not installed from a Debian package)"
  missing+=("go")
fi
if [ ! -e /usr/include/stdlib.h ]; then
  echo "missing: the C library's headers (package libc6-dev)"
  missing+=(libc6-dev)
fi
if [ "${#missing[@]}" -gt 0 ]; then
  echo "see README.md for the command that installs them"
  exit 1
fi
