#!/usr/bin/env bash
# Regenerates rpc/*pb from proto/*.proto. Generated code is committed, so a
# build needs none of this; run it only after editing a .proto file.
# Needs: protoc (Debian protobuf-compiler), protoc-gen-go, protoc-gen-twirp.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PATH:$(go env GOPATH)/bin"
for f in proto/*.proto; do
  protoc --proto_path=proto \
    --go_out=. --go_opt=module=github.com/lovageweir/lovageweir \
    --twirp_out=. --twirp_opt=module=github.com/lovageweir/lovageweir \
    "$f"
done
