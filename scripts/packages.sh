#!/usr/bin/env bash
# Builds the programs as deploy/system.toml says, with nothing but Go and the
# Debian packages that it lists under "packages": in a fresh clone, with empty
# caches, on a PATH that holds the programs of those packages, of what they depend
# on and of Debian's essential ones. Then it looks up who owns every program,
# header and library that compiler and linker opened, which a PATH does not hide.
#
# Usage: packages.sh             fails unless the list is enough
#        packages.sh --prove     also fails unless each package is needed: builds
#                                once more without each of them
set -euo pipefail
cd "$(dirname "$0")/.."

root=$PWD
scratch=$(mktemp -d)
trap 'chmod -R u+w "$scratch" && rm -rf "$scratch"' EXIT

say() { printf 'packages: %s\n' "$*"; }

# listed prints the packages of deploy/system.toml, one a line.
listed() {
  sed -n '/^\[/q; s/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '" ' | tr ',' '\n'
}

# closure prints the installed packages that the given ones depend on, with
# themselves and the essential ones. Recommended packages are not counted.
closure() {
  local essential
  essential=$(dpkg-query -W -f='${Essential} ${Package}\n' | sed -n 's/^yes //p')
  apt-cache depends --recurse --installed --no-recommends --no-suggests --no-conflicts --no-breaks \
    --no-replaces --no-enhances $essential "$@" | grep -o '^[a-z0-9][^ ]*' | sort -u |
    comm -12 - <(dpkg-query -W -f='${Package}\n' | sort -u)
}

# files prints the files of packages, as they are named when no link is left.
files() {
  dpkg -L "$@" | grep '^/' | xargs -d '\n' realpath -q -e | sort -u || true
}

# programs fills a folder with links to the programs among files.
programs() {
  local folder=$1 program name
  mkdir -p "$folder"
  while read -r program; do
    [ -f "$program" ] && [ -x "$program" ] && ln -sf "$program" "$folder/${program##*/}"
  done
  # Names that are links themselves, such as gcc for gcc-12.
  for name in /usr/bin/*; do
    [ -L "$name" ] && [ -e "$folder/$(basename "$(realpath "$name")")" ] && ln -sf "$name" "$folder/${name##*/}"
  done
  ln -sf "$(go env GOROOT)/bin/go" "$folder/go"
}

# opened prints the files that compiler and linker opened, as their records tell.
opened() {
  local record=$1
  tr ' \\' '\n\n' <"$record/headers" 2>/dev/null || true
  grep -hoE '/[^ :()]+\.(o|a|so[.0-9]*)\b' "$record/output" || true
  grep -hoE '^ */[^ ]+/(cc1|collect2|as|ld)\b' "$record/tools" || true
}

# build builds with the given packages alone. It prints what went wrong.
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
  # The build has passed, so its compiler is there to be asked for its own parts.
  env -i PATH="$work/bin" gcc -v -x c -o "$work/empty" - <<<'int main(void) { return 0; }' 2>"$work/tools"
  opened "$work" | grep '^/' | grep -v "^$scratch" | grep -v "^$(go env GOROOT)/" | grep -v '^/tmp/' |
    xargs -d '\n' realpath -q -e | sort -u >"$work/opened" || true
  if ! grep -q '\.h$' "$work/opened" || ! grep -q 'crt1\.o$' "$work/opened"; then
    echo "no record of headers or start files"
    return 1
  fi
  say "$(wc -l <"$work/opened") files of packages opened"
  if comm -23 "$work/opened" "$work/files" | grep .; then
    echo "belong to no package of the list"
    return 1
  fi
}

line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
mapfile -t list < <(listed)
[ "${#list[@]}" -gt 0 ] || { say "deploy/system.toml lists none"; exit 1; }
for package in "${list[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    { say "$package is not installed: apt-get install ${list[*]}"; exit 1; }
done

say "building with ${list[*]}"
build "${list[@]}" || { say "FAILED with the whole list"; exit 1; }
say "the list is enough"
[ "${1:-}" = --prove ] || exit 0
for without in "${list[@]}"; do
  rest=()
  for package in "${list[@]}"; do
    [ "$package" = "$without" ] || rest+=("$package")
  done
  if reason=$(build "${rest[@]}"); then
    say "$without is listed and not needed"
    exit 1
  fi
  say "without $without: $(tail -1 <<<"$reason" | cut -c1-160)"
done
