#!/usr/bin/env bash
# Kills all endpoints of one zone under load and starts them again later.
set -euo pipefail
cd "$(dirname "$0")/.."
demo/up.sh
trap demo/down.sh EXIT
dir=build/demo
callers=()
for port in 7101 7102 7103 7104 7105 7106; do callers+=(--callers "127.0.0.1:$port"); done
build/trailshed replay "${callers[@]}" demo/unions.ndjson >"$dir/unions.txt" &
u=$!
build/trailshed replay "${callers[@]}" demo/couriers.ndjson >"$dir/couriers.txt" &
c=$!
sleep 5
echo "killing the endpoints of zone b"
kill -KILL "$(sed -n 3p "$dir/pids")"
sleep 6
build/standin endpoint --fleet demo/fleet.yaml --zone b >>"$dir/endpoints-b.log" 2>&1 &
sed -i "3s/.*/$!/" "$dir/pids"
echo "started again"
wait "$u" "$c"
cat "$dir/unions.txt" "$dir/couriers.txt"
sleep 8
build/standin inspect --fleet demo/fleet.yaml
TRAILSHED_ADMIN=127.0.0.1:7202 TRAILSHED_TOKEN=demo build/trailshed query show load where state = ejected
