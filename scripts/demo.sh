#!/usr/bin/env bash
# The main job on the embedded default: builds both binaries, starts the
# stand-ins and two entry instances in two failure domains on loopback,
# applies examples/demo, sends streamed and whole requests (one refused for a
# disallowed model), prints them, and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/ ./cmd/...
pids=()
cleanup() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap cleanup EXIT
log=$(mktemp -d)
bin/lovagectl standin kv --listen 127.0.0.1:12379 2>"$log/kv.log" & pids+=($!)
for spec in 19101:draft-small:v1 19102:draft-small:v1 19111:draft-large:v1 19112:draft-large:v2; do
  IFS=: read -r port model version <<<"$spec"
  bin/lovagectl standin engine --listen 127.0.0.1:$port --model $model --version $version --step 5ms 2>"$log/engine-$port.log" & pids+=($!)
done
bin/lovageweir -c examples/settings/entry-a.yaml 2>"$log/entry-a.log" & pids+=($!)
bin/lovageweir -c examples/settings/entry-b.yaml 2>"$log/entry-b.log" & pids+=($!)
for i in $(seq 50); do curl -fs http://127.0.0.1:18081/healthz >/dev/null && curl -fs http://127.0.0.1:18082/healthz >/dev/null && break; sleep 0.1; done
echo "== apply examples/demo"
bin/lovagectl apply examples/demo --kv http://127.0.0.1:12379
for i in $(seq 50); do curl -fs http://127.0.0.1:18081/readyz >/dev/null && curl -fs http://127.0.0.1:18082/readyz >/dev/null && break; sleep 0.1; done
bin/lovagectl status --entry http://127.0.0.1:18081 --entry http://127.0.0.1:18082
ask() { # entry key model stream
  curl -s -D - "http://127.0.0.1:$1/v1/chat/completions" -H "Authorization: Bearer $2" -H "X-Session-Id: demo-session" \
    -d "{\"model\":\"$3\",\"stream\":$4,\"max_tokens\":5,\"messages\":[{\"role\":\"user\",\"content\":\"Draft a reminder for the boiler check.\"}]}"
  echo
}
echo "== streamed, entry-a (fd-1), draft-small";  ask 18081 key-suwon draft-small true
echo "== whole, entry-b (fd-2), draft-large";     ask 18082 key-suwon draft-large false
echo "== refused: daejeon-family may not use draft-large"; ask 18081 key-daejeon draft-large false
echo "== entry-a state dump"; curl -s http://127.0.0.1:18081/debug/state
echo "== KV calls so far"; curl -s http://127.0.0.1:12379/debug/state; echo
