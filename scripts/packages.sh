#!/usr/bin/env bash
# Runs the build command of deploy/system.toml with only Go and the Debian packages
# that the file lists under "packages": in a fresh clone, with empty caches, and with
# a PATH that contains only the programs of those packages, of their dependencies
# and of Debian's essential packages. Then checks that every program, header and
# library that the compiler and linker opened belongs to one of these packages,
# because PATH does not restrict which files they can open.
#
# Usage: packages.sh             fails unless the listed packages are sufficient
#        packages.sh --prove     also fails unless each package is necessary, by
#                                building once more without each of them
set -euo pipefail
cd "$(dirname "$0")/.."

root=$PWD
scratch=$(mktemp -d)
trap 'chmod -R u+w "$scratch" && rm -rf "$scratch"' EXIT

say() { printf 'packages: %s\n' "$*"; }

# listed prints the packages of deploy/system.toml, one per line.
listed() {
  sed -n '/^\[/q; s/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '" ' | tr ',' '\n'
}

# closure prints the given packages, their installed dependencies and the essential
# packages. Recommended packages are not included.
closure() {
  local essential
  essential=$(dpkg-query -W -f='${Essential} ${Package}\n' | sed -n 's/^yes //p')
  apt-cache depends --recurse --installed --no-recommends --no-suggests --no-conflicts --no-breaks \
    --no-replaces --no-enhances $essential "$@" | grep -o '^[a-z0-9][^ ]*' | sort -u |
    comm -12 - <(dpkg-query -W -f='${Package}\n' | sort -u)
}

# files prints the files of packages, with all symbolic links resolved.
files() {
  dpkg -L "$@" | grep '^/' | xargs -d '\n' realpath -q -e | sort -u || true
}

# programs reads file names and fills a folder with links to the executable ones.
programs() {
  local folder=$1 program name
  mkdir -p "$folder"
  while read -r program; do
    [ -f "$program" ] && [ -x "$program" ] && ln -sf "$program" "$folder/${program##*/}"
  done
  # Names that are symbolic links themselves, such as gcc for gcc-12.
  for name in /usr/bin/*; do
    [ -L "$name" ] && [ -e "$folder/$(basename "$(realpath "$name")")" ] && ln -sf "$name" "$folder/${name##*/}"
  done
  ln -sf "$(go env GOROOT)/bin/go" "$folder/go"
}

# opened prints the files that the compiler and linker opened, according to their
# trace output.
opened() {
  local record=$1
  tr ' \\' '\n\n' <"$record/headers" 2>/dev/null || true
  grep -hoE '/[^ :()]+\.(o|a|so[.0-9]*)\b' "$record/output" || true
  grep -hoE '^ */[^ ]+/(cc1|collect2|as|ld)\b' "$record/tools" || true
}

# build runs the build with the given packages only. It prints the reason of a
# failure.
build() {
  local work
  work=$(mktemp -d -p "$scratch")
  closure "$@" >"$work/packages"
  files $(cat "$work/packages") >"$work/files"
  programs "$work/bin" < <(grep -E '/s?bin/' "$work/files")
  git clone -q "$root" "$work/clone"
  local certificates=$work/none
  if grep -qx ca-certificates "$work/packages"; then
    certificates=/etc/ssl/certs/ca-certificates.crt
  fi
  : >"$work/none"
  : >"$work/headers"
  : >"$work/tools"
  if ! (
    cd "$work/clone"
    env -i PATH="$work/bin" HOME="$work" GOPROXY="$(go env GOPROXY)" GOSUMDB="$(go env GOSUMDB)" \
      GOCACHE="$work/cache" GOMODCACHE="$work/modules" SSL_CERT_FILE="$certificates" SSL_CERT_DIR="$work/absent" \
      SUNPRO_DEPENDENCIES="$work/headers" CGO_LDFLAGS="-O2 -g -Wl,--trace" \
      "$work/bin/sh" -c "$line"
  ) >"$work/output" 2>&1; then
    grep -vE '^go: downloading|^/' "$work/output" | tail -3
    return 1
  fi
  # The build succeeded, so the compiler is available: -v prints the programs that
  # it runs.
  env -i PATH="$work/bin" gcc -v -x c -o "$work/empty" - <<<'int main(void) { return 0; }' 2>"$work/tools"
  opened "$work" | grep '^/' | grep -v "^$scratch" | grep -v "^$(go env GOROOT)/" | grep -v '^/tmp/' |
    xargs -d '\n' realpath -q -e | sort -u >"$work/opened" || true
  if ! grep -q '\.h$' "$work/opened" || ! grep -q 'crt1\.o$' "$work/opened"; then
    echo "the trace output names no headers or no start files"
    return 1
  fi
  say "$(wc -l <"$work/opened") files opened by the compiler and linker"
  if comm -23 "$work/opened" "$work/files" | grep .; then
    echo "the files above belong to none of the packages"
    return 1
  fi
}

line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
mapfile -t list < <(listed)
[ "${#list[@]}" -gt 0 ] || { say "deploy/system.toml lists no packages"; exit 1; }
for package in "${list[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    { say "$package is not installed: apt-get install ${list[*]}"; exit 1; }
done

say "building with ${list[*]}"
build "${list[@]}" || { say "FAILED: the listed packages are not sufficient"; exit 1; }
say "the listed packages are sufficient"
[ "${1:-}" = --prove ] || exit 0
for without in "${list[@]}"; do
  rest=()
  for package in "${list[@]}"; do
    [ "$package" = "$without" ] || rest+=("$package")
  done
  if reason=$(build "${rest[@]}"); then
    say "$without is listed but not needed"
    exit 1
  fi
  say "without $without: $(tail -1 <<<"$reason" | cut -c1-160)"
done
