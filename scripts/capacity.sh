#!/usr/bin/env bash
# What one daemon costs as the fleet around it grows: two runs over all series,
# and the table of docs/CAPACITY.md from both. Only one real daemon runs at a
# time; what surrounds it are fakes in one process, on loopback.
#
#   scripts/capacity.sh            both runs and the table
#   RUNS=1 PAGE= scripts/capacity.sh   one run, table printed
PORT_BASE=${PORT_BASE:-18000}
source "$(dirname "$0")/lib.sh"

RUNS=${RUNS:-2}
PAGE=${PAGE-$ROOT/docs/CAPACITY.md}
OUT=${OUT:-$RUN}

# point RUN SERIES SIZE: one daemon's life.
point() {
  local name=entry-1
  start_daemon 1 --log-level warn
  "$BIN/capacity" measure --port-base "$PORT_BASE" --pid "${PID[$name]}" --series "$2" --size "$3" \
    --admin-token "$DOGWOODFLOW_ADMIN_TOKEN" --peer-token "$DOGWOODFLOW_PEER_TOKEN" --out "$OUT/run-$1.jsonl"
  signal $name KILL
  await $name 2>/dev/null || true
}

files=
for run in $(seq 1 "$RUNS"); do
  rm -f "$OUT/run-$run.jsonl"
  for n in 4 8 15 30; do echo "capacity: run $run, $n peers"; point "$run" peers "$n"; done
  for n in 30 130 260 522; do echo "capacity: run $run, $n upstreams"; point "$run" upstreams "$n"; done
  for n in 130 260 522 1044; do echo "capacity: run $run, 30 daemons and $n upstreams"; point "$run" centre "$n"; done
  echo "capacity: run $run, configuration entries"
  point "$run" entries 0
  for n in 1024 4096 8192 16384; do echo "capacity: run $run, $n samples"; point "$run" samples "$n"; done
  for n in 30 500 2000 6000 12690; do echo "capacity: run $run, $n VMs on the list"; point "$run" list "$n"; done
  echo "capacity: run $run, the data path and claims"
  point "$run" data 0
  "$BIN/capacity" state --out "$OUT/run-$run.jsonl"
  files+=",$OUT/run-$run.jsonl"
done
"$BIN/capacity" table --runs "${files#,}" --page "$PAGE"
