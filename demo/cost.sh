#!/usr/bin/env bash
# Measures what the nodes themselves spend: processor time, memory and bytes
# between them, idle for ten seconds and over a replay of both traces.
set -euo pipefail
cd "$(dirname "$0")/.."
demo/up.sh
trap demo/down.sh EXIT
dir=build/demo
nodes=$(tail -n 6 "$dir/pids")
hz=$(getconf CLK_TCK)

spent() { # processor time of all nodes in milliseconds
  local sum=0 pid
  for pid in $nodes; do
    sum=$((sum + $(awk '{print $14 + $15}' "/proc/$pid/stat")))
  done
  echo $((sum * 1000 / hz))
}
sent() { # bytes that all nodes have sent each other
  local port
  for port in 7201 7202 7203 7204 7205 7206; do
    curl -fsS "http://127.0.0.1:$port/metrics" | awk '/^trailshed_peer_sent_bytes/ {print $2}'
  done | awk '{s += $1} END {printf "%d", s}'
}
resident() { for pid in $nodes; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done | sort -n | tail -1; }
calls() { curl -fsS http://127.0.0.1:7900/control/counts; }

cpu0=$(spent) bytes0=$(sent)
sleep 10
cpu1=$(spent) bytes1=$(sent)
echo "idle, a node and second: $(((cpu1 - cpu0) / 60)) ms processor, $(((bytes1 - bytes0) / 60)) bytes to peers; largest $(resident) KB resident"
callers=()
for port in 7101 7102 7103 7104 7105 7106; do callers+=(--callers "127.0.0.1:$port"); done
before=$(calls)
build/trailshed replay "${callers[@]}" demo/unions.ndjson >"$dir/unions.txt" &
u=$!
build/trailshed replay "${callers[@]}" demo/couriers.ndjson >"$dir/couriers.txt" &
c=$!
wait "$u" "$c"
sleep 1
cpu2=$(spent) bytes2=$(sent)
requests=$(($(wc -l <demo/unions.ndjson) + $(wc -l <demo/couriers.ndjson) - 2))
echo "replay of $requests requests: $(((cpu2 - cpu1) * 1000 / requests)) us processor a request, $(((bytes2 - bytes1) / requests)) bytes to peers a request; largest $(resident) KB resident"
echo "platform before $before"
echo "platform after  $(calls)"
