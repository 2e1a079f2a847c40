#!/usr/bin/env bash
# Runs the three-node fleet of README.md and checks its responses. It stops only
# the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/../.."

rm -rf out/quickstart
examples/quickstart/secrets.sh

started=()
stop() {
  for process in "${started[@]}"; do kill "$process" 2>/dev/null || true; done
  wait
}
trap stop EXIT

bin/standin-replica --id replica-1 --service explain --zone local-1 --listen 127.0.0.1:7500 2> out/quickstart/replica-1.log &
started+=($!)
for node in control-1 gateway-1 gateway-2; do
  bin/deckpulley-"${node%-*}" --settings examples/quickstart/$node.yaml 2> out/quickstart/$node.log &
  started+=($!)
done

export DECKPULLEYCTL_ADDRESS=127.0.0.1:7402 DECKPULLEYCTL_TOKEN_FILE=out/quickstart/tokens
until_ready() {
  for _ in $(seq 100); do
    if curl -sf "$1" > /dev/null; then return; fi
    sleep 0.2
  done
  echo "not ready: $1"
  exit 1
}
expect() {
  if ! grep -q "$1" <<< "$2"; then
    printf 'expected %s in:\n%s\n' "$1" "$2"
    exit 1
  fi
}

until_ready http://127.0.0.1:7402/readyz
bin/deckpulleyctl config apply examples/quickstart/routes.yaml --author me
curl -sf -X PUT -H "Authorization: Bearer $(cut -d' ' -f2 out/quickstart/tokens)" \
  --data @examples/quickstart/replicas.json http://127.0.0.1:7402/v1/replicas > /dev/null
until_ready http://127.0.0.1:7413/readyz
until_ready http://127.0.0.1:7423/readyz

expect 'configuration version  1' "$(bin/deckpulleyctl status)"
expect 'explain-quick' "$(bin/deckpulleyctl config get)"
expect 'replica-1' "$(bin/deckpulleyctl replicas list)"

request='{"request_id":"q-1","model":"explain-quick","prompt_tokens":40,"max_tokens":5,"repeatable":true}'
for _ in $(seq 50); do
  answer=$(curl -s http://127.0.0.1:7413/v1/requests -d "$request")
  grep -q '"tokens":5' <<< "$answer" && break
  sleep 0.2
done
expect '"tokens":5' "$answer"

ticket=$(curl -s http://127.0.0.1:7413/v1/where -d '{"request_id":"q-2","model":"explain-long","repeatable":false}' | sed 's/.*"ticket":"\([^"]*\)".*/\1/')
request='{"request_id":"q-2","ticket":"'$ticket'","model":"explain-long","prompt_tokens":40,"max_tokens":3,"stream":true,"repeatable":false}'
first=$(curl -sN http://127.0.0.1:7413/v1/requests -d "$request")
again=$(curl -sN http://127.0.0.1:7423/v1/requests -d "$request")
expect 'event: end' "$first"
if [ "$first" != "$again" ]; then
  printf 'the resent request got a different response:\n%s\n%s\n' "$first" "$again"
  exit 1
fi
echo "quickstart: all responses match the README"
