#!/usr/bin/env bash
# Builds the programs of the cases from 6 on, with the stand-ins that they start. The host's program is built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/cmd/review-inplace ./review/cmd/review-lapse ./review/cmd/review-restore ./review/cmd/review-coldagain ./review/cmd/review-hidden
