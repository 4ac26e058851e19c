#!/usr/bin/env bash
# Faults of entry processes while the scenario `kills` runs: one is killed and
# comes back, one is frozen for five seconds and goes on, one stops by plan.
#
#   experiments/kills.sh DIRECTORY
set -u
dir=$1
bin=${ONYXFALL_BIN:-$(cd "$(dirname "$0")" && pwd)/../target/release}
entry() { pgrep -f "onyxfall-entry --settings $dir/entry-$1.ini"; }
sleep 10
kill -KILL "$(entry 1-1)"
sleep 4
"$bin/onyxfall-entry" --settings "$dir/entry-1-1.ini" > "$dir/entry-1-1-again.log" 2>&1 &
echo $! >> "$dir/pids"
sleep 3
frozen=$(entry 2-1)
kill -STOP "$frozen"
sleep 5
kill -CONT "$frozen"
sleep 3
kill -TERM "$(entry 3-2)"
