#!/usr/bin/env bash
# soak.sh SEED [SECONDS [NET]]: runs the system on loopback with the settings of the
# users' platform for SECONDS (20 by default) while faults are injected at times drawn
# from SEED: processes are killed, paused, stopped and restarted; connections to control
# instances are delayed, reset, blocked in one direction or silenced; control instances are
# exchanged for new ones; disks are lost,
# left with a torn write or limited in file size; documents change, backend servers are
# replaced, zones are evacuated, and callers' packets are lost or repeated. Fails if no request is served, a
# flow breaks, is refused, reaches a second backend server or opens too late on a
# draining one or in an evacuated zone, or a document is read that is older than an
# acknowledged one. Every entry instance is probed all the time: it must not go back to an older
# document or refuse a route that was acknowledged 3 s before, and 4 s after the last fault another
# document must be in force everywhere within 3 s. Invalid documents, documents of two operators
# under one version, and acknowledged ones that are sent again are mixed in. At the end of every third
# seed, a control instance loses its disk right after an acknowledgement, while all other processes are killed.
# Of every fourth seed, all control instances are exchanged at once while some of them don't answer and one is
# killed, each at a drawn offset.
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
exchanges=20
loss=()
if ((seed % 3 == 1)); then
	loss=(--loss "$out/loss")
fi
start_platform "$seed" "$((seconds + 2))"
start_platform_run --duration "${seconds}s" --soak "$seed" "${loss[@]}"
run_pid=${pid_of[platform-run]}
# core[Z] is the control instance of zone Z, address[Z] its address, and exchanged[Z] the number of
# those before it.
core=("" core-1 core-2 core-3)
address=("" "127.$net.1.100" "127.$net.2.100" "127.$net.3.100")
exchanged=(0 0 0 0)

# log_fault TEXT...: writes a line with the time to faults.log.
log_fault() {
	echo "$(date +%s.%N | cut -c1-14) $*" >>"$out/faults.log"
}

random_front() { echo "front-$((RANDOM % 3 + 1))-$((RANDOM % 2 + 1))"; }
random_core() { echo "${core[RANDOM % 3 + 1]}"; }

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
	case $((RANDOM % 11)) in
	0) name=$(random_front) && log_fault "$name killed" && signal "$name" KILL && restart "$name" ;;
	1) name=$(random_front) && log_fault "$name stopped" && signal "$name" TERM && restart "$name" ;;
	2) pause_for "$(random_front)" $((RANDOM % 2 + 1)) ;;
	3) name=$(random_core) && log_fault "$name killed" && signal "$name" KILL && restart "$name" ;;
	4) pause_for "$(random_core)" $((RANDOM % 2 + 1)) ;;
	5) log_fault "all control instances killed" && for name in "${core[@]:1}"; do signal "$name" KILL; done && for name in "${core[@]:1}"; do restart "$name"; done ;;
	6) name=$(random_core) && lose_disk "$name" ;;
	7) name=$(random_front) && log_fault "$name and a control instance receive SIGHUP" && signal "$name" HUP && signal "$(random_core)" HUP ;;
	8) name=$(random_core) && leave_torn_write "$name" ;;
	9) name=$(random_core) && limit_file_size "$name" ;;
	10) if ((seed % 4 == 2)); then exchange_overlapping; else exchange_cores $((RANDOM % 3 + 1)); fi ;;
	esac
}

# exchange_cores N: starts new control instances in N zones, beside those there. 4 s later the old ones
# are stopped for good, one after the other. Does nothing if the run ends before: each stop takes up to
# 1 s, and the pause after it as long.
exchange_cores() {
	local z zones old=() n
	if [ $((SECONDS + 4 + 2 * $1)) -ge "$seconds" ]; then
		return
	fi
	mapfile -t zones < <(shuf -e 1 2 3 -n "$1" --random-source <(yes "$RANDOM"))
	for z in "${zones[@]}"; do
		if [ "${exchanged[$z]}" -ge "$exchanges" ]; then
			continue
		fi
		old+=("${core[$z]}")
		n=$((++exchanged[$z]))
		core[$z]=core-$z-$n
		address[$z]=127.$net.$z.$((100 + 2 * n))
		write_node_file "${core[$z]}" "$z" "${address[$z]}" --listen "127.$net.$z.$((101 + 2 * n))" --data "$out/data-$z-$n"
		start_on_platform "${core[$z]}"
		log_fault "${core[$z]} starts beside ${old[-1]}"
	done
	sleep 4
	write_addresses
	for name in "${old[@]}"; do
		log_fault "$name stopped for good"
		signal "$name" TERM
		wait "${pid_of[$name]}" 2>/dev/null
		sleep "0.$((RANDOM % 10))"
	done
}

