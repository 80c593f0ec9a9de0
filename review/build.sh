#!/usr/bin/env bash
# Builds the program that plays the cases, with its stand-ins, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/bed
