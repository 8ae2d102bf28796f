#!/usr/bin/env bash
# Runs the demonstration's workloads at a multiple of their rate under each
# policy in turn and prints the figures side by side.
set -euo pipefail
cd "$(dirname "$0")/.."
scale=${1:-1.5}
make -s build
export TRACES=build/traces-$scale
mkdir -p "$TRACES"
for workload in unions couriers; do
  build/standin record --workload "$workload" --seconds 20 --scale "$scale" --seed 11 >"$TRACES/$workload.ndjson"
done
for policy in joint lagged round_robin; do
  echo "=== $policy, $scale times the rate"
  POLICY=$policy demo/run.sh 2>&1 | grep -E '^(credit|rutaviva|  [a-z]|endpoints|platform)' || true
done
