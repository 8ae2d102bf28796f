#!/usr/bin/env bash
# Starts the stand-ins and six nodes in three zones on loopback. Their process
# ids go to build/demo/pids, where demo/down.sh finds them.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=build/demo
if [ -s "$dir/pids" ]; then
  for pid in $(cat "$dir/pids"); do
    if kill -0 "$pid" 2>/dev/null; then
      echo "the demonstration is up already; use make down" >&2
      exit 1
    fi
  done
fi
rm -rf "$dir"
mkdir -p "$dir"

start() {
  local log=$1
  shift
  "$@" >"$dir/$log.log" 2>&1 &
  echo "$!" >>"$dir/pids"
}

nodes="n1 n2 n3 n4 n5 n6"
build/standin certificates --dir "$dir" $nodes
start platform build/standin platform --listen 127.0.0.1:7900
for zone in a b c; do
  start "endpoints-$zone" build/standin endpoint --fleet demo/fleet.yaml --zone "$zone"
done

until curl -fsS http://127.0.0.1:7900/control/counts >/dev/null 2>&1; do sleep 0.05; done
curl -fsS -X PUT http://127.0.0.1:7900/control/instances -d "[$(
  for i in 1 2 3 4 5 6; do
    echo "{\"name\":\"n$i\",\"address\":\"127.0.0.1:$((7000 + i))\"}"
  done | paste -sd,
)]"

zones=(a b c a b c)
i=0
for node in $nodes; do
  cat >"$dir/$node.yaml" <<YAML
node:
  id: $node
  zone: ${zones[$i]}
peers:
  listen: 127.0.0.1:$((7001 + i))
  seeds: ["127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003"]
  ca: $dir/ca.pem
  certificate: $dir/$node.pem
  key: $dir/$node.key
callers:
  listen: 127.0.0.1:$((7101 + i))
admin:
  listen: 127.0.0.1:$((7201 + i))
  token: demo
platform:
  address: 127.0.0.1:7900
dispatch:
  policy: ${POLICY:-joint}
YAML
  start "$node" build/trailshed serve --settings "$dir/$node.yaml"
  i=$((i + 1))
done

ready() { curl -fsS "http://127.0.0.1:$1/readyz" >/dev/null 2>&1; }
for port in 7201 7202 7203 7204 7205 7206; do
  for _ in $(seq 100); do
    ready "$port" && break
    sleep 0.1
  done
done
export TRAILSHED_ADMIN=127.0.0.1:7201 TRAILSHED_TOKEN=demo TRAILSHED_AS=demo
build/standin statements --fleet demo/fleet.yaml >"$dir/fleet.txt"
build/trailshed do -f demo/setup.txt
build/trailshed do -f "$dir/fleet.txt"
sleep 2 # until every cell has a dispatcher that has heard its endpoints
echo "up: callers at 127.0.0.1:7101 to 7106, operators at 127.0.0.1:7201 to 7206 (token demo)"
