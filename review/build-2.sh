#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the programs of the deploy file. The harness has a module of its own, so
# that it stays out of CI.
set -euo pipefail
cd "$(dirname "$0")/harness2"
go build -o ../../target/review-harness-2 .
