#!/usr/bin/env bash
# Runs every fuzz target for FUZZ_TIME (10s). The seeds alone run with the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
grep -rlE '^func Fuzz' --include='*_test.go' . | while read -r file; do
  grep -oE '^func Fuzz[A-Za-z0-9]+' "$file" | while read -r _ target; do
    echo "fuzz: $(dirname "$file") $target"
    go test -run '^$' -fuzz "^$target\$" -fuzztime "${FUZZ_TIME:-10s}" -fuzzminimizetime 1s "$(dirname "$file")"
  done
done
