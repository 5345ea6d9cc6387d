#!/usr/bin/env bash
# All daemons are restarted one after the other under load, twice, as at an
# upgrade: streams of some seconds, keyed and other calls and a training step are
# in flight. Callers follow /readyz as the platform's balancer does and send
# nothing twice (--resends 0), so that one refused connection, one cut answer or one
# "not run" shows as a failed call. Cause of the harm: a port that closes before
# readiness has fallen, a stop that doesn't wait for what it accepted, a step or a
# claim that dies with its daemon. Then a second signal: the end at once, exit code
# 4, and a log line that says what was cut.
#
# Counted by callers and trainer; readiness and port are polled by this script.
# Seen red with DRAIN_FLAGS="--drain-delay 0s" (failed=1 wrong_orders=3), and with daemons that
# closed idle connections when they began to stop (failed=1, "connection closed").
source "$(dirname "$0")/traffic.bash"

DAEMONS=3
ENGINES=3
traffic_fleet $DAEMONS $ENGINES --token-time 4ms --check-fencing

# watch N: polls readiness and the port until the port is closed; prints the
# statuses in order, repeats left out. 000 is a refused connection.
watch() {
  local status last= deadline=$((SECONDS + 25))
  while [ $SECONDS -lt $deadline ]; do
    status=$(curl -s -o /dev/null -m 2 -w '%{http_code}' "$(caller_url "$1")/readyz" || true)
    if [ "$status" != "$last" ]; then echo -n "$status "; fi
    last=$status
    if [ "$status" = 000 ]; then return; fi
    sleep 0.02
  done
}

start_callers callers $DAEMONS --rate 120 --duration 28s --completion-share 0.5 --tokens-min 60 --tokens-max 500 \
  --keyed-share 0.6 --resends 0 --timeout 30s --engines "$(engine_urls $ENGINES)"
start trainer "$BIN/standin" trainer --json --quiet --daemons "$(urls trainer 1 2 3)" --key $TRAINER_KEY \
  --job clerk --steps 4 --prompts 48 --tokens-min 100 --tokens-max 400 --publish-to "$WEIGHTS_URL" --bound 1 --step-timeout 45s
sleep 1.5

stops=0 wrong_codes=0 wrong_orders=0 orders=()
for round in 1 2; do
  for n in $(seq 1 $DAEMONS); do
    watch "$n" >"$RUN/watch-$n" &
    watcher=$!
    sleep 0.1
    signal "entry-$n" TERM
    await "entry-$n" || wrong_codes=$((wrong_codes + 1))
    wait $watcher || true
    stops=$((stops + 1))
    order=$(tr -s ' ' <"$RUN/watch-$n" | sed 's/ $//')
    [ "$order" = "200 503 000" ] || { wrong_orders=$((wrong_orders + 1)); orders+=("$order"); }
    start_daemon "$n" ${DRAIN_FLAGS:-}
    ready "$n"
    sleep 0.5
  done
done

code=0
await callers || code=$?
await trainer || code=$?

# A second signal, with streams of many seconds in flight.
start_callers long 1 --concurrency 12 --calls 12 --completion-share 1 --stream-share 1 --tokens-min 4000 --tokens-max 4000 --resends 0
sleep 1.5
signal entry-1 TERM
sleep 0.5
began=$(now_ms)
signal entry-1 TERM
second=0
await entry-1 || second=$?
took=$(($(now_ms) - began))
said=$(grep -c '"caller_requests_cut":1[0-9]*.*second signal\|second signal.*"caller_requests_cut":1[0-9]*' "$RUN/entry-1.log" || true)

failed=$(figure callers .failed) cut=$(figure callers '.failed_by_reason | (."stream cut" // 0) + ([to_entries[] | select(.key | startswith("answer cut")) | .value] | add // 0)')
[ $code -eq 0 ] && [ "$failed" -eq 0 ] || explain callers
echo "stops=$stops calls=$(figure callers .calls) failed=$failed cut=$cut wrong=$(figure callers .wrong) doubled=$(figure callers .verified.doubled)" \
  "false_not_run=$(figure callers .verified.lied_attempts) samples=$(jq .samples "$RUN/trainer.out") missing=$(jq .missing "$RUN/trainer.out")" \
  "duplicates=$(jq .duplicates "$RUN/trainer.out") wrong_exit_codes=$wrong_codes wrong_orders=$wrong_orders${orders[*]+ (${orders[*]})}" \
  "second_signal: code=$second after ${took}ms said=$said"
[ $code -eq 0 ] && [ "$failed" -eq 0 ] && [ $wrong_codes -eq 0 ] && [ $wrong_orders -eq 0 ] &&
  [ "$(jq .samples "$RUN/trainer.out")" -eq 768 ] && [ "$(jq '.missing + .duplicates' "$RUN/trainer.out")" -eq 0 ] &&
  [ $second -eq 4 ] && [ $took -lt 1000 ] && [ "$said" -ge 1 ]
