#!/usr/bin/env bash
# Runs control nodes and gateways of two builds together: of the git revision BASE
# and of the working tree. Each fleet gets a configuration and places requests. A
# request with a ticket is resent through the other gateway, and must get the same
# answer without a second execution. The fleets are:
#
#   - a control node of one build with gateways of the other;
#   - a control node that is restarted with the other build on the same data
#     folder, with one gateway of each build;
#   - three control nodes that are restarted with the other build one by one, with
#     one gateway of each build.
#
# Each of them runs twice, with the builds swapped.
#
# Everything runs on loopback addresses. The script stops only the processes that
# it started, by their ids.
#
# Usage: scripts/mixed-versions.sh BASE
set -euo pipefail
cd "$(dirname "$0")/.."

base=${1:?usage: scripts/mixed-versions.sh BASE}
git rev-parse --verify --quiet "$base^{commit}" > /dev/null || { echo "unknown revision $base" >&2; exit 2; }

readonly ready_seconds=30 # timeout for a node, an answer or the end of a process
readonly poll_seconds=0.1

scratch=$(mktemp -d)
readonly scratch
# A part of the loopback network for this run, so that concurrent runs do not
# interfere.
readonly network=127.77.$(($$ % 256))

passed=0
failed=0
declare -A process_of # process ids by name of the node or replica

# ---- Processes

start() { # NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$@" 2>> "$fleet/$name.log" &
  process_of[$name]=$!
}

stop() { # NAME
  local process=${process_of[$1]} _
  unset "process_of[$1]"
  kill -TERM "$process" 2> /dev/null || true
  for _ in $(seq $((ready_seconds * 10))); do
    kill -0 "$process" 2> /dev/null || break
    sleep "$poll_seconds"
  done
  kill -KILL "$process" 2> /dev/null || true
  wait "$process" 2> /dev/null || true
}

stop_all() {
  local name
  for name in "${!process_of[@]}"; do stop "$name"; done
}

finish() {
  local status=$?
  trap - EXIT
  stop_all
  if [ "$status" = 0 ]; then
    rm -rf "$scratch"
  else
    echo "logs and data folders: $scratch" >&2
  fi
  exit "$status"
}
trap finish EXIT

# ---- Checks

check() { # NAME COMMAND...
  local name=$1
  shift
  if "$@"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    printf 'FAILED: %s: %s\n' "$fleet_name" "$name"
  fi
}

# eventually retries a command until it succeeds or ready_seconds have passed.
eventually() { # COMMAND...
  local deadline=$((SECONDS + ready_seconds))
  until "$@"; do
    [ "$SECONDS" -lt "$deadline" ] || return 1
    sleep "$poll_seconds"
  done
}

contains() { # TEXT COMMAND...
  local text=$1 output
  shift
  output=$("$@" 2>&1) || true
  grep -qF -- "$text" <<< "$output" || { printf 'expected %s in:\n%s\n' "$text" "$output" >&2; return 1; }
}

same() { # EXPECTED ACTUAL
  [ "$1" = "$2" ] || { printf 'expected:\n%s\ngot:\n%s\n' "$1" "$2" >&2; return 1; }
}

# ---- Builds

build() { # BUILD FOLDER
  echo "building $1"
  (cd "$2" && go build -trimpath -o "$scratch/$1/" ./cmd/deckpulley-control ./cmd/deckpulley-gateway ./cmd/deckpulleyctl ./cmd/standin-replica)
}

other_build() { if [ "$1" = base ]; then echo tree; else echo base; fi; }

# ---- A fleet

address_of() { # NODE PORT
  local host
  case $1 in
    control-*) host=${1#control-} ;;
    gateway-*) host=1${1#gateway-} ;;
    replica-*) host=2${1#replica-} ;;
  esac
  echo "$network.$host:$2"
}
peer_address() { address_of "$1" 7001; }
operator_address() { address_of "$1" 7002; }
caller_address() { address_of "$1" 7003; }
replica_address() { address_of "$1" 7100; }

random_hex() { head -c "$1" /dev/urandom | od -An -tx1 | tr -d ' \n'; }

