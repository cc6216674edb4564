#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. They use the standard library only.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-cases .
