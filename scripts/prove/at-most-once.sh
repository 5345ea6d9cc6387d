#!/usr/bin/env bash
# A caller books a room with an Idempotency-Key and loses the connection. He sends
# the same key again, through another daemon or through two at the same moment,
# while the daemon that had it is killed, frozen beyond the age of a claim, or has
# lost the log's answer to its claim; the log is out, daemons join and leave, and
# the service itself resets the connection after it has booked. The room must be
# booked once at most, once exactly when he gets an answer, and not at all by any
# attempt that was told "not run". Others book without a key.
#
# Counted at the services by Idempotency-Key's call and by attempt, not by daemons.
# Seen red with daemons that run keyed calls without a claim: doubled=898. That an
# attempt's false "not run" shows is seen in the callers' own tests.
source "$(dirname "$0")/../lib.sh"

DAEMONS=4
COUNTERS=("http://127.0.0.1:$(upstream_port 90)" "http://127.0.0.1:$(upstream_port 92)")

fault() { "$BIN/standin" fault "$@"; }

# list_daemons N...: the VM list names just these daemons.
list_daemons() {
  local i list=
  for i in "$@"; do
    list+=",{\"name\":\"entry-$i\",\"role\":\"entry\",\"data_centre\":\"${DATA_CENTRES[$((i % 3))]}\",\"peer_address\":\"127.0.0.1:$(peer_port "$i")\"}"
  done
  "$BIN/standin" get --method PUT --body "{\"vms\":[${list#,}]}" "$VMS_URL/v1/vms" >/dev/null
}

# two_counters: the fleet's branch with a second service beside counter-1.
two_counters() {
  local second="\"counter-2\":{\"address\":\"127.0.0.1:$(upstream_port 92)\",\"data_centre\":\"bandung\"}"
  fleet_branch 1 | sed "s|\"counter-1\":{|$second,\"counter-1\":{|"
}

kill_daemon() {
  signal "$1" KILL
  await "$1" 2>/dev/null || true
}

start_platform
start counter-1 "$BIN/standin" service --listen "127.0.0.1:$(upstream_port 90)" --latency 5ms
start counter-2 "$BIN/standin" service --listen "127.0.0.1:$(upstream_port 92)" --latency 5ms
list_daemons 1 2 3 4
for i in $(seq 1 $DAEMONS); do start_daemon "$i"; done
"$BIN/standin" wait $(for i in $(seq 1 $DAEMONS); do echo "$(admin_url "$i")/healthz"; done) "${COUNTERS[0]}/load" "${COUNTERS[1]}/load"
publish fleet "$(two_counters)"
publish teams/koperasi "$(team_branch)"
ready $(seq 1 $DAEMONS)

start callers "$BIN/standin" callers --json --daemons "$(urls caller $(seq 1 $((DAEMONS + 1))))" --key $CALLER_KEY \
  --rate 120 --duration 24s --completion-share 0 --service-path /booking --keyed-share 0.7 --twin-share 0.5 \
  --resends 4 --timeout 4s --services "${COUNTERS[0]},${COUNTERS[1]}"

# Killed after the dispatch, twice running: answers of a second's calls wait in the
# service while the daemons that dispatched them die. The log loses answers too.
sleep 2
fault --match "POST /v1/streams/claims" --count 6 "$LOG_URL" answer_lost
fault --match "POST /booking" --count 60 --value 1500 "${COUNTERS[0]}" late
sleep 0.7
kill_daemon entry-2
sleep 0.5
fault --match "POST /booking" --count 60 --value 1200 "${COUNTERS[1]}" slow
sleep 0.5
kill_daemon entry-1
start_daemon 1
start_daemon 2

# Frozen beyond a claim's age with claims on their way, while another joins and
# one leaves: the log's answers are slow, so that some are written, not read back.
sleep 2
fault --match "GET /v1/streams/claims" --value 400 --duration 2s "$LOG_URL" slow
sleep 1
signal entry-3 STOP
frozen_at=$SECONDS
start_daemon 5
list_daemons 1 2 3 5
signal entry-4 TERM

# The service books and resets; the log is out, and loses answers around that.
sleep 2
fault --match "POST /booking" --count 40 "${COUNTERS[0]}" answer_lost
fault --match "POST /v1/streams/claims" --count 8 "$LOG_URL" answer_lost
sleep 2
fault --duration 3s "$LOG_URL" outage
sleep 1
fault --match "POST /booking" --count 20 "${COUNTERS[1]}" answer_lost
kill_daemon entry-1
sleep 2
fault --match "POST /v1/streams/claims" --count 8 "$LOG_URL" answer_lost
start_daemon 1

# Awake after 13 s, and frozen and woken once more.
sleep $((13 - (SECONDS - frozen_at) > 0 ? 13 - (SECONDS - frozen_at) : 0))
signal entry-3 CONT
sleep 1.5
signal entry-3 STOP
sleep 2
signal entry-3 CONT

code=0
await callers || code=$?
figure() { sed -n "s/^ *\"$1\": \([0-9]*\),\{0,1\}$/\1/p" "$RUN/callers.out" | head -n 1; }
calls=$(figure calls) answers=$(figure answers) executed=$(figure executed) refused=$(figure refused)
echo "calls=$calls answers=$answers executed=$executed told_not_run=$refused doubled=$(figure doubled)" \
  "lied=$(figure lied_attempts) false_not_run=$(figure false_not_run) phantom=$(figure phantom) wrong=$(figure wrong)"
# A run in which hardly anything was answered or refused would prove nothing.
[ $code -eq 0 ] && [ "$answers" -gt $((calls / 2)) ] && [ "$refused" -gt 50 ]
