#!/usr/bin/env bash
# Plays the same days with the same seeds for two or more versions of the tree, without
# charging processor time, and says whether they differ by more than the plays themselves do.
#   scripts/compare.sh BENCH WHY SEEDS A B[;C...] SITE[:DAY,...]...
# BENCH: the bench's program. WHY: a line for its journal. SEEDS: plays of each day.
# A, B: git revisions, or directories with a work tree, such as "."; followed by
# "+NAME,..." with these mechanisms switched off (dogwoodflowd --without). Each of B, C, ...
# is compared with A. SITE: a site file; without days all its standard days with trouble.
# FIRST (1): number of the first seed; other seeds than before tell chance from difference.
# JOBS (5): plays at a time. ROOM: a directory of its own for a comparison that runs beside
# another.
#
# What counts as noise: plays of one day with one seed differ between two versions by
# chance, so pairs are compared. A difference is told as one if the mean of the pairs is
# over two standard errors from zero and over 0.005 of worth; anything else is noise.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=${1:?the bench\'s program} why=${2:?why} seeds=${3:?seeds} a=${4:?first version} others=${5:?other versions}
shift 5
room=${ROOM:-$(pwd)/.run/compare}
first=${FIRST:-1}
mkdir -p "$room"

# prepare puts a version into a directory of its own, without its journal.
prepare() { # version name
  local from=${1%%+*} without=${1#"${1%%+*}"}
  rm -rf "${room:?}/$2"
  mkdir -p "$room/$2"
  if [ -d "$from" ]; then
    (cd "$from" && git ls-files -co --exclude-standard | grep -v '^journal/' | tar -cf - -T -) | tar -xf - -C "$room/$2"
  else
    git archive "$from" | tar -xf - --exclude=journal -C "$room/$2"
  fi
  [ -z "$without" ] || sed -i "s/^run = \"\(.*\)\"/run = \"\1 --without ${without#+}\"/" "$room/$2/deploy/system.toml"
  (cd "$room/$2" && git init -q && "$bench" build > build.log 2>&1) || { echo "$1 doesn't build"; exit 1; }
}

# play prints a play's version, site, day, seed, worth and broken rules.
play() { # name site day seed
  local line
  line=$(cd "$room/$1" && timeout 300 "$bench" run "$2" "$3" --seed "$4" --no-cpu --why "trial, comparison $1: $why" 2>&1 |
    grep -E '^[A-Za-z0-9-]+ +[0-9]+/[0-9]+ ' | head -1)
  echo "$1 $(basename "$2" .toml) $3 $4 $(awk '{print $4}' <<< "$line") $(grep -o 'BROKEN: [A-Z]*' <<< "$line" | cut -d' ' -f2)"
}
export -f play
export bench room why

names=(a)
prepare "$a" a
IFS=';' read -ra versions <<< "$others"
for v in "${versions[@]}"; do
  name=$(printf "\\$(printf '%03o' $((97 + ${#names[@]})))")
  prepare "$v" "$name"
  names+=("$name")
  echo "$name: $v"
done
for each in "$@"; do
  site=$(realpath "${each%%:*}")
  days=${each#"${each%%:*}"}
  [ -n "$days" ] || days=$(grep -A1 -E '^\[\[day\]\]' "$site" | sed -nE 's/^name = "(.*)"/\1/p' | grep -v quiet | paste -sd,)
  for day in $(tr ',' ' ' <<< "${days#:}"); do
    for n in $(seq "$first" $((first + seeds - 1))); do
      # A seed of the day's own and of the site, the same for all versions.
      seed=$((n * 7919 + $(cksum <<< "$(basename "$site")$day" | cut -d' ' -f1) % 100000))
      for name in "${names[@]}"; do printf '%s\0%s\0%s\0%s\0' "$name" "$site" "$day" "$seed"; done
    done
  done
done | xargs -0 -n4 -P "${JOBS:-5}" bash -c 'play "$@"' _ > "$room/plays"
for name in "${names[@]}"; do cp "$room/$name"/journal/*.json journal/ 2>/dev/null || true; done

# With one other version each day has its row, with more each site.
awk -v versions="${#names[@]}" '
  {
    at = $2 " " $3 " " $4; worth[$1, at] = $5; names[$1] = 1
    row[at] = versions > 2 ? $2 : $2 " " $3
    if ($6 != "") broken = broken "  " $0 "\n"
  }
  END {
    printf "%-40s %5s %8s %8s %8s %8s  %s\n", "version, day or site", "plays", "a", "other", "diff", "+-", "better/worse than a"
    for (v in names) {
      if (v == "a") continue
      for (at in row) {
        if (worth["a", at] == "" || worth[v, at] == "") { lost++; continue }
        add(v " " row[at], at, v); add(v " all", at, v)
      }
    }
    for (r in n) show(r)
    close("sort")
    if (lost) print "not played: " lost " pairs"
    if (broken != "") printf "rules broken:\n%s", broken
  }
  function add(r, at, v,   d) {
    d = worth[v, at] - worth["a", at]
    n[r]++; sa[r] += worth["a", at]; sb[r] += worth[v, at]; s[r] += d; q[r] += d * d
    if (d > 0) up[r]++; else if (d < 0) down[r]++
  }
  function show(r,   m, e) {
    m = s[r] / n[r]; e = n[r] > 1 ? sqrt(max(0, (q[r] - n[r] * m * m) / (n[r] - 1)) / n[r]) : 0
    printf "%-40s %5d %8.3f %8.3f %+8.3f %8.3f  %d/%d %s\n", r, n[r], sa[r] / n[r], sb[r] / n[r], m, e, up[r], down[r], \
      (n[r] > 1 && abs(m) > 2 * e && abs(m) > 0.005) ? "DIFFERENT" : "noise" | "sort"
  }
  function abs(x) { return x < 0 ? -x : x }
  function max(x, y) { return x > y ? x : y }
' "$room/plays"
