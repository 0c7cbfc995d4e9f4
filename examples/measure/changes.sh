#!/bin/bash
# Measures the time from the acceptance of a configuration change until it is in force at every
# instance of a fleet on loopback, at rest.
# Usage, in the root of the repository:
#   examples/measure/changes.sh INSTANCES [CHANGES]
# A change is accepted at the event operator.config_applied (5001) of the instance that received it,
# which follows the commit, and in force at an instance at its event config.in_force (3001). At most
# 96 instances. There is no seed: only the timing of the machine is random.
set -euo pipefail
instances=$1 changes=${2:-10}
((instances <= 96)) || { echo "at most 96 instances" >&2; exit 2; }
BRIARYARD_LOG_LEVEL=info
source examples/measure/lib.sh
start "$instances"
configure
until_true alive '^instance-.*' "$instances"
in_force() { [ "$(grep -h '"event":3001,' "$FLEET"/log-* | grep -c "\"revision\":$1,")" -ge "$instances" ]; }
until_true in_force 1
sleep 3
began=$(date +%s%N)
for n in $(seq "$instances"); do before[n]=$(ticks "${pids[n]}"); done
for ((c = 2; c <= changes + 1; c++)); do
  sed -Ei "s/^  fitters: \{weight: [0-9]+/  fitters: {weight: $((c % 2 + 5))/" "$FLEET/teams.yaml"
  briaryard config apply examples/office/{pools,exceptions}.yaml "$FLEET"/{defaults,teams}.yaml --operator measure >"$FLEET/applied" 2>&1 || { cat "$FLEET/applied"; exit 1; }
  until_true in_force $c
done
took=$(($(date +%s%N) - began))
for n in $(seq "$instances"); do echo "$((($(ticks "${pids[n]}") - before[n]) * 10000000)) $took $(awk '/^VmRSS/{print $2}' "/proc/${pids[n]}/status")"; done |
  awk '{ cpu += 100 * $1 / $2; mem += $3 / 1024 } END { printf "%.2f %% of a core and %.1f MB resident for each instance", cpu / NR, mem / NR }' >"$FLEET/cost"
# For each revision: seconds from the acceptance to the last instance.
grep -hE '"event":(3001|5001),' "$FLEET"/log-* | awk '
  { split(substr($0, index($0, "\"time\":\"") + 19, 17), t, ":"); sub(/Z.*/, "", t[3])
    at = t[1] * 3600 + t[2] * 60 + t[3]
    r = substr($0, index($0, "\"revision\":") + 11) + 0 }
  /"event":5001,/ { accepted[r] = at }
  /"event":3001,/ { if (at > last[r]) last[r] = at }
  END { for (r in accepted) if (r > 1) printf "%.3f\n", last[r] - accepted[r] }' | sort -n |
  awk -v what="instances $instances changes $changes" -v cost="$(cat "$FLEET/cost")" '
    { t[NR] = $1 }
    END { printf "%s: in force everywhere after median %.2f s, worst %.2f s; %s\n", what, t[int((NR + 1) / 2)], t[NR], cost }'
