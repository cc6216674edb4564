#!/usr/bin/env bash
# man.sh [DIR]: writes the programs' manual pages, from their command lines, to
# docs/man or DIR.
set -eu
cd "$(dirname "$0")/.."
dir=${1:-docs/man}
mkdir -p "$dir"
for program in catkinctl catkinrail-control catkinrail-entry; do
	"bin/$program" --help-man >"$dir/$program.1"
done
