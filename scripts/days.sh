#!/usr/bin/env bash
# Plays every day of deploy/days and every kept seed against the current tree, with
# the users' bench. Not part of CI, which has no kit.
#   scripts/days.sh BENCH SITE...     BENCH: the bench's program, SITE: site files. The usual
# sites are the largest one and the last customer's; the first customers' small ones are played
# when a decision that they measured changes.
set -uo pipefail
cd "$(dirname "$0")/.."
bench=${1:?the program of the bench}
shift
bad=0
show() { # prints a day's line and counts broken rules
  local line
  line=$(timeout 300 "$bench" run "$@" --why "kept days" 2>&1 | grep -E '^[a-z0-9-]+ +[0-9]+/[0-9]+ ' | head -1)
  echo "$(basename "$1" .toml) ${line:-did not play: $2}"
  case "${line:-BROKEN}" in *BROKEN*) bad=$((bad + 1)) ;; esac
}
for site in "$@"; do
  for day in deploy/days/*.toml; do show "$site" "$day"; done
  while read -r name day seed _; do
    [ "$name" = "$(basename "$site" .toml)" ] && show "$site" "$day" --seed "$seed"
  done < scripts/days.seeds
done
echo "days: $bad with a broken rule or not played"
[ "$bad" -eq 0 ]
