# Shared by scripts that run a full deployment: eight entries in four failure
# domains, every back end of an example folder, KV, rater and instance list.
# Sourced after lib.sh. start_site NAME [engine step]
RATER=http://127.0.0.1:12400
LIST=http://127.0.0.1:12401
SITE_ENTRIES=()
start_site() {
  local site=$1 step=${2:-5ms} i=0 d
  go build -o bin/ ./cmd/...
  LOGS=$(mktemp -d)
  bin/lovagectl standin kv --listen 127.0.0.1:12379 2>"$LOGS/kv.log" & pids+=($!)
  bin/lovagectl standin rater --listen 127.0.0.1:12400 --skill "${SKILL:-{\}}" 2>"$LOGS/rater.log" & pids+=($!)
  bin/lovagectl standin instances --listen 127.0.0.1:12401 2>"$LOGS/instances.log" & pids+=($!)
  bin/lovagectl standin engines "examples/$site" --step "$step" 2>"$LOGS/engines.log" & pids+=($!)
  wait_ok $KV/debug/state; wait_ok $RATER/debug/state; wait_ok $LIST/debug/state
  for d in $(grep -oE 'domain: [a-z0-9-]+' "examples/$site/30-backends.yaml" | awk '{print $2}' | sort -u); do
    for _ in 1 2; do
      i=$((i+1))
      cat > "$LOGS/e$i.yaml" <<Y
instance: $site-entry-$i
domain: $d
listen: 127.0.0.1:$((18200+i))
kv: $KV
rater: $RATER
instances: $LIST
peers: [http://127.0.0.1:18201, http://127.0.0.1:18203, http://127.0.0.1:18205]
session_key_current: demo-1
session_keys: {demo-1: 6c6f76616765776569722d64656d6f2d6b65792d6e6f742d666f722d75736521}
Y
      bin/lovageweir -c "$LOGS/e$i.yaml" 2>"$LOGS/e$i.log" & pids+=($!)
      SITE_ENTRIES+=(http://127.0.0.1:$((18200+i)))
    done
  done
  for u in "${SITE_ENTRIES[@]}"; do wait_ok "$u/healthz"; done
  bin/lovagectl apply "examples/$site" --kv $KV
  for u in "${SITE_ENTRIES[@]}"; do wait_ok "$u/readyz"; done
}
# site_load RATE SECONDS TOKENS MIX...
site_load() {
  local rate=$1 secs=$2 tokens=$3 args=() u m; shift 3
  for u in "${SITE_ENTRIES[@]}"; do args+=(--entry "$u"); done
  for m in "$@"; do args+=(--mix "$m"); done
  bin/lovagectl load "${args[@]}" --rate "$rate" --duration "${secs}s" --tokens "$tokens" --max 100000
}
