#!/bin/bash
# Measures processor time and memory of each instance of a fleet on loopback, by role.
# Usage, in the root of the repository:
#   examples/measure/fleet.sh INSTANCES SERVERS RATE [SECONDS [SEED]]
# SERVERS is a multiple of 15: 12 engines and 3 booking services for each 15. RATE 0 measures
# the fleet at rest. The processor time of the stand-ins and of the load generator is not
# counted. NET is the network of the addresses. BINARY is another build of the instances to measure,
# for example of an earlier commit; two runs at the same time on different networks compare two builds
# under equal conditions.
set -euo pipefail
instances=$1 servers=$2 rate=$3 seconds=${4:-15} seed=${5:-1}
source examples/measure/lib.sh
start "$instances"
serve_backends "$servers" 8
configure
until_true alive '^(notes|chat|summaries|booking)-.*' "$servers"
sleep 3

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
