#!/usr/bin/env bash
# Plays two versions of the program on the same sites, days and seeds with the users' bench, and
# prints the differences by day and by class of requests.
#
#   FLEETBENCH=PROGRAM SEEDS="own 5 6 7" DAYS="quiet-1 scale-1" JOBS=4 WHY="one policy" \
#     _scripts/compare.sh BASE NEW SITE...
#
# The seed "own" is that of the day itself.
# BASE and NEW are commits. Each is played in a work tree of its own below WORK, so that files may
# change here meanwhile; plays that are there already are not repeated. The journal entries of the
# plays are copied here.
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ $# -lt 3 ]]; then
  sed -n '2,11p' "$0" >&2
  exit 2
fi
: "${FLEETBENCH:?names the program that plays days}"
seeds=${SEEDS:-own 5 6 7}
jobs=${JOBS:-4}
work=${WORK:-${TMPDIR:-/tmp}/azurehitch-compare}
base=$(git rev-parse --short "$1")
new=$(git rev-parse --short "$2")
shift 2
versions=$(printf '%s\n' "$base" "$new" | sort -u)
mkdir -p "$work"

prepare() { # VERSION
  [[ -d $work/$1 ]] || git worktree add -q --detach "$work/$1" "$1"
  (cd "$work/$1" && "$FLEETBENCH" build >"$work/$1.build" 2>&1) || { cat "$work/$1.build" >&2; exit 1; }
}

# days prints the names of the days in a site file.
days() { awk '/^\[/ { inDay = $0 == "[[day]]" } inDay && $1 == "name" { gsub(/"/, "", $3); print $3; inDay = 0 }' "$1"; }

# missing_runs prints the runs without output, five NUL-terminated arguments of run_day for each.
missing_runs() {
  local version site day seed out
  for site in "${sites[@]}"; do
    for day in ${DAYS:-$(days "$site")}; do
      for seed in $seeds; do
        for version in $versions; do
          out=$work/$version.out/$(basename "$site" .toml)/$day.$seed
          mkdir -p "$(dirname "$out")"
          [[ -s $out ]] || printf '%s\0' "$version" "$site" "$day" "$seed" "$out"
        done
      done
    done
  done
}

run_day() { # VERSION SITE DAY SEED OUTPUT
  cd "$work/$1"
  local seed=(--seed "$4")
  [[ $4 != own ]] || seed=()
  "$FLEETBENCH" run "$2" "$3" "${seed[@]}" --no-cpu --jobs 1 --why "${WHY:-comparison of versions}: $1" >"$5.part" 2>&1 || true
  mv "$5.part" "$5"
}
export -f run_day
export FLEETBENCH WHY work

sites=("$@")
for version in $versions; do
  prepare "$version"
done
missing_runs | xargs -0 -r -n 5 -P "$jobs" bash -c 'run_day "$@"' run_day
for version in $versions; do
  cp -rn "$work/$version/journal/." journal/
done

for site in "${sites[@]}"; do
  name=$(basename "$site" .toml)
  for day in ${DAYS:-$(days "$site")}; do
    for seed in $seeds; do
      for version in $versions; do
        echo "play $version $day $seed"
        cat "$work/$version.out/$name/$day.$seed"
      done
    done
  done | awk -v base="$base" -v new="$new" -v site="$name" -f _scripts/compare.awk
done
