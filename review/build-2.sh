#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. The programs under test are built by
# the deploy file.
set -eu
cd "$(dirname "$0")/harness-2"
mkdir -p ../../target/review-2
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-2/harness .
