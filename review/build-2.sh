#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-standin-2 ./review/6/standin
