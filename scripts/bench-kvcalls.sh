#!/usr/bin/env bash
# Measures KV calls per entry per second, idle and under load, on real
# processes (two entries, stand-ins on loopback). Usage: bench-kvcalls.sh [seconds] [rate]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
secs=${1:-20}; rate=${2:-100}
start_stack 2ms >/dev/null
c0=$(kv_calls); sleep "$secs"; c1=$(kv_calls)
echo "idle:  $((c1-c0)) KV calls in ${secs}s by 2 entries"
bin/lovagectl load --entry $ENTRY_A --entry $ENTRY_B --rate "$rate" --duration "${secs}s" --tokens 16 \
  --mix key-suwon:draft-small:3 --mix key-suwon:draft-large:1 --mix key-daejeon:draft-small:1
c2=$(kv_calls)
echo "load:  $((c2-c1)) KV calls in ${secs}s by 2 entries at ${rate} req/s"
