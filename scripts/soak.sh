#!/usr/bin/env bash
# soak.sh SEED [SECONDS [NET]]: runs the system on loopback with the settings of the
# users' platform for SECONDS (20 by default) while faults are injected at times drawn
# from SEED: processes are killed, paused, stopped and restarted; connections to control
# instances are delayed, reset, blocked in one direction or silenced; disks are lost,
# left with a torn write or limited in file size; documents change, backend servers are
# replaced, zones are evacuated, and callers' packets are lost or repeated. Fails if no request is served, a
# flow breaks, is refused, reaches a second backend server or opens too late on a
# draining one or in an evacuated zone, or a document is read that is older than an
# acknowledged one. Every entry instance is probed all the time: it must not go back to an older
# document or refuse a route that was acknowledged 3 s before, and 4 s after the last fault another
# document must be in force everywhere within 3 s. Invalid documents, documents of two operators
# under one version, and acknowledged ones that are sent again are mixed in.
set -u
seed=${1:?usage: soak.sh SEED [SECONDS [NET]]}
seconds=${2:-20}
net=${3:-1}
out=out/soak-$seed
mkdir -p "$out"
out=$(cd "$out" && pwd)
rm -rf "${out:?}"/*
# shellcheck source=scripts/platform-lib.sh
. "$(dirname "$0")/platform-lib.sh"
trap stop_all EXIT
RANDOM=$seed
start_platform "$seed" "$((seconds + 2))"
start_platform_run --duration "${seconds}s" --soak "$seed"
run_pid=${pid_of[platform-run]}

# log_fault TEXT...: writes a line with the time to faults.log.
log_fault() {
	echo "$(date +%s.%N | cut -c1-14) $*" >>"$out/faults.log"
}

random_front() { echo "front-$((RANDOM % 3 + 1))-$((RANDOM % 2 + 1))"; }
random_core() { echo "core-$((RANDOM % 3 + 1))"; }

# restart NAME: waits until the process has ended and starts it again.
restart() {
	wait "${pid_of[$1]}" 2>/dev/null
	start_on_platform "$1"
}

# pause_for NAME SECONDS: pauses a process.
pause_for() {
	log_fault "$1 paused for $2 s"
	signal "$1" STOP
	sleep "$2"
	signal "$1" CONT
}

# inject_fault injects a random fault.
inject_fault() {
	local name
	case $((RANDOM % 10)) in
	0) name=$(random_front) && log_fault "$name killed" && signal "$name" KILL && restart "$name" ;;
	1) name=$(random_front) && log_fault "$name stopped" && signal "$name" TERM && restart "$name" ;;
	2) pause_for "$(random_front)" $((RANDOM % 2 + 1)) ;;
	3) name=$(random_core) && log_fault "$name killed" && signal "$name" KILL && restart "$name" ;;
	4) pause_for "$(random_core)" $((RANDOM % 2 + 1)) ;;
	5) log_fault "all control instances killed" && for z in 1 2 3; do signal "core-$z" KILL; done && for z in 1 2 3; do restart "core-$z"; done ;;
	6) name=$(random_core) && lose_disk "$name" ;;
	7) name=$(random_front) && log_fault "$name and a control instance receive SIGHUP" && signal "$name" HUP && signal "$(random_core)" HUP ;;
	8) name=$(random_core) && leave_torn_write "$name" ;;
	9) name=$(random_core) && limit_file_size "$name" ;;
	esac
}

# leave_torn_write NAME: kills a control instance, appends 1 to 60 bytes to its newest
# segment, as an incomplete write leaves them, and starts it again. The bytes are the
# first ones of this script.
leave_torn_write() {
	local file
	log_fault "$1 killed, torn write at the end of its newest segment"
	signal "$1" KILL
	wait "${pid_of[$1]}" 2>/dev/null
	for file in "$out/data-${1#core-}"/segment-*; do :; done
	head -c $((RANDOM % 60 + 1)) "$0" >>"$file"
	start_on_platform "$1"
}

# limit_file_size NAME: limits the files that a control instance writes to 4096 bytes
# for 1 or 2 s: writes beyond that fail with EFBIG, since the Go runtime catches
# SIGXFSZ. The instance is then killed and restarted without the limit.
limit_file_size() {
	log_fault "$1 can't write files beyond 4096 bytes"
	prlimit --pid "${pid_of[$1]}" --fsize=4096
	sleep $((RANDOM % 2 + 1))
	signal "$1" KILL 2>/dev/null
	restart "$1"
}

# lose_disk NAME: kills a control instance and starts it with an empty disk. Waits 4 s
# so that it can catch up before the next fault.
lose_disk() {
	log_fault "$1 killed, disk lost"
	signal "$1" KILL
	wait "${pid_of[$1]}" 2>/dev/null
	rm -rf "${out:?}/data-${1#core-}"
	sed -i 's/^bootstrap: true/bootstrap: false/' "$out/$1.yaml"
	start_on_platform "$1"
	sleep 4
}

sleep 2.5
while kill -0 "$run_pid" 2>/dev/null && [ $((SECONDS)) -lt "$seconds" ]; do
	sleep "0.$((RANDOM % 9 + 1))"
	inject_fault
done
wait "$run_pid"
result=$?
echo "seed $seed: $(tr '\n' ' ' <"$out/platform-run.log")"
exit $result
