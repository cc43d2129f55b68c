#!/usr/bin/env bash
# Measures the exposure to a bad version on the Ondol example: 8 entries,
# draft-small v2 at weight 10 of 100, guarded. During each run the rater starts
# to rate v2's answers as useless. Prints how many requests v2 served from then
# until all entries halted it, and their share of all requests in that time.
# Usage: bench-exposure.sh [rate] [runs]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh; . scripts/site.sh
rate=${1:-50}; runs=${2:-3}
SKILL='{"draft-small":0.9}' start_site ondol 2ms >/dev/null
served() { # requests served by draft-small, version $1
  local n=0 p
  for p in $(grep "draft-small, version: $1" examples/ondol/30-backends.yaml | grep -oE '127.0.0.1:[0-9]+'); do
    n=$((n + $(curl -s "http://$p/debug/state" | grep -oE '"served":[0-9]+' | cut -d: -f2)))
  done
  echo $n
}
halted() { curl -s "${SITE_ENTRIES[$1]}/debug/state" | tr -d ' \n' | grep -oE "\"draft-small@v2#$2\":\{[^}]*\}" | grep -c '"halted":true' || true; }
dir=$(mktemp -d); cp examples/ondol/*.yaml "$dir"
for run in $(seq 1 "$runs"); do
  echo "models: {draft-small: {versions: {v2: {attempt: $run}}}}" > "$dir/90-attempt.yaml"
  curl -s -X PUT $RATER/fault -d '{"skill":{"draft-small":0.9}}'
  bin/lovagectl apply "$dir" --kv $KV >/dev/null
  site_load "$rate" 20 8 key-suwon-boiler:draft-small:1 > "$LOGS/load.txt" & lp=$!
  sleep 6
  v2=$(served v2); v1=$(served v1); t0=$(date +%s%N)
  curl -s -X PUT $RATER/fault -d '{"skill":{"draft-small@v1":0.9,"draft-small@v2":-1}}'
  until all=1; for i in 0 1 2 3 4 5 6 7; do [ "$(halted $i "$run")" = 1 ] || all=0; done; [ $all = 1 ]; do sleep 0.05; done
  t1=$(date +%s%N); sleep 0.3; e2=$(served v2); e1=$(served v1)
  wait $lp
  echo "run $run: v2 ran $((e2-v2)) requests after it turned bad ($(( 100*(e2-v2)/(e2-v2+e1-v1) ))% of $((e2-v2+e1-v1))), halted on all 8 entries after $(( (t1-t0)/1000000 )) ms; later v2 ran $(( $(served v2)-e2 ))"
  awk '/outcome/' "$LOGS/load.txt"
done
