#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. The programs themselves are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
GOWORK=off go build -C review/harness-3 -o "$PWD/target/review-3/" .
