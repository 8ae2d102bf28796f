# Shared by the scripts beside it; source it from the repository's root.
# shellcheck shell=bash
dir=build/demo
callers=()
for port in 7101 7102 7103 7104 7105 7106; do
  callers+=(--callers "127.0.0.1:$port")
done

# pid LINE: the process at a line of build/demo/pids: the platform, the
# endpoints of zones a, b and c, then n1 to n6.
pid() { sed -n "$1p" "$dir/pids"; }

# restarted LINE PID: notes a process that took the place of another.
restarted() { sed -i "$1s/.*/$2/" "$dir/pids"; }

# replay_both [OPTION...]: replays both users' traces in the background.
replay_both() {
  build/trailshed replay "${callers[@]}" "$@" "${TRACES:-demo}/unions.ndjson" >"$dir/unions.txt" 2>&1 &
  unions=$!
  build/trailshed replay "${callers[@]}" "$@" "${TRACES:-demo}/couriers.ndjson" >"$dir/couriers.txt" 2>&1 &
  couriers=$!
}

# await_both: waits for both replays, prints them and fails when one did.
await_both() {
  local status=0
  wait "$unions" || status=1
  wait "$couriers" || status=1
  cat "$dir/unions.txt" "$dir/couriers.txt"
  return "$status"
}
