#!/usr/bin/env bash
# Measures the time from `lovagectl apply` returning until the change is in force
# on all eight entries of the Ondol example: with a healthy KV, with watches that
# deliver nothing, and for a change applied as a 10 s KV outage ends. Also counts
# the KV calls of idle entries. Usage: bench-propagation.sh [runs]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh; . scripts/site.sh
runs=${1:-5}
start_site ondol 2ms >/dev/null
dir=$(mktemp -d); cp examples/ondol/*.yaml "$dir"
rev() { curl -s "$1/debug/state" | grep -oE '"revision": [0-9]+' | head -1 | grep -oE '[0-9]+'; }
apply() { # writes one change; prints its revision
  echo "models: {draft-small: {cost_per_mtok: 0.$RANDOM}}" > "$dir/90-change.yaml"
  bin/lovagectl apply "$dir" --kv $KV | grep -oE 'revision [0-9]+' | grep -oE '[0-9]+'
}
in_force() { # waits until every entry has revision $1; prints ms since $2
  until all=1; for u in "${SITE_ENTRIES[@]}"; do [ "$(rev "$u")" -ge "$1" ] || { all=0; break; }; done; [ $all = 1 ]; do :; done
  echo $(( ($(date +%s%N)-$2)/1000000 ))
}
sleep 25
c0=$(kv_calls); sleep 20; c1=$(kv_calls)
echo "KV calls idle: $((c1-c0)) in 20 s by 8 entries in 4 failure domains"
printf 'healthy, ms:'; for _ in $(seq "$runs"); do r=$(apply); printf ' %s' "$(in_force "$r" "$(date +%s%N)")"; done; echo
curl -s -X PUT $KV/fault -d '{"stall_watches":true}'; sleep 6
printf 'watches silent, ms:'; for _ in $(seq "$runs"); do r=$(apply); printf ' %s' "$(in_force "$r" "$(date +%s%N)")"; done; echo
curl -s -X PUT $KV/fault -d '{}'; sleep 6
printf 'written as a 10 s outage ends, ms:'
for _ in 1 2; do
  curl -s -X PUT $KV/fault -d '{"down":true}'; sleep 10; curl -s -X PUT $KV/fault -d '{}'
  r=$(apply); printf ' %s' "$(in_force "$r" "$(date +%s%N)")"
done; echo
