#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness-2 ./review/harness2
