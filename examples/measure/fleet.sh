#!/bin/bash
# Measures processor time and memory of each instance of a fleet on loopback, by role.
# Usage, in the root of the repository:
#   examples/measure/fleet.sh INSTANCES SERVERS RATE [SECONDS [SEED]]
# SERVERS is a multiple of 15: 12 engines and 3 booking services for each 15. RATE 0 measures
# the fleet at rest. The processor time of the stand-ins and of the load is not counted. NET is
# the network of the addresses. BINARY measures the instances of another build, for example of an
# earlier commit; two runs with different networks at the same time compare under equal conditions.
set -euo pipefail
instances=$1 servers=$2 rate=$3 seconds=${4:-15} seed=${5:-1}
NET=${NET:-127.40.100}
FLEET=$(mktemp -d)
pids=()
standins=()
# The next run uses the same addresses, so this one ends when its processes have ended.
trap 'kill "${pids[@]}" "${standins[@]}" 2>/dev/null || true; wait; rm -rf "$FLEET"' EXIT
go build -o "$FLEET/briaryard" ./cmd/briaryard
PATH="$FLEET:$PATH"
voters=5
((instances >= 5)) || voters=3
BRIARYARD_VOTERS=$(seq -s, -f 'instance-%g' $voters)
export BRIARYARD_VOTERS BRIARYARD_PEERS=$NET.1:8083,$NET.2:8083,$NET.3:8083 BRIARYARD_FLEET_TOKEN=measure
export BRIARYARD_OPERATOR=$NET.1:8082 BRIARYARD_LOG_LEVEL=warn BRIARYARD_ADDRESS_TTL=1s

for n in $(seq "$instances"); do
  folder=
  ((n > voters)) || folder=$FLEET/data-$n
  BRIARYARD_ID=instance-$n BRIARYARD_FAILURE_DOMAIN=domain-$((n % 3 + 1)) BRIARYARD_DATA_FOLDER=$folder \
  BRIARYARD_CALLER_ADDRESS=$NET.$n:8080 BRIARYARD_SERVER_ADDRESS=$NET.$n:8081 \
  BRIARYARD_OPERATOR_ADDRESS=$NET.$n:8082 BRIARYARD_PEER_ADDRESS=$NET.$n:8083 "${BINARY:-briaryard}" serve 2>>"$FLEET/log" &
  pids[n]=$!
done
kinds=(notes notes chat summaries booking)
for k in $(seq 0 $((servers - 1))); do
  kind=${kinds[k % 5]} home=$((k % instances + 1)) program=(engine --model "fitting-${kinds[k % 5]}")
  [ "$kind" != booking ] || program=(booking --service booking)
  briaryard standin "${program[@]}" --id "$kind-$k" --failure-domain domain-$((k % 3 + 1)) --slots 8 \
    --address "$NET.$((100 + k)):9000" --instances "$NET.$home:8081" >/dev/null 2>&1 &
  standins+=($!)
done

# The limits of the example are for callers with different addresses; all the load comes from one.
sed -E 's/(rate_per_second|burst|concurrency|caller_concurrency): [0-9]+/\1: 5000/' examples/office/defaults.yaml >"$FLEET/defaults.yaml"
sed -E 's/, caller_rate_per_second: [0-9]+//' examples/office/teams.yaml >"$FLEET/teams.yaml"
until briaryard status 2>/dev/null | grep -q 'leader instance-'; do sleep 0.1; done
briaryard config apply examples/office/{pools,exceptions}.yaml "$FLEET"/{defaults,teams}.yaml --operator measure >/dev/null 2>&1
until [ "$(briaryard status | grep -Ec '^(notes|chat|summaries|booking)-.* alive ')" = "$servers" ]; do sleep 0.2; done
sleep 3

ticks() { # processor time in clock ticks; the name of the program holds no space
  local f
  read -ra f <"/proc/$1/stat"
  echo $((f[13] + f[14]))
}
for n in $(seq "$instances"); do before[n]=$(ticks "${pids[n]}"); done
began=$(date +%s%N)
if [ "$rate" = 0 ]; then
  sleep "$seconds"
else
  briaryard load --addresses "$NET.1:8080,$NET.2:8080" --mix example-office --rate "$rate" --duration "${seconds}s" --seed "$seed" >"$FLEET/load" || cat "$FLEET/load"
fi
took=$(($(date +%s%N) - began))
for n in $(seq "$instances"); do after[n]=$(ticks "${pids[n]}"); done
status=$(briaryard status)
leader=$(sed -nE 's/^control group: leader (instance-[0-9]+),.*/\1/p' <<<"$status")
for n in $(seq "$instances"); do
  role=entry
  ((n > voters)) || role=voter
  if grep -Eq "^dispatcher/.* instance-$n +" <<<"$status"; then role=$role+dispatcher; fi
  [ "$leader" != "instance-$n" ] || role=$role+leader
  echo "$role $(((after[n] - before[n]) * 10000000)) $took $(awk '/^VmRSS/{print $2}' "/proc/${pids[n]}/status")"
done | awk -v what="instances $instances servers $servers rate $rate seed $seed" '
  { n[$1]++; cpu[$1] += 100 * $2 / $3; mem[$1] += $4 / 1024 }
  END { for (r in n) printf "%s: %d x %s: %.2f %% of a core, %.1f MB resident\n", what, n[r], r, cpu[r] / n[r], mem[r] / n[r] }' | sort