# new_fleet stops the previous fleet, prepares a folder with secrets, settings and
# documents for the control nodes and two gateways, and starts a replica.
new_fleet() { # NAME CONTROL-NODES
  local node
  stop_all
  fleet_name=$1
  fleet=$scratch/fleet-${1//[^a-z0-9]/-}
  mkdir -p "$fleet"
  echo "fleet: $fleet_name"
  (
    umask 077
    random_hex 32 > "$fleet/fleet.key"
    echo "admin $(random_hex 16)" > "$fleet/tokens"
  )
  control_nodes=()
  for ((node = 1; node <= $2; node++)); do control_nodes+=("control-$node"); done
  for node in "${control_nodes[@]}" gateway-1 gateway-2; do write_settings "$node"; done
  write_configuration chat > "$fleet/first.yaml"
  write_configuration chat-new > "$fleet/second.yaml"
  cat > "$fleet/replicas.json" << END
{"replicas": [{"id": "replica-1", "service": "explain", "zone": "local-1", "address": "$(replica_address replica-1)"}]}
END
  export DECKPULLEYCTL_ADDRESS DECKPULLEYCTL_TOKEN_FILE=$fleet/tokens
  DECKPULLEYCTL_ADDRESS=$(joined operator_address , "${control_nodes[@]}")
  start replica-1 "$scratch/base/standin-replica" --id replica-1 --service explain --zone local-1 \
    --listen "$(replica_address replica-1)" --log "$fleet/replica-1.jsonl"
}

# joined calls a function for each node and prints the outputs with a separator.
joined() { # FUNCTION SEPARATOR NODES...
  local function=$1 separator=$2 text= node
  shift 2
  for node in "$@"; do text+=${text:+$separator}$("$function" "$node"); done
  echo "$text"
}

initial_member() { echo "$1: \"$(peer_address "$1")\""; }

write_settings() { # NODE
  {
    cat << END
name: $1
role: ${1%-*}
zone: local-1
region: local
peer_address: $(peer_address "$1")
operator_address: $(operator_address "$1")
seeds: [$(joined peer_address ', ' "${control_nodes[@]}")]
key_file: $fleet/fleet.key
token_file: $fleet/tokens
END
    if [ "${1%-*}" = gateway ]; then
      echo "caller_address: $(caller_address "$1")"
    else
      mkdir -m 700 "$fleet/$1.data"
      echo "data_folder: $fleet/$1.data"
      echo "initial_control: {$(joined initial_member ', ' "${control_nodes[@]}")}"
    fi
  } > "$fleet/$1.yaml"
}

# write_configuration prints a configuration with the route chat and, if ROUTE is
# another name, that route too.
write_configuration() { # ROUTE
  cat << END
regions:
  local: {zones: [local-1], capacity: 1}
services:
  explain: {kind: model, max_concurrency: 16}
routes:
  chat: {service: explain, class: long}
END
  [ "$1" = chat ] || echo "  $1: {service: explain, class: quick}"
}

start_node() { # NODE BUILD
  echo "  $1 runs $2"
  start "$1" "$scratch/$2/deckpulley-${1%-*}" --settings "$fleet/$1.yaml"
}

is_ready() { curl -sf --max-time 5 "http://$1/readyz" > /dev/null; }

# ready waits until nodes are ready. The script stops if one is not, because no other
# check can succeed.
ready() { # NODES...
  local node
  for node in "$@"; do
    eventually is_ready "$(operator_address "$node")" || { echo "$fleet_name: $node is not ready"; tail -n 20 "$fleet"/*.log; exit 1; }
  done
}

control() { # BUILD ARGUMENTS...
  local build=$1
  shift
  "$scratch/$build/deckpulleyctl" "$@"
}

put_replicas() {
  curl -sf --max-time 10 -X PUT -H "Authorization: Bearer $(cut -d' ' -f2 "$fleet/tokens")" \
    --data "@$fleet/replicas.json" "http://$(operator_address control-1)/v1/replicas" > /dev/null
}

# apply applies a configuration twice with the same order id, with the command line
# of each build, and checks that both get the same answer.
apply() { # FILE ORDER-ID BASE-VERSION
  local arguments=(config apply "$fleet/$1" --author mixed --order-id "$2" --base-version "$3" --output json) first again
  first=$(control tree "${arguments[@]}") || true
  again=$(control base "${arguments[@]}") || true
  check "configuration $1 is accepted" contains '"accepted": true' echo "$first"
  check "configuration $1 becomes version $(($3 + 1))" contains "\"version\": $(($3 + 1))," echo "$first"
  check "order $2 gets the same answer when resent" same "$first" "$again"
}

# ---- Requests

ask() { # GATEWAY PATH DOCUMENT
  curl -sN --max-time "$ready_seconds" "http://$(caller_address "$1")$2" -d "$3"
}

places_request() { # GATEWAY REQUEST-ID MODEL
  grep -q '"tokens":3' <<< "$(ask "$1" /v1/requests \
    "{\"request_id\":\"$2\",\"model\":\"$3\",\"prompt_tokens\":40,\"max_tokens\":3,\"repeatable\":true}")"
}

executions() { # REQUEST-ID
  grep -F '"kind":"replica_executed"' "$fleet/replica-1.jsonl" | grep -cF "\"request\":\"$1\"" || true
}

declare -A request_of answer_of # documents and answers of requests with a ticket, by request id

# run_once gets a ticket for a request at one gateway, sends the request there, and
# resends it through the other gateway.
run_once() { # REQUEST-ID GATEWAY OTHER-GATEWAY
  local ticket again
  ticket=$(ask "$2" /v1/where "{\"request_id\":\"$1\",\"model\":\"chat\",\"repeatable\":false}" | sed -n 's/.*"ticket":"\([^"]*\)".*/\1/p')
  request_of[$1]="{\"request_id\":\"$1\",\"ticket\":\"$ticket\",\"model\":\"chat\",\"prompt_tokens\":40,\"max_tokens\":3,\"stream\":true,\"repeatable\":false}"
  answer_of[$1]=$(ask "$2" /v1/requests "${request_of[$1]}") || true
  again=$(ask "$3" /v1/requests "${request_of[$1]}") || true
  check "$1 through $2 is answered" contains 'event: end' echo "${answer_of[$1]}"
  check "$1 resent through $3 gets the same answer" same "${answer_of[$1]}" "$again"
  check "$1 was executed once" same 1 "$(executions "$1")"
}

# resend resends a request that was already answered, through another gateway.
resend() { # REQUEST-ID GATEWAY
  check "$1 resent later through $2 gets the same answer" same "${answer_of[$1]}" "$(ask "$2" /v1/requests "${request_of[$1]}" || true)"
  check "$1 was not executed again" same 1 "$(executions "$1")"
}

# place_requests sends requests through both gateways.
place_requests() { # PREFIX MODEL
  check "gateway-1 places a request of $2" eventually places_request gateway-1 "$1-a" "$2"
  check "gateway-2 places a request of $2" eventually places_request gateway-2 "$1-b" "$2"
  run_once "$1-ticket-1" gateway-1 gateway-2
  run_once "$1-ticket-2" gateway-2 gateway-1
}

# begin starts all nodes, applies the first configuration and places requests.
begin() { # CONTROL-BUILD GATEWAY-1-BUILD GATEWAY-2-BUILD
  local node
  for node in "${control_nodes[@]}"; do start_node "$node" "$1"; done
  start_node gateway-1 "$2"
  start_node gateway-2 "$3"
  ready "${control_nodes[@]}"
  apply first.yaml order-1 0
  check "the replicas are listed" put_replicas
  ready gateway-1 gateway-2
  place_requests before chat
}

# change applies the second configuration and uses the route that it adds.
change() {
  check "the first configuration is still active" contains 'configuration version  1' control base status
  apply second.yaml order-2 1
  check "the base build's command line reads it" contains chat-new control base config get
  check "the working tree's command line reads it" contains chat-new control tree config get
  place_requests after chat-new
  resend before-ticket-1 gateway-2
  resend before-ticket-2 gateway-1
}

# ---- The fleets

control_and_gateways() { # CONTROL-BUILD
  local gateways
  gateways=$(other_build "$1")
  new_fleet "control node of $1, gateways of $gateways" 1
  begin "$1" "$gateways" "$gateways"
  change
}

restarted_control() { # BUILD-BEFORE CONTROL-NODES
  local after node
  after=$(other_build "$1")
  new_fleet "control nodes of $1 restarted as $after: $2" "$2"
  begin "$1" base tree
  for node in "${control_nodes[@]}"; do
    stop "$node"
    start_node "$node" "$after"
    ready "$node"
    check "the configuration can be read after the restart of $node" contains "chat:" control "$after" config get
  done
  ready gateway-1 gateway-2
  change
}

mkdir "$scratch/source"
git archive "$base" | tar -x -C "$scratch/source"
build base "$scratch/source"
build tree "$PWD"
began=$SECONDS

for before in base tree; do
  control_and_gateways "$before"
  restarted_control "$before" 1
  restarted_control "$before" 3
done

echo "the fleets ran for $((SECONDS - began)) s"
echo "mixed versions: $passed passed, $failed failed"
[ "$failed" = 0 ]
