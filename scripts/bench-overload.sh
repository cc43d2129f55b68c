#!/usr/bin/env bash
# Overloads a pool of the Ondol example: two customers, one of the highest
# priority and one of the lowest, send draft-large more requests than its engines
# have capacity for. Prints the outcomes of each, without and with shedding by
# priority (which needs the capacity in the configuration).
# Usage: bench-overload.sh [rate each] [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh; . scripts/site.sh
rate=${1:-220}; secs=${2:-10}
start_site ondol 20ms >/dev/null
dir=$(mktemp -d); cp examples/ondol/*.yaml "$dir"
cat > "$dir/80-overload.yaml" <<'Y'
customers:
  incheon-heating: {priority: 3}
  suwon-boiler: {priority: 1}
Y
sleep 5
for mode in "without capacity" "with capacity"; do
  if [ "$mode" = "without capacity" ]; then sed -i 's/capacity: 64, //' "$dir/30-backends.yaml"; else cp examples/ondol/30-backends.yaml "$dir/"; fi
  bin/lovagectl apply "$dir" --kv $KV >/dev/null; sleep 4
  echo "== $mode: draft-large holds 4 x 64; each customer asks ${rate}/s, answers take ~1.3 s"
  site_load "$rate" "$secs" 64 key-suwon-boiler:draft-large:1 > "$LOGS/low.txt" & lp=$!
  site_load "$rate" "$secs" 64 key-incheon-heating:draft-large:1 > "$LOGS/high.txt"; wait $lp
  for c in high low; do echo "$c priority:"; grep -E 'sent|outcome|first token' "$LOGS/$c.txt"; done
done
