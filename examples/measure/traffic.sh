#!/bin/bash
# Measures bytes and messages between the instances of a fleet on loopback, by service, at rest and
# for each request under load.
# Usage, in the root of the repository:
#   examples/measure/traffic.sh INSTANCES SERVERS RATE [SECONDS [SEED]]
# The figures are the metrics peer_sent_bytes and peer_sent_messages, summed over the instances; the
# cost of a request is the difference from the same time at rest, which is measured first. SERVERS is
# a multiple of 15, as in fleet.sh. At most 48 instances.
set -euo pipefail
instances=$1 servers=$2 rate=$3 seconds=${4:-10} seed=${5:-1}
((instances <= 48)) || { echo "at most 48 instances" >&2; exit 2; }
source examples/measure/lib.sh
start "$instances"
serve_backends "$servers" 8
configure
until_true alive '^instance-.*' "$instances"
until_true alive '^(notes|chat|summaries|booking)-.*' "$servers"
sleep 3

read_metrics() { # phase; writes phase, seconds, service, metric and value
  local n
  for n in $(seq "$instances"); do
    echo "$(date +%s.%N) $(curl -sS "http://$NET.$n:8082/metrics" | grep -E '^briaryard_peer_sent_' | tr '\n' ';')"
  done | awk -v phase="$1" '{ at += $1; n++; sub(/^[^ ]+ /, ""); k = split($0, line, ";")
    for (i = 1; i < k; i++) { split(line[i], f, /[{}"]/); v[f[3] " " f[1]] += f[5] } }
    END { for (s in v) printf "%s %.3f %s %d\n", phase, at / n, s, v[s] }'
}
read_metrics a >"$FLEET/metrics"
sleep "$seconds"
read_metrics b >>"$FLEET/metrics"
briaryard --output json load --addresses "$NET.1:8080,$NET.2:8080" --mix example-office --rate "$rate" --duration "${seconds}s" --seed "$seed" >"$FLEET/load" || cat "$FLEET/load" >&2
read_metrics c >>"$FLEET/metrics"
requests=$(for n in $(seq "$instances"); do curl -sS "http://$NET.$n:8082/metrics" | grep '^briaryard_requests_accepted'; done | awk '{ s += $2 } END { print s }')
awk -v what="instances $instances servers $servers rate $rate seed $seed" -v requests="$requests" -v instances="$instances" '
  { at[$1] = $2; v[$1 " " $3 " " $4] = $5; services[$3] }
  function rest(m) { return (v["b " m] - v["a " m]) / (at["b"] - at["a"]) }
  function request(m) { return (v["c " m] - v["b " m] - rest(m) * (at["c"] - at["b"])) / requests }
  END { for (s in services) {
    b = s " briaryard_peer_sent_bytes"; m = s " briaryard_peer_sent_messages"
    printf "%s, %d requests: %s: at rest %.0f B/s and %.2f messages/s for each instance; for each request %.0f B and %.2f messages\n", what, requests, s, rest(b) / instances, rest(m) / instances, request(b), request(m)
    rb += rest(b) / instances; rm += rest(m) / instances; qb += request(b); qm += request(m) }
    printf "%s, %d requests: sum: at rest %.0f B/s and %.2f messages/s for each instance; for each request %.0f B and %.2f messages\n", what, requests, rb, rm, qb, qm }' "$FLEET/metrics" | sort
