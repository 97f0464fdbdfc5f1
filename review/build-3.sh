#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-3-standin ./review/11/standin
