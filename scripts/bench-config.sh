#!/usr/bin/env bash
# Measures, on real processes, an entry's resident memory before and after
# loading a target-size configuration (3,600 back ends, 2,000 customers), and
# the time from the start of `lovagectl apply` until both entries use it.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
start_stack 2ms >/dev/null
rss() { awk '/VmRSS/ {print $2}' /proc/"$1"/status; }
a=${pids[5]}; b=${pids[6]}
echo "entry RSS with demo config:   a=$(rss $a) kB b=$(rss $b) kB"
dir=$(mktemp -d); bin/lovagectl synth "$dir"
rev() { curl -s "$1/debug/state" | sed -nE 's/.*"revision": ([0-9]+).*/\1/p' | head -1; }
r0=$(rev $ENTRY_A)
t0=$(date +%s%N)
bin/lovagectl apply "$dir" --kv $KV >/dev/null
until [ "$(rev $ENTRY_A)" -gt "$r0" ] && [ "$(rev $ENTRY_B)" -gt "$r0" ]; do sleep 0.005; done
t1=$(date +%s%N)
echo "apply -> in force on both entries: $(( (t1-t0)/1000000 )) ms (target-size document, KV healthy)"
sleep 1
echo "entry RSS with target config: a=$(rss $a) kB b=$(rss $b) kB"
echo "KV stand-in: $(curl -s $KV/debug/state)"
