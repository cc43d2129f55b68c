#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it after the build of deploy/system.toml, which builds
# the project's own stand-ins (lovagectl).
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/harness2
