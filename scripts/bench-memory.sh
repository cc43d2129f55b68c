#!/usr/bin/env bash
# Measures an entry's resident memory with the target-size configuration and
# about 100 requests in flight per entry (the per-node share at the target:
# 11.5 req/s times ~9 s per 260-token answer), and the time the CLI takes to
# apply the target-size folder. Usage: bench-memory.sh [rate] [tokens] [step]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
rate=${1:-100}; tokens=${2:-64}; step=${3:-30ms}
start_stack "$step" >/dev/null
rss() { awk '/VmRSS/ {print $2}' /proc/"$1"/status; }
a=${pids[5]}; b=${pids[6]}
dir=$(mktemp -d); bin/lovagectl synth "$dir"
# The synthetic back ends do not run; the demo ones are added to serve the load.
cp examples/demo/30-backends.yaml "$dir/40-demo-backends.yaml"; cp examples/demo/10-models.yaml "$dir/35-demo-models.yaml"
cp examples/demo/20-customers.yaml "$dir/36-demo-customers.yaml"
s=$(date +%s%N); bin/lovagectl apply "$dir" --kv $KV; e=$(date +%s%N)
echo "lovagectl apply of the target-size folder: $(( (e-s)/1000000 )) ms wall"
sleep 1
echo "idle, target config:   a=$(rss $a) kB b=$(rss $b) kB"
bin/lovagectl load --entry $ENTRY_A --entry $ENTRY_B --rate "$rate" --duration 8s --tokens "$tokens" \
  --mix key-suwon:draft-small:3 --mix key-suwon:draft-large:1 --mix key-daejeon:draft-small:1 > "$LOGS/load.txt" &
lp=$!
sleep 5
echo "under load:            a=$(rss $a) kB b=$(rss $b) kB in_flight a=$(curl -s $ENTRY_A/debug/state | sed -nE 's/.*"in_flight": ([0-9]+).*/\1/p' | head -1)"
wait $lp; cat "$LOGS/load.txt"
