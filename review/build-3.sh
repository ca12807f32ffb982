#!/usr/bin/env bash
# Builds the programs that the scripts of the third review start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/cmd-3/...
