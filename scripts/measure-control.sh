#!/usr/bin/env bash
# measure-control.sh [FLAG...]: starts three control instances and measures them with
# stand-in entry instances. The flags go to catkinrail-emulator control. OUT is the
# directory for logs and data, out/measure-control by default.
set -u
out=${OUT:-out/measure-control}
mkdir -p "$out"
out=$(cd "$out" && pwd)
rm -rf "${out:?}"/*
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
entry_count=0
for n in 1 2 3; do
	start_control "$n" --bootstrap
done
await has_leader || exit 1
instance_flags=()
for n in 1 2 3; do
	instance_flags+=(--pid "${pid_of[control-$n]}" --control "${control_addresses[$((n - 1))]}")
done
"$bin/catkinrail-emulator" control "${instance_flags[@]}" "$@"
