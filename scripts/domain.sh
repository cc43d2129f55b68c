# Shared by bench-node.sh and bench-domain.sh: runs N entries of failure domain
# fd-00 with a configuration of the target size (3,600 back ends, 2,000
# customers), and the domain's 277 engines. Sourced after lib.sh.
# start_domain N ENGINE_STEP sets entries (process ids), DOMAIN_ARGS (--entry URL
# for each entry) and dir (the configuration folder).
start_domain() {
  local n=$1 step=$2 i
  go build -o bin/ ./cmd/...
  LOGS=$(mktemp -d); dir=$LOGS/cfg; entries=(); DOMAIN_ARGS=()
  bin/lovagectl synth "$dir" >/dev/null
  bin/lovagectl standin kv --listen 127.0.0.1:12379 2>"$LOGS/kv.log" & pids+=($!)
  bin/lovagectl standin engines "$dir" --domain fd-00 --step "$step" 2>"$LOGS/engines.log" & pids+=($!)
  wait_ok $KV/debug/state
  for i in $(seq 1 "$n"); do
    cat > "$LOGS/e$i.yaml" <<Y
instance: node-fd-00-$i
domain: fd-00
listen: 127.0.0.1:$((18100+i))
kv: $KV
peers: [http://127.0.0.1:18101, http://127.0.0.1:18102]
Y
    bin/lovageweir -c "$LOGS/e$i.yaml" 2>"$LOGS/e$i.log" & pids+=($!); entries+=($!)
    DOMAIN_ARGS+=(--entry "http://127.0.0.1:$((18100+i))")
  done
  for i in $(seq 1 "$n"); do wait_ok "http://127.0.0.1:$((18100+i))/healthz"; done
  bin/lovagectl apply "$dir" --kv $KV >/dev/null
  for i in $(seq 1 "$n"); do wait_ok "http://127.0.0.1:$((18100+i))/readyz"; done
}

# largest_rss prints the resident memory of the largest entry, in kB.
largest_rss() { for p in "${entries[@]}"; do awk '/VmRSS/ {print $2}' /proc/"$p"/status; done | sort -n | tail -1; }
# ticks prints each entry's CPU time so far, in clock ticks.
ticks() { for p in "${entries[@]}"; do awk '{print $14+$15}' /proc/"$p"/stat; done; }
