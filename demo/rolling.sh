#!/usr/bin/env bash
# Replaces every node in turn by a planned stop while both traces are replayed.
# No request may be cut.
set -euo pipefail
cd "$(dirname "$0")/.."
. demo/lib.sh
demo/up.sh
trap demo/down.sh EXIT
replay_both --strict
for i in 1 2 3 4 5 6; do
  sleep 0.5
  old=$(pid $((i + 4)))
  kill -TERM "$old"
  while kill -0 "$old" 2>/dev/null; do sleep 0.05; done
  build/trailshed serve --settings "$dir/n$i.yaml" >>"$dir/n$i.log" 2>&1 &
  restarted $((i + 4)) "$!"
  until curl -fsS "http://127.0.0.1:$((7200 + i))/readyz" >/dev/null 2>&1; do sleep 0.05; done
  echo "n$i replaced"
done
status=0
await_both || status=1
sleep 5
build/standin inspect --fleet demo/fleet.yaml || status=1
exit "$status"
