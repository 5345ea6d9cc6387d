# What the proofs about training steps share; not a proof itself.
source "$(dirname "${BASH_SOURCE[0]}")/../lib.sh"

# fleet DAEMONS ENGINES [ENGINE FLAGS]: a platform, engines, a scorer and
# daemons that are ready and have met.
fleet() {
  local daemons=$1 engines=$2 i
  shift 2
  start_platform
  for i in $(seq 1 "$engines"); do start_engine "$i" "$@"; done
  start scorer "$BIN/standin" scorer --listen "127.0.0.1:$(upstream_port 91)" --latency "${SCORER_LATENCY:-5ms}"
  vm_list "$daemons"
  for i in $(seq 1 "$daemons"); do start_daemon "$i"; done
  "$BIN/standin" wait $(for i in $(seq 1 "$daemons"); do echo "$(admin_url "$i")/healthz"; done)
  publish fleet "$(fleet_branch "$engines")"
  publish teams/koperasi "$(team_branch "${BOUND:-1}" | sed "s/\"staleness_weight\":[0-9.]*/\"staleness_weight\":${STALENESS_WEIGHT:-0.7}/")"
  ready $(seq 1 "$daemons")
}

# start_trainer NAME DAEMONS [FLAGS]: a trainer of the job through the daemons
# 1..DAEMONS that holds samples to BOUND and knows every published version.
start_trainer() {
  local name=$1 daemons=$2
  shift 2
  start "$name" "$BIN/standin" trainer --json --daemons "$(urls trainer $(seq 1 "$daemons"))" --key $TRAINER_KEY \
    --job clerk --bound "${CHECKED_BOUND:-${BOUND:-1}}" --publish-to "$WEIGHTS_URL" --follow-store --step-timeout 50s "$@"
}

# counter N NAME: one of daemon N's counters; 0 when it doesn't answer.
counter() {
  curl -s -m 1 -H "Authorization: Bearer $DOGWOODFLOW_ADMIN_TOKEN" "$(admin_url "$1")/debug/vars" |
    jq -r --arg name "$2" '.[$name] // 0' 2>/dev/null || echo 0
}

# holder DAEMONS: waits for a daemon among 1..DAEMONS that is making samples of
# a step and prints its number. Daemons in the list DEAD aren't asked.
DEAD=" "
holder() {
  local i tries held
  for tries in $(seq 1 100); do
    for i in $(seq 1 "$1"); do
      if [[ $DEAD == *" $i "* ]]; then continue; fi
      held=$(counter "$i" rollout_steps_held)
      if [ "${held:-0}" -gt 0 ]; then
        echo "$i"
        return
      fi
    done
    sleep 0.1
  done
  echo "no daemon holds the step" >&2
  return 1
}

# kill_holder DAEMONS: kills the daemon that holds the step; its number is in KILLED.
kill_holder() {
  KILLED=$(holder "$1")
  signal "entry-$KILLED" KILL
  await "entry-$KILLED" 2>/dev/null || true
  DEAD+="$KILLED "
}

# samples NAME STEP COUNT: waits until a trainer has accepted COUNT samples of a
# step, is at a later one, or has ended.
samples() {
  local tries step n
  for tries in $(seq 1 400); do
    read -r step n < <(sed -n 's/^trainer: step \([0-9]*\): \([0-9]*\) of.*/\1 \2/p' "$RUN/$1.log" | tail -n 1) || true
    if [ "${step:-0}" -gt "$2" ] || { [ "${step:-0}" -eq "$2" ] && [ "$n" -ge "$3" ]; }; then return; fi
    if ! kill -0 "${PID[$1]}" 2>/dev/null; then return; fi
    sleep 0.1
  done
}

# publish_version N: a new version in the weight store.
publish_version() {
  "$BIN/standin" get --method POST --body "{\"version\":$1}" "$WEIGHTS_URL/v1/models/drafts/versions" >/dev/null
}

# publish_next [COUNT]: the next versions, at once.
VERSION=1
publish_next() {
  local n
  for n in $(seq 1 "${1:-1}"); do publish_version $((++VERSION)); done
}

# verdict NAME WANTED DETAIL: the proof's last line, from the trainer's own
# counts; fails unless its checks passed and it took WANTED samples.
verdict() {
  local name=$1 wanted=$2 detail=$3 code=0
  await "$name" || code=$?
  jq -r --arg detail "$detail" '"samples=\(.samples) missing=\(.missing) duplicates=\(.duplicates) stale=\(.stale) mislabelled=\(.mislabelled) wrong=\(.wrong) mixed=\(.mixed) cut=\(.cut) resubmits=\(.resubmits) judged_old=\(.judged_old) versions=\(.tokens_by_version | length) \($detail)"' "$RUN/$name.out"
  jq -r '.faults // [] | .[0:5][]' "$RUN/$name.out" >&2
  if [ $code -ne 0 ]; then tail -n 2 "$RUN/$name.log" >&2; fi
  [ $code -eq 0 ] && [ "$(jq .samples "$RUN/$name.out")" -eq "$wanted" ]
}
