#!/usr/bin/env bash
# Runs the tests N times, every second time beside a load of half the cores, and
# prints how often each test was red, without and beside the load.
#
#   scripts/repeat.sh [N [PACKAGE...]]
#
# N is 20 by default, and the packages are all. Exits with 1 if a test was red.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20}
shift || true
packages=("${@:-./...}")
dir=$(mktemp -d)
load=()

# endLoad ends the processes of the load.
endLoad() {
  for pid in "${load[@]}"; do
    kill "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  load=()
}
trap 'endLoad; rm -rf "$dir"' EXIT

cores=$(getconf _NPROCESSORS_ONLN)
busy=$(((cores + 1) / 2))
go vet "${packages[@]}" # fails early if the tests don't build
for ((run = 1; run <= runs; run++)); do
  kind=alone
  if ((run % 2 == 0)); then
    kind=load
    for ((i = 0; i < busy; i++)); do
      sha256sum /dev/zero >/dev/null &
      load+=($!)
    done
  fi
  begun=$SECONDS
  # The status also reports a package that fails without a test.
  status=0
  go test -race -count=1 -json "${packages[@]}" >"$dir/out" || status=$?
  endLoad
  # Every failed test, or a package in which none has failed.
  sed -n 's/.*"Action":"fail","Package":"\([^"]*\)","Test":"\([^"]*\)".*/\1 \2/p' "$dir/out" >"$dir/red"
  sed -n 's/.*"Action":"fail","Package":"\([^"]*\)","Elapsed".*/\1/p' "$dir/out" | while read -r package; do
    grep -q "^$package " "$dir/red" || printf '%s (the package)\n' "$package" >>"$dir/red"
  done
  if ((status != 0)) && [ ! -s "$dir/red" ]; then
    printf '%s (go test)\n' "${packages[*]}" >>"$dir/red"
  fi
  sed "s/^/$kind /" "$dir/red" >>"$dir/all"
  printf 'run %d, %s: %d s, %d red, load average %s\n' "$run" "$kind" "$((SECONDS - begun))" "$(wc -l <"$dir/red")" "$(cut -d' ' -f1 /proc/loadavg)"
done

printf '\n%s, %d runs, every second beside %d busy processes on %d cores\n' "$(uname -m)" "$runs" "$busy" "$cores"
if [ ! -s "$dir/all" ]; then
  echo 'no test was red'
  exit
fi
printf 'alone  load  test\n'
awk '{ kind = $1; sub(/^[a-z]+ /, ""); n[kind, $0]++; tests[$0] } END { for (t in tests) printf "%5d %5d  %s\n", n["alone", t], n["load", t], t }' "$dir/all" | sort -rn -k1 -k2
exit 1
