# Functions of the scripts in this folder, which source it. Sourcing it builds the program. A script
# calls start, serve_backends if it needs backend servers, configure if it needs a configuration, and
# the program's own commands. All processes end with the script.
NET=${NET:-127.40.100}
FLEET=$(mktemp -d)
pids=()
standins=()
# The next run uses the same addresses, so the script waits until its processes have ended.
trap 'kill "${pids[@]}" "${standins[@]}" 2>/dev/null || true; wait; rm -rf "$FLEET"' EXIT
go build -o "$FLEET/briaryard" ./cmd/briaryard
PATH="$FLEET:$PATH"

start() { # number of instances; five voters, or three in a fleet of fewer than five
  local n folder
  voters=5
  (($1 >= 5)) || voters=3
  BRIARYARD_VOTERS=$(seq -s, -f 'instance-%g' $voters)
  export BRIARYARD_VOTERS BRIARYARD_PEERS=$NET.1:8083,$NET.2:8083,$NET.3:8083 BRIARYARD_FLEET_TOKEN=measure
  export BRIARYARD_OPERATOR=$NET.1:8082 BRIARYARD_LOG_LEVEL=${BRIARYARD_LOG_LEVEL:-warn} BRIARYARD_ADDRESS_TTL=1s
  for n in $(seq "$1"); do
    folder=
    ((n > voters)) || folder=$FLEET/data-$n
    BRIARYARD_ID=instance-$n BRIARYARD_FAILURE_DOMAIN=domain-$((n % 3 + 1)) BRIARYARD_DATA_FOLDER=$folder \
    BRIARYARD_CALLER_ADDRESS=$NET.$n:8080 BRIARYARD_SERVER_ADDRESS=$NET.$n:8081 \
    BRIARYARD_OPERATOR_ADDRESS=$NET.$n:8082 BRIARYARD_PEER_ADDRESS=$NET.$n:8083 "${BINARY:-briaryard}" serve 2>>"$FLEET/log-$n" &
    pids[n]=$!
  done
}

# until_true waits for a condition for two minutes, which a busy machine needs for 96 instances.
until_true() { local end=$((SECONDS + 120)); until "$@"; do ((SECONDS < end)) || { echo "did not happen: $*" >&2; return 1; }; sleep 0.2; done; }
leads() { local s; s=$(briaryard status 2>/dev/null) && grep -q 'leader instance-' <<<"$s"; }
alive() { local s; s=$(briaryard status 2>/dev/null) && [ "$(grep -Ec "$1 alive " <<<"$s")" = "$2" ]; }

# serve_backends starts backend servers: 4 engines and a booking service for each 5.
serve_backends() { # number, slots of each, further flags of engines
  local k kind home program
  local kinds=(notes notes chat summaries booking)
  for k in $(seq 0 $(($1 - 1))); do
    kind=${kinds[k % 5]} home=$((k % instances + 1)) program=(engine --model "fitting-${kinds[k % 5]}" "${@:3}")
    [ "$kind" != booking ] || program=(booking --service booking)
    briaryard standin "${program[@]}" --id "$kind-$k" --failure-domain domain-$((k % 3 + 1)) --slots "$2" \
      --address "$NET.$((100 + k)):9000" --instances "$NET.$home:8081" >/dev/null 2>&1 &
    standins+=($!)
  done
}

# configure applies the example office with raised limits, because these are for callers with different
# addresses and all the load comes from one.
configure() {
  sed -E 's/(rate_per_second|burst|concurrency|caller_concurrency): [0-9]+/\1: 5000/' examples/office/defaults.yaml >"$FLEET/defaults.yaml"
  sed -E 's/, caller_rate_per_second: [0-9]+//' examples/office/teams.yaml >"$FLEET/teams.yaml"
  until_true leads
  briaryard config apply examples/office/{pools,exceptions}.yaml "$FLEET"/{defaults,teams}.yaml --operator measure >/dev/null 2>&1
}

ticks() { # processor time of a process in clock ticks; the name of the program must not contain a space
  local f
  read -ra f <"/proc/$1/stat"
  echo $((f[13] + f[14]))
}
