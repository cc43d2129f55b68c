#!/usr/bin/env bash
# Measures the latency that an entry adds: sends the same open-loop load directly
# to an engine stand-in and through an entry. Usage: bench-latency.sh [rate] [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
rate=${1:-50}; secs=${2:-10}
start_stack 2ms >/dev/null
echo "== straight at the engine (127.0.0.1:19101)"
bin/lovagectl load --entry http://127.0.0.1:19101 --rate "$rate" --duration "${secs}s" --tokens 16 --mix key-suwon:draft-small@v1:1
echo "== through entry-a"
bin/lovagectl load --entry $ENTRY_A --rate "$rate" --duration "${secs}s" --tokens 16 --mix key-suwon:draft-small:1
