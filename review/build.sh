#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The program itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
