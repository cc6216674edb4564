#!/usr/bin/env bash
# Runs the system on loopback addresses with the settings of the users' platform, with
# emulated callers, backend servers and operator, which evacuates a zone for 6 s. One entry instance is killed, one is
# stopped, and the control instances are killed and restarted one after the other.
# Every flow must stay on its backend server. Fails if a check of platform-run fails.
set -u
out=${1:-out/demo-platform}
mkdir -p "$out"
out=$(cd "$out" && pwd)
rm -rf "${out:?}"/*
# shellcheck source=scripts/platform-lib.sh
. "$(dirname "$0")/platform-lib.sh"
trap stop_all EXIT
start_platform
start_platform_run --duration 12s
run_pid=${pid_of[platform-run]}

sleep 4
"$bin/catkinctl" --trusted-network -c "127.$net.1.100:7720" -c "127.$net.2.100:7720" -c "127.$net.3.100:7720" directory
echo "loss: front-1-1 killed"
signal front-1-1 KILL
sleep 1.5
echo "change: front-2-1 stopped"
signal front-2-1 TERM
for z in 1 2 3; do
	echo "loss: core-$z killed and restarted"
	signal "core-$z" KILL
	sleep 0.3
	start_on_platform "core-$z"
	sleep 1.2
done
wait "$run_pid"
result=$?
cat "$out/platform-run.log"
exit $result
