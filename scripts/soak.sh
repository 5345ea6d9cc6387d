#!/usr/bin/env bash
# The fault soak: real daemons as processes, disturbed by a seeded plan.
#   scripts/soak.sh FROM TO [DURATION]   plays the seeds one after the other
#   scripts/soak.sh kept                 plays the seeds that ever failed
# The lines of a seed that breaks a promise stay in .run/soak/SEED.
set -uo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = kept ]; then
  seeds=$(grep -v '^#' scripts/soak.seeds | awk '{print $1 ":" $2}')
  duration=20s
else
  seeds=$(seq -f "%g:duties" "${1:?from}" "${2:?to}")
  duration=${3:-12s}
fi
bad=0
for each in $seeds; do
  seed=${each%:*}
  bin/platformsoak --seed "$seed" --plan "${each#*:}" --duration "$duration" --logs ".run/soak/$seed" || bad=$((bad + 1))
done
echo "soak: $bad seeds broke a promise"
[ "$bad" -eq 0 ]
