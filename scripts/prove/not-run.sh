#!/usr/bin/env bash
# A caller is told "not run" and sends again; if it had run, the room is booked
# twice. Requests are refused at every stage: as sent (path, body, key, size), by
# limits, in the queue, without an upstream, at a refused connection, by the
# upstream itself, at a reset before and after the first byte, at a daemon that
# stops, and for a key while the log is out. Two at once, and all of it twice.
# Cause of the harm: an error that is sorted by its text or its stage and not by
# whether a byte of the request went out.
#
# Every attempt that was told "not run" is compared with the counts of services
# and engines; every 429 and 503 must bear Retry-After, and what is refused at the
# door must come at once.
# Seen red with daemons on a scratch copy that forget earlier attempts' outcomes
# (false_not_run=92), and that take a reset before the answer for "not run" and send
# again (doubled=11).
source "$(dirname "$0")/traffic.bash"

DAEMONS=3
ENGINES=2
AT_ONCE=500 # ms

# tight_team: the team's branch with a short queue, and routes that lead nowhere or wait.
tight_team() {
  team_branch | jq '.limits.max_queue = 8 | .limits.max_body_bytes = 20000
    | .routes.nowhere = {path: "/nowhere", methods: ["POST"], group: "dead", idempotent: false, timeout_ms: 20000}
    | .routes.waits = {path: "/waits", methods: ["POST"], group: "counter", idempotent: false, timeout_ms: 700}'
}

# tight_fleet: few places at each service, one of them at a port without a listener.
tight_fleet() {
  two_counters $ENGINES | jq --arg dead "127.0.0.1:$((PORT_BASE + 8))" '
    .groups.counter.upstreams[].max_concurrency = 6
    | .groups.counter.upstreams["counter-3"] = {address: $dead, data_centre: "bandung"}
    | .groups.dead = {kind: "service", upstreams: {"dead-1": {address: $dead, data_centre: "bandung"}}}'
}

start_platform
SERVICE_LATENCY=20ms start_upstreams $ENGINES --token-time 4ms --check-fencing
vm_list $DAEMONS
for i in $(seq 1 $DAEMONS); do start_daemon "$i"; done
healthy $(seq 1 $DAEMONS)
publish fleet "$(tight_fleet)"
publish teams/koperasi "$(tight_team)"
ready $(seq 1 $DAEMONS)

singles=0 late_refusals=0 slowest=0
# refused WANT_STATUS PATH CURL-ARGS...: one request that must be refused at once as
# "not run", with Retry-After if it is 429 or 503, and be counted by no service.
refused() {
  local want=$1 path=$2 id=single-$((++singles)) status took
  shift 2
  read -r status took < <(curl -s -m 10 -o "$RUN/refusal" -D "$RUN/refusal-head" -w '%{http_code} %{time_total}\n' \
    -H "Authorization: Bearer $CALLER_KEY" -H "X-Attempt: $id" "$(caller_url $((singles % DAEMONS + 1)))$path" "$@")
  [ "$status" = "$want" ] || fail "$path: status $status, want $want: $(cat "$RUN/refusal")"
  [ "$(jq -r .outcome "$RUN/refusal")" = "not run" ] || fail "$path: $(cat "$RUN/refusal")"
  took=$(awk -v t="$took" 'BEGIN { printf "%d", t * 1000 }')
  if [ "$took" -gt $AT_ONCE ]; then late_refusals=$((late_refusals + 1)); fi
  if [ "$took" -gt $slowest ]; then slowest=$took; fi
  if [ "$want" = 429 ] || [ "$want" = 503 ]; then
    grep -qi '^retry-after: [1-9]' "$RUN/refusal-head" || fail "$path: $want without Retry-After"
  fi
}

# at_the_door: what is refused as it was sent, or for want of an upstream or the log.
at_the_door() {
  head -c 30000 /dev/zero >"$RUN/large"
  refused 400 /v1/completions -d '{"model":'
  refused 404 /v1/completions -d '{"model":"nobody","prompt":"x"}'
  refused 422 /v1/completions -d '{"model":"drafts","prompt":"x","max_tokens":99999}'
  refused 413 /booking --data-binary "@$RUN/large"
  refused 404 /unrouted -d x
  refused 422 /booking -X DELETE
  refused 400 /booking/../rolls --path-as-is -d x
  refused 400 /booking -H 'Idempotency-Key;' -d x
  refused 401 /booking -H 'Authorization: Bearer stranger' -d x
  refused 503 /nowhere -d x
}

at_the_door
start_callers flood $DAEMONS --concurrency 120 --duration 20s --completion-share 0.4 --keyed-share 0.5 \
  --tokens-min 20 --tokens-max 80 --body-bytes 200 --resends 3 --timeout 30s --engines "$(engine_urls $ENGINES)"
start waiting "$BIN/standin" callers --json --daemons "$(urls caller 1 2 3)" --key $CALLER_KEY --rate 100 --duration 20s \
  --completion-share 0 --service-path /waits --keyed-share 0 --resends 0 --seed 2 --services "${COUNTERS[0]},${COUNTERS[1]}"
sleep 1
for round in 1 2; do
  at_the_door
  fault --count 30 --match "POST /" "${COUNTERS[0]}" refuse
  fault --count 10 --match completions "$(engine_url 1)" refuse
  fault --count 20 --match "POST /" "${COUNTERS[1]}" reset
  sleep 1
  fault --count 20 --match "POST /" "${COUNTERS[0]}" answer_lost
  fault --count 20 --value 20 --match "POST /" "${COUNTERS[1]}" reset_body
  fault --count 10 --match completions "$(engine_url 2)" reset
  fault --duration 2500ms "$LOG_URL" outage
  sleep 1
  for _ in 1 2 3; do refused 503 /booking -H "Idempotency-Key: out-$round-$singles" -d x; done
  sleep 2
  fault --match "POST /" --value 900 --duration 1500ms "${COUNTERS[0]}" slow
  signal entry-$round TERM
  await entry-$round || fail "entry-$round: exit code $? at a graceful stop"
  start_daemon $round
  ready $round
done

code=0
await flood || code=$?
await waiting || code=$?
for i in $(seq 1 $singles); do
  for url in "${COUNTERS[@]}"; do
    ran=$("$BIN/standin" get "$url/_standin/counts" | jq --arg id "single-$i" '.by_attempt[$id] // 0')
    [ "$ran" -eq 0 ] || fail "single-$i was told not run and ran"
  done
done
told=$(($(figure flood .verified.refused) + $(figure waiting .verified.refused)))
false_not_run=$(($(figure flood '.verified | .false_not_run + .lied_attempts') + $(figure waiting '.verified | .false_not_run + .lied_attempts')))
bare=$(($(figure flood '[.refusals[].no_retry_after] | add') + $(figure waiting '[.refusals[].no_retry_after] | add')))
[ $code -eq 0 ] || { explain flood; explain waiting; }
echo "told_not_run=$((told + singles)) false_not_run=$false_not_run doubled=$(figure flood .verified.doubled) without_retry_after=$bare" \
  "at_the_door=$singles slowest=${slowest}ms answers=$(figure flood .answers)" \
  "refusals=$(jq -c '.refusals | map_values(.count)' "$RUN/flood.out") queue=$(jq -c '.refusals | map_values({n: .count, max_ms})' "$RUN/waiting.out")"
[ $code -eq 0 ] && [ "$false_not_run" -eq 0 ] && [ "$bare" -eq 0 ] && [ $late_refusals -eq 0 ] && [ "$told" -gt 200 ]