# exchange_overlapping starts a new control instance in each zone. 4 s later, those of one or two zones stop
# answering for 1 to 4 s, the old ones are stopped for good and a new one is killed and starts again, each at
# an offset of its own. Does nothing if the run ends before.
exchange_overlapping() {
	local z old=() name offset frozen=() jobs=()
	if [ $((SECONDS + 15)) -ge "$seconds" ]; then
		return
	fi
	for z in 1 2 3; do
		if [ "${exchanged[$z]}" -ge "$exchanges" ]; then
			return
		fi
	done
	for z in 1 2 3; do
		old+=("${core[$z]}")
		exchanged[z]=$((exchanged[z] + 1))
		core[z]=core-$z-${exchanged[$z]}
		address[z]=127.$net.$z.$((100 + 2 * exchanged[z]))
		write_node_file "${core[$z]}" "$z" "${address[$z]}" --listen "127.$net.$z.$((101 + 2 * exchanged[z]))" --data "$out/data-$z-${exchanged[$z]}"
		start_on_platform "${core[$z]}"
		log_fault "${core[$z]} starts beside ${old[-1]}"
	done
	sleep 4
	write_addresses
	for z in $(shuf -e 1 2 3 -n $((RANDOM % 2 + 1)) --random-source <(yes "$RANDOM")); do
		frozen+=("${core[$z]}" "${old[$z - 1]}")
	done
	offset=$((RANDOM % 4 + 1))
	(
		log_fault "${frozen[*]} paused for $offset s"
		for name in "${frozen[@]}"; do signal "$name" STOP; done
		sleep "$offset"
		for name in "${frozen[@]}"; do signal "$name" CONT; done
	) &
	jobs+=($!)
	for name in "${old[@]}"; do
		offset=$((RANDOM % 3)).$((RANDOM % 10))
		(sleep "$offset" && log_fault "$name stopped for good" && signal "$name" TERM) &
		jobs+=($!)
	done
	sleep "$((RANDOM % 4)).$((RANDOM % 10))"
	name=$(random_core)
	log_fault "$name killed"
	signal "$name" KILL
	wait "${jobs[@]}"
	restart "$name"
	for name in "${old[@]}"; do
		wait "${pid_of[$name]}" 2>/dev/null
	done
}

# write_addresses replaces the control instances in the callers' list and in all settings files.
write_addresses() {
	local file z args=()
	printf '%s\n' "${address[@]:1}" >"$out/control-list.new"
	mv "$out/control-list.new" "$out/control-list"
	seeds=()
	for z in 1 2 3; do
		seeds+=(--seed "${address[$z]}")
	done
	for file in "$out"/front-*.yaml "$out"/core-*.yaml; do
		args=()
		for z in 1 2 3; do
			args+=(-e "s/^  - \"127\\.$net\\.$z\\.[0-9]*:8166\"/  - \"${address[$z]}:8166\"/")
		done
		sed -i -e 's/^bootstrap: true/bootstrap: false/' "${args[@]}" "$file"
	done
}

# lose_disk_and_power kills all processes and starts them again, one control instance with an empty
# disk.
lose_disk_and_power() {
	local name lost all=("${core[@]:1}" front-{1,2,3}-{1,2})
	lost=$(random_core)
	log_fault "all instances killed, disk of $lost lost"
	for name in "${all[@]}"; do
		signal "$name" KILL
	done
	for name in "${all[@]}"; do
		wait "${pid_of[$name]}" 2>/dev/null
	done
	rm -rf "${out:?}/data-${lost#core-}"
	write_addresses
	for name in "${all[@]}"; do
		start_on_platform "$name"
	done
	touch "$out/loss"
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
if [ ${#loss[@]} -gt 0 ]; then
	acked() { grep -q '^acknowledged: the last' "$out/platform-run.log"; }
	while kill -0 "$run_pid" 2>/dev/null && ! acked; do
		sleep 0.02
	done
	acked && lose_disk_and_power
fi
wait "$run_pid"
result=$?
echo "seed $seed: $(tr '\n' ' ' <"$out/platform-run.log")"
exit $result
