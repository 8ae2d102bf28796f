#!/usr/bin/env bash
# Replaces every node in turn by a planned stop while both traces are replayed.
# No request may be cut.
set -euo pipefail
cd "$(dirname "$0")/.."
demo/up.sh
trap demo/down.sh EXIT
dir=build/demo
callers=()
for port in 7101 7102 7103 7104 7105 7106; do callers+=(--callers "127.0.0.1:$port"); done
build/trailshed replay "${callers[@]}" --strict demo/unions.ndjson >"$dir/unions.txt" 2>&1 &
u=$!
build/trailshed replay "${callers[@]}" --strict demo/couriers.ndjson >"$dir/couriers.txt" 2>&1 &
c=$!
for i in 1 2 3 4 5 6; do
  sleep 0.5
  pid=$(sed -n "$((i + 4))p" "$dir/pids")
  kill -TERM "$pid"
  while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
  build/trailshed serve --settings "$dir/n$i.yaml" >>"$dir/n$i.log" 2>&1 &
  sed -i "$((i + 4))s/.*/$!/" "$dir/pids"
  until curl -fsS "http://127.0.0.1:$((7200 + i))/readyz" >/dev/null 2>&1; do sleep 0.05; done
  echo "n$i replaced"
done
status=0
wait "$u" || status=1
wait "$c" || status=1
cat "$dir/unions.txt" "$dir/couriers.txt"
sleep 5
build/standin inspect --fleet demo/fleet.yaml || status=1
exit "$status"
