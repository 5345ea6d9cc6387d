#!/usr/bin/env bash
# Runs the process-level proofs, scripts/prove/*.sh or just those named, a few at
# a time, each with its own ports and processes. A proof's last line of output is
# its detail; its exit code is the verdict.
set -uo pipefail
cd "$(dirname "$0")/.."
SIDE_BY_SIDE=${SIDE_BY_SIDE:-3}
LIMIT=${LIMIT:-100}          # seconds a proof may take
FIRST_PORT=${FIRST_PORT:-12000}
logs=$(mktemp -d)

names=("$@")
if [ ${#names[@]} -eq 0 ]; then
  for f in scripts/prove/*.sh; do names+=("$(basename "$f" .sh)"); done
fi

# one NAME SLOT: runs a proof on the ports of its slot.
one() {
  local code=0 detail word=ok
  mkdir -p "$logs/$1"
  PORT_BASE=$((FIRST_PORT + $2 * 600)) RUN=$logs/$1 timeout -k 5 "$LIMIT" "scripts/prove/$1.sh" >"$logs/$1/detail" 2>"$logs/$1/errors" || code=$?
  detail=$(tail -n 1 "$logs/$1/detail")
  if [ $code -ne 0 ]; then word=FAIL; fi
  echo "prove: $1 $word ${detail:-exit code $code}"
  return $code
}

failed=0 slot=0
pids=()
for name in "${names[@]}"; do
  while [ "$(jobs -rp | wc -l)" -ge "$SIDE_BY_SIDE" ]; do sleep 0.2; done
  one "$name" $slot &
  pids+=($!)
  slot=$((slot + 1)) # not in the line above: an argument of & is counted in a subshell
done
for pid in "${pids[@]}"; do wait "$pid" || failed=$((failed + 1)); done
echo "prove: ${#names[@]} run, $failed failed; logs in $logs"
[ $failed -eq 0 ]
