#!/bin/sh
# Builds the programs of the cases and the stand-ins that they contain.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/cmd/...
