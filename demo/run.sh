#!/usr/bin/env bash
# Replays a trace of each user's workload against a demonstration that it starts
# and stops, asks some questions meanwhile, and prints what came of it.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/lib.sh
demo/up.sh
trap demo/down.sh EXIT
export TRAILSHED_ADMIN=127.0.0.1:7202 TRAILSHED_TOKEN=demo TRAILSHED_AS=demo
replay_both --strict
sleep "${ASK_AT:-9}"
echo "--- show running limit 3 (during the replay)"
build/trailshed query show running limit 3
echo "--- show waiting limit 3"
build/trailshed query show waiting limit 3
attempt=$(build/trailshed query --json show running limit 1 | grep -oE '[0-9a-f-]{36}' | head -1 || true)
if [ -n "$attempt" ]; then
  echo "--- explain $attempt"
  build/trailshed query explain "$attempt"
fi
status=0
await_both || status=1
sleep 3 # until what was cancelled last is confirmed
build/standin inspect --fleet demo/fleet.yaml || status=1
curl -fsS http://127.0.0.1:7900/control/counts | sed 's/^/platform calls: /'
exit "$status"
