#!/usr/bin/env bash
# Runs one scenario of one deployment under several routing policies at once,
# each in a deployment of its own, and prints a table.
#
#   experiments/run.sh DEPLOYMENT SCENARIO DIRECTORY POLICY...
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
deployment=$1
scenario=$2
dir=$3
shift 3
bin=${ONYXFALL_BIN:-$here/../target/release}
first_net=${ONYXFALL_FIRST_NET:-10}
mkdir -p "$dir"

run_one() {
  local policy=$1 work=$dir/$deployment-$scenario-$1
  export ONYXFALL_NET=127.$2
  rm -rf "$work"
  mkdir -p "$work"
  "$here/../examples/deploy.sh" "$deployment" "$work" "$policy" > "$work/deploy.log" 2>&1 || return 1
  "$here/scenario.sh" "$deployment" "$scenario" > "$work/scenario.ini"
  "$here/cost.sh" "$work" > "$work/cost-before"
  [ "$scenario" != kills ] || ONYXFALL_BIN=$bin "$here/kills.sh" "$work" &
  timeout 300 "$bin/onyxfall-load" run --scenario "$work/scenario.ini" --label "$policy" \
    --out "$work/result.json" > "$work/table.md" 2> "$work/load.log"
  "$here/cost.sh" "$work" > "$work/cost-after"
}

results=()
index=0
for policy in "$@"; do
  (
    trap '"$here/../examples/stop.sh" "$dir/$deployment-$scenario-$policy"' EXIT
    run_one "$policy" $((first_net + index))
  ) &
  results+=("$dir/$deployment-$scenario-$policy/result.json")
  index=$((index + 1))
done
wait
"$bin/onyxfall-load" table "${results[@]}" --plot "$dir/$deployment-$scenario.svg"
