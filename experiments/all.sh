#!/usr/bin/env bash
# Runs the scenarios of docs/POLICY.md and docs/RELIABILITY.md, some side by side.
#
#   experiments/all.sh DIRECTORY
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
dir=$1
mkdir -p "$dir"
run() { # NET DEPLOYMENT SCENARIO POLICY...
  local net=$1
  shift
  ONYXFALL_FIRST_NET=$net "$here/run.sh" "$1" "$2" "$dir" "${@:3}" > "$dir/$1-$2.md" 2>&1 || echo "$1 $2 failed"
}
run 10 classifieds rush expected local-only random round-robin
run 10 gallery rush expected local-only random
{ run 10 classifieds capacity expected & run 12 classifieds overload expected & run 14 classifieds storm expected & wait; }
{ run 10 classifieds slow expected & run 12 classifieds without-slow expected & run 14 classifieds region-loss expected & wait; }
{ run 10 gallery outage expected & run 12 gallery partition expected & run 14 classifieds heavy-rush expected & wait; }
