#!/bin/sh
# Builds what the scripts of the second review start, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -o target/review2/ ./review/stand2
