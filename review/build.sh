#!/usr/bin/env bash
# Builds the programs that the scripts start beside the one of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/cases
go build -o target/standin ./cmd/standin
