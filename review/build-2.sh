#!/usr/bin/env bash
# Builds the stand-ins of the second review: the project's own (lovagectl) and harness2. Run it after the
# build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags nomsgpack -ldflags=-linkmode=external -o target/ ./cmd/lovagectl
go build -o target/ ./review/harness2
