#!/usr/bin/env bash
# Creates the fleet's key, an operator's token and the control node's data folder
# under out/quickstart. Existing files are not overwritten.
set -euo pipefail
umask 077
folder=out/quickstart
mkdir -p "$folder/control-1"
random_hex() { head -c "$1" /dev/urandom | od -An -tx1 | tr -d ' \n'; }
[ -s "$folder/fleet.key" ] || random_hex 32 > "$folder/fleet.key"
[ -s "$folder/tokens" ] || echo "admin $(random_hex 16)" > "$folder/tokens"
