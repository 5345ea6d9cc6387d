# What the proofs about callers' traffic share; not a proof itself.
source "$(dirname "${BASH_SOURCE[0]}")/../lib.sh"

COUNTERS=("http://127.0.0.1:$(upstream_port 90)" "http://127.0.0.1:$(upstream_port 92)")
engine_url() { echo "http://127.0.0.1:$(upstream_port "$1")"; }
engine_urls() {
  local i list=
  for i in $(seq 1 "$1"); do list+=",$(engine_url "$i")"; done
  echo "${list#,}"
}
caller_url() { echo "http://127.0.0.1:$(caller_port "$1")"; }

fault() { "$BIN/standin" fault "$@"; }
now_ms() { echo $(($(date +%s%N) / 1000000)); }
fail() {
  echo "$*"
  exit 1
}

# two_counters ENGINES: the fleet's branch with a second service beside counter-1.
two_counters() {
  local second="\"counter-2\":{\"address\":\"127.0.0.1:$(upstream_port 92)\",\"data_centre\":\"bandung\"}"
  fleet_branch "$1" | sed "s|\"counter-1\":{|$second,\"counter-1\":{|"
}

# start_upstreams ENGINES [ENGINE FLAGS]: engines, two services and a scorer.
start_upstreams() {
  local engines=$1 i
  shift
  for i in $(seq 1 "$engines"); do start_engine "$i" "$@"; done
  start counter-1 "$BIN/standin" service --listen "127.0.0.1:$(upstream_port 90)" --latency "${SERVICE_LATENCY:-5ms}"
  start counter-2 "$BIN/standin" service --listen "127.0.0.1:$(upstream_port 92)" --latency "${SERVICE_LATENCY:-5ms}"
  start scorer "$BIN/standin" scorer --listen "127.0.0.1:$(upstream_port 91)" --latency 5ms
}

# healthy N...: waits until the daemons answer on their admin ports.
healthy() {
  local i list=()
  for i in "$@"; do list+=("$(admin_url "$i")/healthz"); done
  "$BIN/standin" wait "${list[@]}"
}

# traffic_fleet DAEMONS ENGINES [ENGINE FLAGS]: the whole fleet, ready.
traffic_fleet() {
  local daemons=$1 engines=$2 i
  shift 2
  start_platform
  start_upstreams "$engines" "$@"
  vm_list "$daemons"
  for i in $(seq 1 "$daemons"); do start_daemon "$i"; done
  healthy $(seq 1 "$daemons")
  "$BIN/standin" wait "${COUNTERS[0]}/load" "${COUNTERS[1]}/load"
  publish fleet "$(two_counters "$engines")"
  publish teams/koperasi "$(team_branch)"
  ready $(seq 1 "$daemons")
}

# start_callers NAME DAEMONS [FLAGS]: callers of both services and the model.
start_callers() {
  local name=$1 daemons=$2
  shift 2
  start "$name" "$BIN/standin" callers --json --daemons "$(urls caller $(seq 1 "$daemons"))" --key $CALLER_KEY \
    --service-path /booking --idempotent-path /rolls --services "${COUNTERS[0]},${COUNTERS[1]}" "$@"
}

# figure NAME FILTER: a figure of the callers' own result, 0 if there is none.
figure() { jq -r "$2 // 0" "$RUN/$1.out" 2>/dev/null || echo 0; }

# reasons NAME: why calls failed, by the callers' own count.
reasons() { jq -c '.failed_by_reason' "$RUN/$1.out"; }

# explain NAME: the callers' examples of what went wrong, for the log.
explain() { jq -c '{failed_by_reason, wrong_first, verified}' "$RUN/$1.out" >&2 || tail -n 3 "$RUN/$1.log" >&2; }
