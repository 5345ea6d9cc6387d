#!/usr/bin/env bash
# Engines leave under load, one after the other: one tells it in its load report
# and answers, one in its answers alone (its reports are 30 s late), and of one only
# the VM list says it, late. New work must stop within 3 s of the first of
# these at every daemon, also at one that can't reach its peers (another peer
# token), and at one that starts after the list said so; while one leaves,
# the list is out, twice. What runs on them ends there: nothing is cut and moved.
#
# Counted by the engines: work begun after leaving, and how often each request ran.
# Seen red with daemons on a scratch copy that drop the list's word (list=5804ms
# late_start=258).
source "$(dirname "$0")/traffic.bash"

DAEMONS=4 # the fourth can't reach its peers
ENGINES=5
MARGIN=3000 # ms

start_platform
start_upstreams $ENGINES --token-time 5ms --check-fencing
# One engine's reports come late; only its answers say at once that it leaves.
signal engine-2 KILL
await engine-2 2>/dev/null || true
start_engine 2 --token-time 5ms --check-fencing --load-lag 30s
vm_list $DAEMONS
for i in 1 2 3; do start_daemon "$i"; done
DOGWOODFLOW_PEER_TOKEN=a-token-nobody-knows start_daemon 4
healthy $(seq 1 $DAEMONS)
publish fleet "$(two_counters $ENGINES)"
publish teams/koperasi "$(team_branch)"
ready $(seq 1 $DAEMONS)

# Each daemon has callers of its own, so that each is seen to stop.
for n in $(seq 1 $DAEMONS); do
  start "callers-$n" "$BIN/standin" callers --json --daemons "$(urls caller "$n")" --key $CALLER_KEY --seed "$n" \
    --rate 12 --duration 26s --completion-share 1 --tokens-min 20 --tokens-max 400 --resends 0
done
sleep 2.5

total() { "$BIN/standin" get "$(engine_url "$1")/counts" | jq .total; }
running() { "$BIN/standin" get "$(engine_url "$1")/load" | jq '.running + .queued'; }

# last_begun N SINCE: polls an engine's count for 6 s after SINCE; the ms after it
# at which the count last grew.
last_begun() {
  local before now last=0 at
  before=$(total "$1")
  while at=$(($(now_ms) - $2)) && [ $at -lt 6000 ]; do
    now=$(total "$1")
    if [ "$now" -ne "$before" ]; then last=$at before=$now; fi
    sleep 0.05
  done
  echo $last
}

leaves() { "$BIN/standin" get --method POST "$(engine_url "$1")/_standin/leaving" >/dev/null; }
list_leaving() {
  local i list=
  for i in $(seq 1 $DAEMONS); do
    list+="{\"name\":\"entry-$i\",\"role\":\"entry\",\"data_centre\":\"${DATA_CENTRES[$((i % 3))]}\",\"peer_address\":\"127.0.0.1:$(peer_port "$i")\"},"
  done
  "$BIN/standin" get --method PUT --body "{\"vms\":[$list{\"name\":\"$1\",\"role\":\"upstream\",\"data_centre\":\"semarang\",\"leaving\":true}]}" "$VMS_URL/v1/vms" >/dev/null
}

# Two at once: by the load report with the list out, and by answers alone.
fault --duration 3s "$VMS_URL" outage
since=$(now_ms)
leaves 1
leaves 2
last_begun 1 "$since" >"$RUN/by-report" &
one=$!
by_answer=$(last_begun 2 "$since")
wait $one
by_report=$(cat "$RUN/by-report")

# By the list alone. What it names shows 500 ms later.
since=$(now_ms)
list_leaving engine-3
by_list=$(last_begun 3 "$since")

# A daemon that starts now hears of it at its start, before its configuration.
start_daemon 5
before=$(total 3)
ready 5
start callers-5 "$BIN/standin" callers --json --daemons "$(urls caller 5)" --key $CALLER_KEY --seed 5 \
  --rate 40 --duration 4s --completion-share 1 --tokens-min 20 --tokens-max 100 --resends 0
fault --duration 3s "$VMS_URL" outage
code=0 failed=0 wrong=0 calls=0
for n in 5 $(seq 1 $DAEMONS); do
  await "callers-$n" || code=$?
  failed=$((failed + $(figure "callers-$n" .failed))) wrong=$((wrong + $(figure "callers-$n" .wrong))) calls=$((calls + $(figure "callers-$n" .calls)))
done
late_start=$(($(total 3) - before))
left=$(($(running 1) + $(running 2) + $(running 3)))
# A request that was cut and moved ran on two engines.
for i in $(seq 1 $ENGINES); do "$BIN/standin" get "$(engine_url "$i")/counts" | jq -c .runs; done >"$RUN/runs"
moved=$(jq -s '[.[] | to_entries[]] | (map(.value) | add) - (map(.key) | unique | length)' "$RUN/runs")
said=$(($("$BIN/standin" get "$(engine_url 1)/_standin/leaving" | jq .last_begun_after_ms)))
[ "$failed" -eq 0 ] || for n in $(seq 1 5); do explain "callers-$n"; done
echo "last_new_work: report=${by_report}ms (by the engine ${said}ms) answer=${by_answer}ms list=${by_list}ms late_start=$late_start" \
  "calls=$calls failed=$failed wrong=$wrong moved=$moved still_running=$left"
[ $code -eq 0 ] && [ "$failed" -eq 0 ] && [ "$wrong" -eq 0 ] && [ "$moved" -eq 0 ] && [ "$left" -eq 0 ] && [ "$late_start" -eq 0 ] &&
  [ "$by_report" -lt $MARGIN ] && [ "$said" -lt $MARGIN ] && [ "$by_answer" -lt $MARGIN ] && [ "$by_list" -lt $MARGIN ]
