#!/usr/bin/env bash
# Builds the programs of the review's scripts, with the stand-ins that they hold.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/platform/...
