#!/usr/bin/env bash
# Measures one failure domain of the target size under its share of the peak
# load: N entries with the target configuration, 11.5 requests per second each,
# 260 tokens per answer at 34 ms per token. Prints CPU use and memory per entry,
# and the CPU use of the busiest one, which writes the domain's billing records.
# Usage: bench-domain.sh N [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."
n=${1:-8}; secs=${2:-20}
. scripts/lib.sh; . scripts/domain.sh
start_domain "$n" 34ms
key=$(grep -A2 'customer-00000' "$dir/20-customers.yaml" | grep -oE 'key-[0-9a-f]+' | head -1)
sleep 5
rate=$(awk -v n="$n" 'BEGIN {print 11.5*n}')
bin/lovagectl load "${DOMAIN_ARGS[@]}" --rate "$rate" --duration "$((secs+14))s" --max 100000 --tokens 260 \
  --mix "$key:model-00:1" --mix "$key:model-01:1" --mix "$key:model-02:1" > "$LOGS/load.txt" & lp=$!
sleep 12 # until the number of requests in flight is steady
ticks > "$LOGS/t0"; c0=$(kv_calls); sleep "$secs"; ticks > "$LOGS/t1"; c1=$(kv_calls)
rss=$(largest_rss)
inflight=$(curl -s http://127.0.0.1:18101/debug/state | awk -F: "/\"in_flight\"/ {print \$2+0; exit}" || true)
paste "$LOGS/t0" "$LOGS/t1" | awk -v s="$secs" -v r="$rss" -v c=$((c1-c0)) -v f="$inflight" '
  {d=($2-$1)/s; sum+=d; if (d>m) m=d; n++}
  END {printf "entries=%d  cpu/entry mean=%.2f%% busiest=%.2f%% core  rss max=%.1f MB  in flight=%s  kv calls=%.2f/s\n", n, sum/n, m, r/1024, f, c/s}'
wait $lp; grep -E 'sent|outcome|first token|between' "$LOGS/load.txt"
