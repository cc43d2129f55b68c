#!/usr/bin/env bash
# Builds the entry as deploy/system.toml does, the project's stand-ins, and the driver of the scripts in review/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags nomsgpack -ldflags=-linkmode=external -o target/ ./cmd/...
go build -o review/bin/ ./review/standin
