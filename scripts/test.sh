#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, whose names it prints.
set -eu
cd "$(dirname "$0")/.."
skip=()
if [ -f KNOWN-RED.txt ]; then
	names=$(grep -oE '^test: *Test[A-Za-z0-9_:/-]+' KNOWN-RED.txt | sed 's/^test: *//' | paste -sd'|' || true)
	if [ -n "$names" ]; then
		echo "passed over, see KNOWN-RED.txt: $names"
		# A part of a test stands behind a slash; each level is matched whole.
		skip=(-skip "$(sed 's#[^/|]*#^&$#g' <<<"$names")")
	fi
fi
CGO_ENABLED=1 go test -race -count=1 -timeout 20m "${skip[@]}" ./... ./control/... ./ctl/... ./emulator/... ./entry/...
