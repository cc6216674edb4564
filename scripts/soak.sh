#!/usr/bin/env bash
# soak.sh SEED [SECONDS [NET]]: runs the system as on the users' platform, on loopback,
# while processes are killed, paused, stopped and started, connections to control
# are delayed, reset, cut one way or silenced, disks are lost, torn or refuse to
# grow, documents change, backend servers are replaced and callers' packets are lost
# or repeated, all at times drawn from the seed. Fails if a promise was broken.
set -u
seed=${1:?give a seed}
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
start_platform "$seed"
start_platform_run --duration "${seconds}s" --soak "$seed"
run=${pid_of[platform-run]}

note() {
	echo "$(date +%s.%N | cut -c1-14) $*" >>"$out/faults.log"
}

some_front() { echo "front-$((RANDOM % 3 + 1))-$((RANDOM % 2 + 1))"; }
some_core() { echo "core-$((RANDOM % 3 + 1))"; }

# again NAME: starts a process whose earlier one has ended.
again() {
	wait "${pid_of[$1]}" 2>/dev/null
	start_on_platform "$1"
}

pause_for() { # NAME SECONDS
	note "$1 paused for $2 s"
	signal "$1" STOP
	sleep "$2"
	signal "$1" CONT
}

fault() {
	local name
	case $((RANDOM % 10)) in
	0) name=$(some_front) && note "$name killed" && signal "$name" KILL && again "$name" ;;
	1) name=$(some_front) && note "$name stopped" && signal "$name" TERM && again "$name" ;;
	2) pause_for "$(some_front)" $((RANDOM % 2 + 1)) ;;
	3) name=$(some_core) && note "$name killed" && signal "$name" KILL && again "$name" ;;
	4) pause_for "$(some_core)" $((RANDOM % 2 + 1)) ;;
	5) note "all control instances killed" && for z in 1 2 3; do signal "core-$z" KILL; done && for z in 1 2 3; do again "core-$z"; done ;;
	6) name=$(some_core) && lose_disk "$name" ;;
	7) name=$(some_front) && note "$name gets SIGHUP" && signal "$name" HUP && signal "$(some_core)" HUP ;;
	8) name=$(some_core) && tear_disk "$name" ;;
	9) name=$(some_core) && limit_disk "$name" ;;
	esac
}

# tear_disk NAME: kills a control instance, leaves part of a write that was not
# synced at the end of its files, and starts it again.
tear_disk() {
	local file
	note "$1 killed in a write"
	signal "$1" KILL
	wait "${pid_of[$1]}" 2>/dev/null
	for file in "$out/data-${1#core-}"/segment-*; do :; done
	head -c $((RANDOM % 60 + 1)) "$0" >>"$file"
	start_on_platform "$1"
}

# limit_disk NAME: lets a control instance's files grow no further. The kernel ends
# a process that tries; it is started again without the limit.
limit_disk() {
	note "$1 can't write"
	prlimit --pid "${pid_of[$1]}" --fsize=4096
	sleep $((RANDOM % 2 + 1))
	signal "$1" KILL 2>/dev/null
	again "$1"
}

# lose_disk NAME: kills a control instance and starts it with an empty disk. The
# next fault waits until it has had its time to catch up.
lose_disk() {
	note "$1 killed, its disk lost"
	signal "$1" KILL
	wait "${pid_of[$1]}" 2>/dev/null
	rm -rf "${out:?}/data-${1#core-}"
	sed -i 's/^bootstrap: true/bootstrap: false/' "$out/$1.yaml"
	start_on_platform "$1"
	sleep 4
}

sleep 2.5
while kill -0 "$run" 2>/dev/null && [ $((SECONDS)) -lt "$seconds" ]; do
	sleep "0.$((RANDOM % 9 + 1))"
	fault
done
wait "$run"
result=$?
echo "seed $seed: $(tr '\n' ' ' <"$out/platform-run.log")"
exit $result
