#!/usr/bin/env bash
# Three hundred callers wait for completions, streamed and whole, and for services'
# echoes. Engines reset or close streams in the middle, end a body cleanly before
# its end mark, answer seconds late and swap two answers on their way; services
# swap, cut and delay theirs; two engines are killed in mid-stream, all of it two at
# once and twice running. Cause of the harm: a part that is taken for the whole,
# or an answer that is matched to its request by its connection alone.
# Each prompt and body names its call, and the callers check every answer against it.
#
# Seen red with daemons on a scratch copy that take a stream's clean end for its
# end mark (wrong=40), and that don't compare the request's id (wrong=40).
source "$(dirname "$0")/traffic.bash"

DAEMONS=3
ENGINES=4
traffic_fleet $DAEMONS $ENGINES --token-time 4ms --check-fencing

start_callers callers $DAEMONS --concurrency 300 --duration 17s --completion-share 0.6 \
  --tokens-min 30 --tokens-max 120 --keyed-share 0.3 --resends 2 --timeout 40s

armed=0
# arm COUNT URL KIND VALUE MATCH
arm() {
  fault --count "$1" --value "$4" --match "$5" "$2" "$3"
  armed=$((armed + $1))
}

sleep 1
for round in 1 2; do
  arm 20 "$(engine_url 1)" reset_body 700 completions
  arm 20 "$(engine_url 2)" end_early 900 completions
  arm 20 "$(engine_url 3)" crossed 1500 completions
  arm 20 "${COUNTERS[0]}" crossed 500 "POST /"
  arm 20 "${COUNTERS[1]}" truncate 100 "POST /"
  sleep 2
  arm 20 "$(engine_url 2)" truncate 500 completions
  arm 6 "$(engine_url 3)" late 10500 completions
  arm 20 "${COUNTERS[0]}" reset_body 30 "POST /"
  arm 20 "${COUNTERS[1]}" late 1200 "POST /"
  sleep 1
  signal engine-4 KILL
  await engine-4 2>/dev/null || true
  sleep 1
  start_engine 4 --token-time 4ms --check-fencing
  sleep 3
done

code=0
await callers || code=$?
left=0
for url in "$(engine_url 1)" "$(engine_url 2)" "$(engine_url 3)" "${COUNTERS[@]}"; do
  left=$((left + $("$BIN/standin" get "$url/_standin/fault" | jq '[.[].count] | add // 0')))
done
answers=$(figure callers .answers) wrong=$(figure callers .wrong) failed=$(figure callers .failed)
# A caller that hears nothing until its own time-out got no clear failure.
unclear=$(figure callers '[.failed_by_reason | to_entries[] | select(.key | test("timeout|other")) | .value] | add')
[ $code -eq 0 ] && [ "$wrong" -eq 0 ] || explain callers
echo "calls=$(figure callers .calls) answers=$answers wrong=$wrong failed_clearly=$((failed - unclear)) failed_unclearly=$unclear" \
  "resent=$(figure callers .resent) faults_hit=$((armed - left)) engine_kills=2" \
  "slowest=$(jq '[.latency_ms[].max] | max | floor' "$RUN/callers.out")ms $(reasons callers)"
[ $code -eq 0 ] && [ "$wrong" -eq 0 ] && [ "$unclear" -eq 0 ] && [ "$answers" -gt 1000 ] && [ "$left" -lt 20 ]
