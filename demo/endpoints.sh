#!/usr/bin/env bash
# Kills all endpoints of one zone under load and starts them again later.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/lib.sh
demo/up.sh
trap demo/down.sh EXIT
replay_both
sleep 5
echo "killing the endpoints of zone b"
kill -KILL "$(pid 3)"
sleep 6
build/standin endpoint --fleet demo/fleet.yaml --zone b >>"$dir/endpoints-b.log" 2>&1 &
restarted 3 "$!"
echo "started again"
await_both
sleep 8
build/standin inspect --fleet demo/fleet.yaml
TRAILSHED_ADMIN=127.0.0.1:7202 TRAILSHED_TOKEN=demo build/trailshed query show load where state = ejected
