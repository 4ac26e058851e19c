#!/usr/bin/env bash
# Runs one scenario of one deployment under one or more routing policies, each
# in a fresh deployment, and prints a table.
#
#   experiments/run.sh DEPLOYMENT SCENARIO DIRECTORY POLICY...
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
deployment=$1
scenario=$2
dir=$3
shift 3
bin=${ONYXFALL_BIN:-$here/../target/release}
mkdir -p "$dir"
results=()
for policy in "$@"; do
  work=$dir/$deployment-$scenario-$policy
  rm -rf "$work"
  trap '"$here/../examples/stop.sh" "$work"' EXIT
  "$here/../examples/deploy.sh" "$deployment" "$work" "$policy" > "$work.deploy" 2>&1
  "$here/scenario.sh" "$deployment" "$scenario" > "$work/scenario.ini"
  timeout 300 "$bin/onyxfall-load" run --scenario "$work/scenario.ini" --label "$policy" \
    --out "$work/result.json" > "$work/table.md" 2> "$work/load.log"
  "$here/../examples/stop.sh" "$work"
  results+=("$work/result.json")
done
"$bin/onyxfall-load" table "${results[@]}" --plot "$dir/$deployment-$scenario.svg"
