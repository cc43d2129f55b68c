# Shared by demo.sh and the bench scripts: build, start the stand-ins and two
# entries on loopback, apply examples/demo, and stop everything on exit.
# Ports: KV 12379, engines 19101-19112, entries 18081 (fd-1) and 18082 (fd-2).
KV=http://127.0.0.1:12379
ENTRY_A=http://127.0.0.1:18081
ENTRY_B=http://127.0.0.1:18082
pids=()
cleanup() { for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; }
trap cleanup EXIT

wait_ok() { # url
  for _ in $(seq 100); do curl -fs "$1" >/dev/null && return 0; sleep 0.1; done
  echo "no answer from $1" >&2; return 1
}

start_stack() { # step
  local step=${1:-5ms}
  mkdir -p bin
  go build -o bin/ ./cmd/...
  LOGS=$(mktemp -d)
  bin/lovagectl standin kv --listen 127.0.0.1:12379 2>"$LOGS/kv.log" & pids+=($!)
  for spec in 19101:draft-small:v1 19102:draft-small:v1 19111:draft-large:v1 19112:draft-large:v2; do
    IFS=: read -r port model version <<<"$spec"
    bin/lovagectl standin engine --listen 127.0.0.1:$port --model $model --version $version --step "$step" --capacity 64 \
      2>"$LOGS/engine-$port.log" & pids+=($!)
  done
  wait_ok $KV/debug/state
  bin/lovageweir -c examples/settings/entry-a.yaml 2>"$LOGS/entry-a.log" & pids+=($!)
  bin/lovageweir -c examples/settings/entry-b.yaml 2>"$LOGS/entry-b.log" & pids+=($!)
  wait_ok $ENTRY_A/healthz && wait_ok $ENTRY_B/healthz
  bin/lovagectl apply examples/demo --kv $KV
  wait_ok $ENTRY_A/readyz && wait_ok $ENTRY_B/readyz
}

kv_calls() { curl -s $KV/debug/state | sed -E 's/.*"calls":([0-9]+).*/\1/'; }
