#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/late_birth
record=review/3/record.txt
[ -x "$program" ] && [ -x target/release/onyxfall-gateway ] || exit 2
TROUBLE="${TROUBLE:-1}" exec "$program" "$record"
