#!/usr/bin/env bash
# Runs the fault soak for some seconds: three entries as processes, two seeds at the
# same time, each once more without faults. If it fails, the settings, logs and histories
# stay in the directory that it prints. docs/SOAK.md tells how to read them.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
go build -o "$dir" ./cmd/lacewinghook ./cmd/lacesoak
if ! timeout 180 "$dir/lacesoak" -program "$dir/lacewinghook" -dir "$dir/runs" -base \
  -seed 1 -seeds 2 -jobs 2 -duration 25000 -entries 3 -replicas 12; then
  echo "soak: logs are in $dir/runs"
  exit 1
fi
rm -rf "$dir"
