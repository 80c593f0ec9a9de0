#!/usr/bin/env bash
# Runs the system as separate processes on loopback: a fake platform, two prefill
# and two decode engines, a plain service and three entries. Sends a completion
# with and without streaming, a lookup, and an order. The order is sent to two
# entries with the same key and must run once. Then stops all processes and
# checks that none is still running. BASE sets the first port.
set -euo pipefail
cd "$(dirname "$0")/.."

# Use ports below the kernel's ephemeral range, so that outgoing connections
# can't occupy them.
base=${BASE:-$((20000 + $$ % 25 * 500))}
dir=$(mktemp -d)
pids=()

# Kills all processes and removes the temporary files.
cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

go build -o "$dir" ./cmd/lacewinghook ./cmd/lacefake
fake=$dir/lacefake

# Starts a command in the background. $1 names its log file.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

"$fake" files -dir "$dir" -base "$base"
start platform "$fake" platform -config "$dir/platform.json"
for i in 1 2; do
  start "prefill-$i" "$fake" engine -name "prefill-$i" -role prefill -listen "127.0.0.1:$((base + 99 + i))"
  start "decode-$i" "$fake" engine -name "decode-$i" -role decode -step 5 -listen "127.0.0.1:$((base + 199 + i))"
done
start service "$fake" service -name card-desk-1 -listen "127.0.0.1:$((base + 300))"
entries=()
for i in 1 2 3; do
  start "entry-$i" "$dir/lacewinghook" serve -config "$dir/moose-jaw-$i.json"
  entries+=("$!")
done

# Prints the callers' address of entry $1.
entry() { echo "127.0.0.1:$((base + 400 + 10 * ($1 - 1)))"; }

if ! {
  "$fake" ask -entry "$(entry 1)" -kind addresses &&
  "$fake" ask -entry "$(entry 1)" -kind verse &&
  "$fake" ask -entry "$(entry 2)" -kind stream &&
  "$fake" ask -entry "$(entry 3)" -kind lookup &&
  "$fake" ask -entry "$(entry 1)" -kind order &&
  "$fake" ask -entry "$(entry 2)" -kind order | tee "$dir/again" &&
  grep -qx 'order: run 1 of /orders' "$dir/again"
}; then
  tail -n 20 "$dir"/*.log
  exit 1
fi

# Stop the entries first, so that they can finish their shutdown while the
# platform and the engines are still running.
kill -TERM "${entries[@]}"
for pid in "${entries[@]}"; do
  wait "$pid" || { echo "entry exited with status $?"; grep -hE "error|warn" "$dir"/entry-*.log; exit 1; }
done
for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
for pid in "${pids[@]}"; do
  if kill -0 "$pid" 2>/dev/null; then
    echo "process $pid is still running"
    exit 1
  fi
done
echo "all processes stopped"
