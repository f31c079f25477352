#!/usr/bin/env bash
# Builds the program that plays the cases and all stand-ins in them. It needs no network: it has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/harness"
go build -buildvcs=false -o ../../target/review-cases .
