#!/usr/bin/env bash
# Runs the tests under the race detector. KNOWN-RED.txt names the tests that
# may fail, one a line: "package TestName | command and seed | seen | issue".
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT

# The verdict program decides; go test's own status only says that some test
# failed.
go test -race -json ./... >"$out" || true
go run ./scripts/verdict <"$out"
