#!/usr/bin/env bash
# DRAIN: a heartbeat that got no answer is executed after the engine has reported that it drains.
# Exit 1: broken, 0: held, 2: could not run.
# TROUBLE=0: the same without the disruption, which must pass.
cd "$(dirname "$0")/../.." || exit 2
exec target/harness2 late review/8/record.txt "${TROUBLE:-1}"
