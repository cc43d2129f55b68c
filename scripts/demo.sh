#!/usr/bin/env bash
# Demonstrates the main use with the built-in stand-ins: builds both binaries,
# starts the stand-ins and two entry instances in two failure domains on
# loopback, applies examples/demo, sends streamed and unstreamed requests (one
# refused for a disallowed model), prints the answers, and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
echo "== start stand-ins and entries, apply examples/demo"
start_stack 5ms
bin/lovagectl status --entry $ENTRY_A --entry $ENTRY_B
ask() { # entry key model stream
  curl -s -D - "$1/v1/chat/completions" -H "Authorization: Bearer $2" -H "X-Session-Id: demo-session" \
    -d "{\"model\":\"$3\",\"stream\":$4,\"max_tokens\":5,\"messages\":[{\"role\":\"user\",\"content\":\"Draft a reminder for the boiler check.\"}]}"
  echo
}
echo "== streamed, entry-a (fd-1), draft-small";  ask $ENTRY_A key-suwon draft-small true
echo "== whole, entry-b (fd-2), draft-large";     ask $ENTRY_B key-suwon draft-large false
echo "== refused: daejeon-family may not use draft-large"; ask $ENTRY_A key-daejeon draft-large false
echo "== a little load through both entries"
bin/lovagectl load --entry $ENTRY_A --entry $ENTRY_B --rate 50 --duration 2s --tokens 8 \
  --mix key-suwon:draft-small:3 --mix key-suwon:draft-large:1 --mix key-daejeon:draft-small:1
echo "== entry-a state dump"; curl -s $ENTRY_A/debug/state
echo "== KV stand-in state"; curl -s $KV/debug/state; echo
