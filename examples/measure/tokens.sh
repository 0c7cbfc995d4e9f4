#!/bin/bash
# Measures bytes and processor time of an entry instance for each generated token, on loopback.
# Usage, in the root of the repository:
#   examples/measure/tokens.sh STREAMS [SECONDS]
# STREAMS streamed answers of 1024 tokens run at one instance that is neither voter nor dispatcher; the
# engines generate about 15 tokens/s for each, which is within the 58 ms of the design size. Tokens
# are counted at the caller between two samples; the instance's bytes read and written are those of
# /proc/PID/io (bodies, HTTP, messages between instances; without TCP and IP headers). Between the
# samples no request begins or ends. The cost of the same time without streams is subtracted. At most
# 400 streams. There is no seed: all requests are alike.
set -euo pipefail
streams=$1 seconds=${2:-10}
((streams <= 400)) || { echo "at most 400 streams" >&2; exit 2; }
instances=9
source examples/measure/lib.sh
start $instances
serve_backends 15 $((streams + 8)) --token-time 55ms
configure
until_true alive '^(notes|chat|summaries|booking)-.*' 15
sleep 3
status=$(briaryard status)
for ((n = 6; n < instances; n++)); do grep -Eq "^dispatcher/.* instance-$n +" <<<"$status" || break; done
pid=${pids[n]}
look() { # nanoseconds, ticks, bytes read, bytes written, tokens that callers have
  echo "$(date +%s%N) $(ticks "$pid") $(awk '/^[rw]char/ { printf "%s ", $2 }' "/proc/$pid/io") $(cat "$FLEET"/answer-* 2>/dev/null | grep -c '"content":"' || true)"
}
look >"$FLEET/looks"
sleep "$seconds"
look >>"$FLEET/looks"
echo '{"model": "fitting-notes", "stream": true, "max_tokens": 1024, "messages": [{"role": "user", "content": "notes for shoe 5"}]}' >"$FLEET/body"
curl -sS -N -Z --parallel-immediate --parallel-max "$streams" -H 'Briaryard-Team: fitters' -H 'Briaryard-Deadline-Ms: 200000' \
  -H 'Content-Type: application/json' --data-binary "@$FLEET/body" "http://$NET.$n:8080/v1/chat/completions?n=[1-$streams]" -o "$FLEET/answer-#1" 2>"$FLEET/curl" &
standins+=($!)
answering() { [ "$(grep -l '"content":"' "$FLEET"/answer-* 2>/dev/null | wc -l)" -ge "$streams" ]; }
until_true answering
look >>"$FLEET/looks"
sleep "$seconds"
look >>"$FLEET/looks"
ended=$(cat "$FLEET"/answer-* | grep -c '\[DONE\]' || true)
((ended == 0)) || { echo "streams $streams: $ended answers ended before the last look, so the run does not count" >&2; exit 1; }
awk -v what="streams $streams" '
  { t[NR] = $1 / 1e9; cpu[NR] = $2; r[NR] = $3; w[NR] = $4; tokens[NR] = $5 }
  function per(a) { return (a[4] - a[3] - (a[2] - a[1]) * (t[4] - t[3]) / (t[2] - t[1])) / (tokens[4] - tokens[3]) }
  END { n = tokens[4] - tokens[3]; c = per(cpu) * 1e4; rate = 1500000 / 380
    printf "%s, %.0f tokens/s: %.0f B read, %.0f B written and %.1f us of processor time for each token; at %.0f tokens/s %.2f MB/s read, %.2f MB/s written, %.0f %% of a core\n",
      what, n / (t[4] - t[3]), per(r), per(w), c, rate, per(r) * rate / 1e6, per(w) * rate / 1e6, c * rate / 1e4 }' "$FLEET/looks"
