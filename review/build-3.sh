#!/usr/bin/env bash
# Builds what the scripts in review/11 to review/15 start beside the daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/third/platform/...
