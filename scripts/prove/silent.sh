#!/usr/bin/env bash
# Connections that stand go silent: what is written to them is lost, nothing comes
# back and none of them ends; new ones work. So towards engines, services and the
# log, and towards a peer and its callers when a daemon is frozen (SIGSTOP) and
# woken. Two at once and all of it twice running; a service is frozen as well.
# Cause of the harm: a pool that hands the dead connection out again and again, a
# wait without a bound for the first byte, a long-poll that nobody looks after.
# Idempotent requests must all be answered without a resend by their callers, the
# silence must be found in seconds, and configuration must go on.
#
# Counted by callers (--resends 0) and by the time of a change's coming into force.
# Seen red with daemons on a scratch copy that wait for an answer's first byte and
# progress to the deadline (failed=61).
source "$(dirname "$0")/traffic.bash"

DAEMONS=3
ENGINES=3
MARGIN=16000 # ms, for the slowest answer: a frozen daemon, then a silence found twice, and the work done

traffic_fleet $DAEMONS $ENGINES --token-time 4ms --check-fencing

start_callers callers $DAEMONS --rate 80 --duration 27s --completion-share 0.5 --tokens-min 30 --tokens-max 250 \
  --resends 0 --timeout 40s --service-path ""
# Keyed calls go through the log, which falls silent as well; they may be sent again.
start keyed "$BIN/standin" callers --json --daemons "$(urls caller 1 2 3)" --key $CALLER_KEY --rate 30 --duration 27s --seed 2 \
  --completion-share 0 --service-path /booking --keyed-share 1 --resends 4 --timeout 40s --services "${COUNTERS[0]},${COUNTERS[1]}"
sleep 2

slowest_change=0 slowest_peer=0
# change BOUND: publishes through daemon 1 and awaits it everywhere.
change() {
  local since took version
  since=$(date +%s%N)
  publish teams/koperasi "$(team_branch "$1")"
  version=$(curl -s "$(caller_url 1)/readyz" | jq .version)
  took=$("$BIN/standin" inforce --version "$version" --since "$since" --within 9s "$(caller_url 1)" "$(caller_url 2)" "$(caller_url 3)") ||
    fail "a change isn't in force within 9 s after the log's connections fell silent"
  if [ "$took" -gt $slowest_change ]; then slowest_change=$took; fi
}

# peer_live N: what daemon 1 thinks of daemon N.
peer_live() {
  curl -s -m 2 -H "Authorization: Bearer $DOGWOODFLOW_ADMIN_TOKEN" "$(admin_url 1)/v1/daemons" |
    jq --arg vm "entry-$1" '[.. | objects | select(.vm? == $vm) | .live][0]'
}
# await_peer N LIVE: until daemon 1 sees that.
await_peer() {
  local since
  since=$(now_ms)
  until [ "$(peer_live "$1")" = "$2" ]; do
    [ $(($(now_ms) - since)) -lt 9000 ] || fail "entry-1 doesn't see entry-$1 live=$2 within 9 s"
    sleep 0.05
  done
  since=$(($(now_ms) - since))
  if [ "$since" -gt $slowest_peer ]; then slowest_peer=$since; fi
}

for round in 1 2; do
  fault "$(engine_url 1)" silence
  fault "${COUNTERS[0]}" silence
  sleep 0.5
  fault "$LOG_URL" silence
  fault "$(engine_url 2)" silence
  change $((round + 2))
  sleep 0.5
  signal entry-3 STOP
  signal counter-2 STOP
  await_peer 3 false
  sleep 1.5
  signal counter-2 CONT
  signal entry-3 CONT
  await_peer 3 true
  fault "$LOG_URL" silence
  change $((round + 12))
done

code=0
await callers || code=$?
await keyed || code=$?
failed=$(figure callers .failed)
slowest=$(jq '[.latency_ms[].max] | max | floor' "$RUN/callers.out")
[ $code -eq 0 ] && [ "$failed" -eq 0 ] || { explain callers; explain keyed; }
echo "idempotent: calls=$(figure callers .calls) failed=$failed wrong=$(figure callers .wrong) slowest=${slowest}ms" \
  "keyed: calls=$(figure keyed .calls) failed=$(figure keyed .failed) doubled=$(figure keyed .verified.doubled) lied=$(figure keyed .verified.lied_attempts)" \
  "change_in_force=${slowest_change}ms peer_seen=${slowest_peer}ms $(reasons callers) $(reasons keyed)"
[ $code -eq 0 ] && [ "$failed" -eq 0 ] && [ "$slowest" -lt $MARGIN ] && [ "$(figure callers .calls)" -gt 1000 ]
