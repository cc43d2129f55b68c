#!/usr/bin/env bash
# Measures the control-plane cost of entries on the platform, without requests: N
# entries of one fleet and a store that holds ENDPOINTS registrations and
# CUSTOMERS customers. After 4 s of start-up it measures for SECONDS, while
# CHANGES configurations are written. Prints per entry: CPU share, peak memory
# of the largest, loopback bytes per second (both ends, so an upper bound).
# Usage: scripts/bench-edge.sh N SECONDS CHANGES [ENDPOINTS] [CUSTOMERS]
set -euo pipefail
cd "$(dirname "$0")/.."
n=$1 seconds=$2 changes=$3 endpoints=${4:-3600} customers=${5:-2000}
go build -o bin/ ./cmd/...
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$dir"' EXIT
store=127.0.0.1:23000
bin/lovagectl standin platform-store --listen $store --endpoints "$endpoints" --domains 13 --customers "$customers" >"$dir/store.log" 2>&1 &
pids+=($!)
sleep 1
entries=()
for i in $(seq 0 $((n - 1))); do
  p=$((23010 + 4 * i))
  cat >"$dir/$i.yaml" <<YAML
instance: entry-$i
domain: d$((i % 13))
store: "$store"
listen: {callers: "127.0.0.1:$p", readiness: "127.0.0.1:$((p + 1))", peers: "127.0.0.1:$((p + 2))", loads: "127.0.0.1:$((p + 3))"}
YAML
  bin/lovageweir edge --settings "$dir/$i.yaml" >"$dir/$i.log" 2>&1 &
  pids+=($!)
  entries+=($!)
done
sleep 4
ticks() { local t=0 u s; for e in "${entries[@]}"; do read -r u s < <(awk '{print $14, $15}' "/proc/$e/stat"); t=$((t + u + s)); done; echo $t; }
bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }
t0=$(ticks) b0=$(bytes)
for c in $(seq 1 "$changes"); do
  sleep "$(awk "BEGIN {print $seconds / ($changes + 1)}")"
  item=$(curl -s "http://$store/kv-key?key=op/config" | python3 -c 'import json,sys,base64; c=json.loads(base64.b64decode(json.load(sys.stdin)["value"])); c["version"]+=1; print(base64.b64encode(json.dumps(c).encode()).decode())')
  printf '{"set_keys":[{"key":"op/config","value":"%s"}]}' "$item" | curl -s -o /dev/null -X POST -d @- "http://$store/kv-txn"
done
sleep "$(awk "BEGIN {print $seconds / ($changes + 1)}")"
t1=$(ticks) b1=$(bytes)
rss=0
for e in "${entries[@]}"; do r=$(awk '/VmHWM/ {print $2}' "/proc/$e/status"); [ "$r" -gt "$rss" ] && rss=$r; done
inforce=$(grep -l "\"configuration in force\|configuration in force.*\"version\":$((changes + 1))" "$dir"/[0-9]*.log | wc -l)
awk -v n="$n" -v s="$seconds" -v t=$((t1 - t0)) -v b=$((b1 - b0)) -v r="$rss" -v f="$inforce" -v c="$changes" \
  'BEGIN {printf "%d entries, %d s, %d changes: %.2f%% of a core, %.1f MB at most, %.1f KB/s an entry; last change in force at %d\n", n, s, c, t/s/n, r/1024, b/s/n/1024, f}'
