#!/usr/bin/env bash
# Regression runs before a merge, with the users' benchmark kit: `hunt` on all sites, `score` on
# the grown and large ones and bedline-tas, one site per call. Prints a result line for each; the
# full logs go to OUT. Runs hunt only by default.
#   KIT=DIR BENCH=PROGRAM [JOBS=6] [OUT=DIR] scripts/regress.sh [hunt] [score]
set -euo pipefail
cd "$(dirname "$0")/.."
: "${KIT:?the folder with the site files}" "${BENCH:?the bench program}"
jobs=${JOBS:-6}
out=${OUT:-$(mktemp -d)}
why="regression runs of $(git rev-parse --short HEAD)"
small=(sites/kallisti-press sites/ondol-remind further/bedline-tas)
grown=(grown/kallisti-press-grown grown/ondol-remind-grown further-grown/bedline-tas-grown large/ondol-remind-large
  shifted/ondol-remind-now-grown demands/dgs-checkin-grown demands/tanglaw-exams-grown)

play() { # verb, site, options
  local log="$out/$1-$(basename "$2").log"
  "$BENCH" "$1" "$KIT/$2.toml" "${@:3}" --jobs "$jobs" --why "$why" >"$log" 2>&1 || echo "$1 $2: ended with $?"
  echo "$1 $2: $(grep -E 'rule broken|GATE' "$log" | paste -sd' ')"
}

for what in "${@:-hunt}"; do
  case $what in
    hunt)
      for site in "${small[@]}"; do play hunt "$site" --days 40; done
      for site in "${grown[@]}"; do play hunt "$site" --days 8; done
      ;;
    score) for site in "${grown[@]}" further/bedline-tas; do play score "$site"; done ;;
    *) echo "unknown: $what (hunt, score)" >&2; exit 2 ;;
  esac
done
echo "logs: $out"
