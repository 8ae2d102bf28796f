#!/usr/bin/env bash
# Measures what the nodes themselves spend: processor time, memory and bytes
# between them, idle for ten seconds, over each trace, and over
# requests that are all alike.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/lib.sh
demo/up.sh
trap demo/down.sh EXIT
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
# measure NAME TRACE: what the replay of a trace costs a request, less the idle cost.
measure() {
  local cpu=$(spent) bytes=$(sent) began=$(date +%s%N) requests seconds
  build/trailshed replay "${callers[@]}" "$2" >"$dir/result.txt"
  seconds=$((($(date +%s%N) - began) / 1000000000))
  requests=$(($(wc -l <"$2") - 1))
  echo "$1: $requests requests; a request $((($(spent) - cpu - seconds * (cpu1 - cpu0) / 10) * 1000 / requests)) us processor, $((($(sent) - bytes - seconds * (bytes1 - bytes0) / 10) / requests)) bytes to peers; largest $(resident) KB resident"
  head -1 "$dir/result.txt"
}

before=$(calls)
measure unions demo/unions.ndjson
measure couriers demo/couriers.ndjson
echo "platform before $before"
echo "platform after  $(calls)"
# Slopes: a request without tokens, more requests a second, longer prompts and answers.
for slope in 40:0:0 80:0:0 400:0:0 20:500:10 20:500:110 20:4000:10; do
  IFS=: read -r rate tokens out <<<"$slope"
  trace=$dir/slope-$rate-$tokens-$out.ndjson
  build/standin record --workload slope --seconds 12 --rate "$rate" --tokens "$tokens" --out "$out" >"$trace"
  measure "slope-$rate/s-$tokens-in-$out-out" "$trace"
done
