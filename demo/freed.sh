#!/usr/bin/env bash
# Measures, on processes, how long engines hold memory for requests that are
# gone: callers hang up, an entry is killed, an entry and its zone's other node
# (so the dispatcher too) are killed, an entry freezes.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/lib.sh
ports=$(grep -oE 'address: "127.0.0.1:[0-9]+' demo/fleet.yaml | grep -oE '[0-9]+$')
ms() { date +%s%3N; }
held() { # attempts on all engines
  local port
  for port in $ports; do curl -fsS "http://127.0.0.1:$port/report"; done | { grep -oE '"attempt"' || true; } | wc -l
}
streams=()
open() { # twelve long streams through n1
  streams=()
  for i in $(seq 12); do
    curl -sN "http://127.0.0.1:7101/v1/completions" -H 'Authorization: Bearer key-thorn' \
      -H 'Trailshed-Kind: statement_query' -o /dev/null \
      -d "{\"model\":\"member-llm\",\"prompt\":\"$1 $i [out=3000]\",\"stream\":true,\"max_tokens\":3000}" &
    streams+=("$!")
  done
  sleep 1.5
}
measure() { # name: time until nothing is held
  local began=$(ms) before=$2 n
  n=$(held)
  while [ "$n" -gt 0 ] && [ $(($(ms) - began)) -lt 30000 ]; do n=$(held); done
  echo "$1: $before held before, $n after $(($(ms) - began)) ms"
}
for round in 1 2 3; do
  demo/up.sh >/dev/null
  trap demo/down.sh EXIT
  open gone
  n=$(held)
  kill "${streams[@]}"
  measure "callers hang up" "$n"
  open frozen
  n=$(held)
  kill -STOP "$(pid 5)"
  measure "entry frozen" "$n"
  kill -CONT "$(pid 5)"
  wait "${streams[@]}" || true
  sleep 2
  open killed
  n=$(held)
  kill -KILL "$(pid 5)"
  measure "entry killed" "$n"
  demo/down.sh >/dev/null
  demo/up.sh >/dev/null
  open both
  n=$(held)
  kill -KILL "$(pid 5)" "$(pid 8)"
  sleep 0.2
  build/trailshed serve --settings "$dir/n4.yaml" >>"$dir/n4.log" 2>&1 &
  restarted 8 "$!"
  measure "entry and dispatcher killed, zone empty, one node started" "$n"
  demo/down.sh >/dev/null
  trap - EXIT
done
