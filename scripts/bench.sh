#!/usr/bin/env bash
# The policy's bench: real daemons and stand-in engines on loopback, each scenario
# under the naive policy and ours by turns, each run in a world of its own.
#   scripts/bench.sh [--quick] [--json FILE] [--plot FILE] [SCENARIO ...]
# REPETITIONS (3), POLICIES ("naive ours"), PORT_BASE and BIN come from the
# environment. What must not happen in any run (a wrong, stale, doubled or missing
# answer) makes it fail.
source "$(dirname "$0")/lib.sh"
BIN=${BENCH_BIN:-$BIN}
REPETITIONS=${REPETITIONS:-3}
POLICIES=${POLICIES:-naive ours}

table=() scenarios=() quick=
while [ $# -gt 0 ]; do
  case $1 in
    --quick) quick=--quick ;;
    --json | --plot | --plot-measure) table+=("$1" "$2"); shift ;;
    *) scenarios+=("$1") ;;
  esac
  shift
done
if [ ${#scenarios[@]} -eq 0 ]; then
  mapfile -t scenarios < <("$BIN/bench" list $quick)
  [ -n "$quick" ] || scenarios+=(cost)
fi

# keep_up COMMAND...: starts the command again a second after each of its ends.
keep_up() {
  local child
  trap 'kill -KILL "$child" 2>/dev/null; exit 0' TERM
  while true; do
    "$@" &
    child=$!
    wait "$child" || true
    sleep 1 &
    child=$!
    wait "$child" || true
  done
}

# Processes that are kept up end by TERM: KILL would leave their child behind.
declare -A KEEPER=()
stop_world() {
  local name
  for name in "${!KEEPER[@]}"; do kill -TERM "${PID[$name]}" 2>/dev/null || true; done
  for name in "${!KEEPER[@]}"; do wait "${PID[$name]}" 2>/dev/null || true; unset "PID[$name]"; done
  KEEPER=()
  stop_all 2>/dev/null
}
trap stop_world EXIT

start_world() {
  local name mode program args
  while read -r name mode program args; do
    if [ "$mode" = restart ]; then
      # shellcheck disable=SC2086 # no argument holds a space
      start "$name" keep_up "$BIN/$program" $args
      KEEPER[$name]=1
    else
      # shellcheck disable=SC2086
      start "$name" "$BIN/$program" $args
    fi
  done <"$world/processes"
  "$BIN/standin" wait "$VMS_URL/_standin/fault"
  "$BIN/standin" get --method PUT --body @- "$VMS_URL/v1/vms" <"$world/vms.json" >/dev/null
  "$BIN/standin" wait "$(admin_url 1)/healthz"
  local branch file
  while read -r branch file; do
    "$BIN/dogwoodflowctl" --url "$(admin_url 1)" config set --branch "$branch" --file "$file" --base latest >/dev/null
  done <"$world/branches"
  mapfile -t urls <"$world/ready"
  "$BIN/standin" wait "${urls[@]}"
}

# one SCENARIO POLICY SEED: one run in a world of its own.
one() {
  local out="$RUN/run-$1-$2-$3.json" pid=()
  world=$RUN/$1-$2-$3
  mkdir -p "$world"
  "$BIN/bench" plan --policy "$2" --port-base "$PORT_BASE" --dir "$world" "$1"
  start_world
  if [ "$1" = cost ]; then pid=(--daemon-pid "${PID[entry-1]}"); fi
  if timeout 90 "$BIN/bench" drive --policy "$2" --port-base "$PORT_BASE" --seed "$3" --json "$out" "${pid[@]}" "$1"; then
    runs+=("$out")
  else
    failed=$((failed + 1))
    echo "bench: $1, $2, seed $3: the run failed, see $RUN" >&2
  fi
  stop_world
}

runs=() failed=0
begun=$SECONDS
for scenario in "${scenarios[@]}"; do
  for seed in $(seq 1 "$REPETITIONS"); do
    for policy in $POLICIES; do one "$scenario" "$policy" "$seed"; done
  done
done
code=0
"$BIN/bench" table "${table[@]}" "${runs[@]}" || code=$?
echo "bench: ${#runs[@]} runs, $failed failed, $((SECONDS - begun)) s, load average $(cut -d' ' -f1-3 /proc/loadavg)"
[ $failed -eq 0 ] && exit $code
exit 1
