#!/usr/bin/env bash
# Stops what demo/up.sh started, by process id, nodes first.
set -euo pipefail
cd "$(dirname "$0")/.."
pids=build/demo/pids
[ -s "$pids" ] || { echo "the demonstration is not up"; exit 0; }
for pid in $(tac "$pids"); do
  kill -TERM "$pid" 2>/dev/null || true
done
for pid in $(cat "$pids"); do
  for _ in $(seq 150); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
  done
  if kill -0 "$pid" 2>/dev/null; then
    echo "process $pid does not stop" >&2
  fi
done
rm -f "$pids"
echo "down"
