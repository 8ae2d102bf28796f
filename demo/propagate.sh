#!/usr/bin/env bash
# Measures how long an accepted change takes until every node has it in force,
# and how long after a drain command the endpoint gets its last new work, both
# under load and, for the drain, also with the platform down after the command.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/lib.sh
demo/up.sh
trap demo/down.sh EXIT
replay_both

ask() { # port statement: the answer's revision
  curl -fsS -H 'Authorization: Bearer demo' -d "{\"statement\":\"$2\",\"who\":\"propagate\"}" \
    "http://127.0.0.1:$1/v1/statements" | grep -oE '"revision":[0-9]+' | grep -oE '[0-9]+'
}
ms() { date +%s%3N; }

for i in $(seq 20); do
  revision=$(ask $((7201 + i % 6)) "set workspace acacia weight = $((i + 1))")
  accepted=$(ms)
  for port in 7201 7202 7203 7204 7205 7206; do
    until [ "$(ask "$port" "show zones limit 1")" -ge "$revision" ]; do :; done
  done
  echo $(($(ms) - accepted))
done | sort -n >"$dir/in-force.txt"
echo "accepted until in force on all six nodes, ms: p50 $(sed -n 10p "$dir/in-force.txt"), max $(tail -1 "$dir/in-force.txt")"

drain() { # endpoint port-of-endpoint
  ask 7203 "drain endpoint $1" >/dev/null
  accepted=$(ms)
  [ "${3:-}" = outage ] && curl -fsS -X PUT -d '{"outage":true}' http://127.0.0.1:7900/control/faults
  sleep 3
  last=$(curl -fsS "http://127.0.0.1:$2/control/runs" | grep -oE '"began":"[^"]+"' | cut -d'"' -f4 |
    while read -r t; do date -d "$t" +%s%3N; done | sort -n | tail -1)
  echo "drain of $1 ${3:-}: last new work $((last - accepted)) ms after the command was accepted"
}
drain a-member-llm-decode-1 7401
drain b-member-llm-decode-1 7413 outage
curl -fsS -X PUT -d '{}' http://127.0.0.1:7900/control/faults
await_both
