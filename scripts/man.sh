#!/usr/bin/env bash
# man.sh [DIR]: generates the manual pages from the programs' --help-man output into
# DIR, docs/man by default.
set -eu
cd "$(dirname "$0")/.."
dir=${1:-docs/man}
mkdir -p "$dir"
for program in catkinctl catkinrail-control catkinrail-entry; do
	"bin/$program" --help-man >"$dir/$program.1"
done
