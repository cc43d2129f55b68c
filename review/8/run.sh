#!/usr/bin/env bash
# DRAIN: a heartbeat that got no answer is executed after the engine has reported that it drains.
# Exit 1: broken, 0: held, 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/harness2 late review/8/record.txt
