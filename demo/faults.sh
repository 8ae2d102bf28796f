#!/usr/bin/env bash
# Replays both traces while nodes are killed and frozen and the platform is
# down, then checks the endpoints' own records. Callers of a killed node lose
# their connection; nothing may run twice or stay held.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/lib.sh
demo/up.sh
trap demo/down.sh EXIT
faults() { curl -fsS -X PUT -d "$1" http://127.0.0.1:7900/control/faults; }
replay_both
sleep 4
echo "killing n1"
kill -KILL "$(pid 5)"
sleep 4
echo "freezing n2 for 5 s"
kill -STOP "$(pid 6)"
sleep 2
echo "platform down for 5 s"
faults '{"outage":true}'
sleep 3
kill -CONT "$(pid 6)"
sleep 2
faults '{"lose_answers":5}'
await_both
sleep 8
build/standin inspect --fleet demo/fleet.yaml
for port in 7202 7203 7204 7205 7206; do
  curl -fsS "http://127.0.0.1:$port/metrics" | grep -E '^trailshed_(invariants_violated|decisions).*(violated|owner_expired|stranger|adopted|ejected|readmitted)' || true
done | awk '{sub(/node="[^"]*",/, ""); sub(/,zone="[^"]*"/, ""); s[$1] += $2} END {for (k in s) print k, s[k]}'
