#!/usr/bin/env bash
# Measures the control-plane cost per node: N entries of one failure domain
# with a configuration of the target size (3,600 back ends, 2,000 customers) and
# the domain's 277 engines, without requests. Prints, per entry, CPU use, memory,
# bytes sent and received (an upper bound: all loopback traffic, both ends), and
# KV calls. Usage: bench-node.sh N [seconds] [changes]
# changes: configuration changes made during the measurement.
set -euo pipefail
cd "$(dirname "$0")/.."
n=${1:-8}; secs=${2:-20}; changes=${3:-0}
. scripts/lib.sh; . scripts/domain.sh
start_domain "$n" 5ms
sleep 24 # until after the first gossip rounds, whose digests are larger
sum_ticks() { ticks | awk '{s+=$1} END {print s}'; }
lo() { awk '/lo:/ {print $10}' /proc/net/dev; }
t0=$(sum_ticks); b0=$(lo); c0=$(kv_calls)
for i in $(seq 1 "$changes"); do
  sleep $((secs/(changes+1)))
  echo "models: {model-00: {cost_per_mtok: $i}}" > "$dir/99-change.yaml"
  bin/lovagectl apply "$dir" --kv $KV >/dev/null
done
sleep $((secs - changes*(secs/(changes+1))))
t1=$(sum_ticks); b1=$(lo); c1=$(kv_calls)
rss=$(largest_rss)
awk -v n="$n" -v s="$secs" -v t=$((t1-t0)) -v b=$((b1-b0)) -v c=$((c1-c0)) -v r="$rss" -v ch="$changes" 'BEGIN {
  printf "entries=%d seconds=%d changes=%d  cpu/entry=%.2f%% core  rss max=%.1f MB  bytes/entry<=%.1f KB/s  kv calls=%.2f/s (%.3f per entry)\n",
    n, s, ch, t/n/s, r/1024, 2*b/n/s/1000, c/s, c/s/n }'
