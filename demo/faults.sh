#!/usr/bin/env bash
# Replays both traces while nodes are killed and frozen and the platform is
# down, then checks the endpoints' own records. Callers of a killed node lose
# their connection; nothing may run twice or stay held.
set -euo pipefail
cd "$(dirname "$0")/.."
demo/up.sh
trap demo/down.sh EXIT
dir=build/demo
mapfile -t pids <"$dir/pids"
node() { echo "${pids[$(($1 + 3))]}"; } # after the platform and three zones' endpoints
faults() { curl -fsS -X PUT -d "$1" http://127.0.0.1:7900/control/faults; }
callers=()
for port in 7101 7102 7103 7104 7105 7106; do callers+=(--callers "127.0.0.1:$port"); done
build/trailshed replay "${callers[@]}" demo/unions.ndjson >"$dir/unions.txt" &
u=$!
build/trailshed replay "${callers[@]}" demo/couriers.ndjson >"$dir/couriers.txt" &
c=$!
sleep 4
echo "killing n1"
kill -KILL "$(node 1)"
sleep 4
echo "freezing n2 for 5 s"
kill -STOP "$(node 2)"
sleep 2
echo "platform down for 5 s"
faults '{"outage":true}'
sleep 3
kill -CONT "$(node 2)"
sleep 2
faults '{"lose_answers":5}'
wait "$u" "$c"
cat "$dir/unions.txt" "$dir/couriers.txt"
sleep 8
build/standin inspect --fleet demo/fleet.yaml
for port in 7202 7203 7204 7205 7206; do
  curl -fsS "http://127.0.0.1:$port/metrics" | grep -E '^trailshed_(invariants_violated|decisions).*(violated|owner_expired|stranger|adopted|ejected|readmitted)' || true
done | awk '{sub(/node="[^"]*",/, ""); sub(/,zone="[^"]*"/, ""); s[$1] += $2} END {for (k in s) print k, s[k]}'
