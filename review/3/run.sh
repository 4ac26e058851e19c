#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/slow_reader ] && [ -x target/release/onyxfall-gateway ] || exit 2
exec target/review/slow_reader review/3
