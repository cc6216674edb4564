#!/usr/bin/env bash
# measure-documents.sh [FLAG...]: starts the system on loopback with the settings of the users'
# platform, puts many versions of a large document and prints the largest resident size of each
# process. The flags go to catkinrail-emulator platform-documents.
set -u
out=${OUT:-out/measure-documents}
mkdir -p "$out"
out=$(cd "$out" && pwd)
rm -rf "${out:?}"/*
# shellcheck source=scripts/platform-lib.sh
. "$(dirname "$0")/platform-lib.sh"
trap stop_all EXIT
start_platform
args=()
for z in 1 2 3; do
	args+=(--control "127.$net.$z.100" --process "core-$z=${pid_of[core-$z]}")
	for n in 1 2; do
		args+=(--process "front-$z-$n=${pid_of[front-$z-$n]}")
	done
done
sleep 2
"$bin/catkinrail-emulator" platform-documents "${args[@]}" "$@"
