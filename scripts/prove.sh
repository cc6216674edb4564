#!/usr/bin/env bash
# Runs the fault matrix: deterministic tests first, then faults injected into real
# processes on loopback. Prints a line for each cell, then the numbers of cells that
# passed, failed and were not run.
set -u
cd "$(dirname "$0")/.."
out=${1:-out/prove}
mkdir -p "$out"
out=$(cd "$out" && pwd)
rm -rf "${out:?}"/*
. scripts/lib.sh
passed=0 failed=0 not_run=0

# report_cell FAULT STEP RESULT: prints a cell and counts its result. Any result other
# than pass and fail counts as not run.
report_cell() {
	printf '%-34s %-42s %s\n' "$1" "$2" "$3"
	case $3 in
	pass) passed=$((passed + 1)) ;;
	fail) failed=$((failed + 1)) ;;
	*) not_run=$((not_run + 1)) ;;
	esac
}

# run_tests PACKAGE: runs a package's tests and prints TEST, PART and RESULT, separated
# by tabs, for each subtest and for each test without subtests.
run_tests() {
	go test -count=1 -v "$1" 2>&1 | awk '
		/^ *--- (PASS|FAIL|SKIP): / {
			name = $3; split(name, part, "/")
			result = $2 == "PASS:" ? "pass" : ($2 == "FAIL:" ? "fail" : "not-run")
			has[part[1]] += (part[2] != ""); line[++n] = part[1] "\t" (part[2] == "" ? "whole" : part[2]) "\t" result
		}
		END {
			for (i = 1; i <= n; i++) {
				split(line[i], f, "\t")
				if (f[2] == "whole" && has[f[1]] > 0) continue
				print line[i]
			}
		}'
}

for package in ./coordination/route ./coordination/plan ./coordination/quorum ./state/journal ./state/flow ./control/core ./entry/fabric ./transport/rpc; do
	while IFS=$'\t' read -r test part result; do
		report_cell "$test" "$part" "$result"
	done < <(run_tests "$package")
done

# Cells with real processes on loopback.
trap stop_all EXIT
entry_count=8
# no_flow_broken LOAD-LOG: checks a load's output for its count of broken flows.
no_flow_broken() {
	grep -q '^flows-broken: 0$' "$1"
}

# start_all starts all instances, one service and its backend servers.
start_all() {
	local n z
	for n in 1 2 3; do
		start_control "$n" --bootstrap
	done
	await has_leader || return 1
	ctl service create logbook --address 192.0.2.1:443 --buckets 512 --idle-timeout 1h >/dev/null || return 1
	for n in $(seq $entry_count); do
		start_entry "$n"
	done
	for n in $(seq $entry_count); do
		await ready "$n" || return 1
	done
	for z in 0 1 2 3; do
		start_backends logbook $z "host-$z-a" "host-$z-b"
	done
	enough_backends() { [ "$(ctl backend list | grep -c active)" -ge 8 ]; }
	await enough_backends
}

# start_load NAME: starts callers of the service for 12 s.
start_load() {
	local n entry_flags=()
	for n in $(seq $entry_count); do
		entry_flags+=(--entry "127.0.0.1:$((7200 + n))=127.0.0.1:$((7500 + n))")
	done
	start "$1" "$bin/catkinrail-emulator" load --callers 127.0.0.1:7600 "${entry_flags[@]}" \
		--ramp 6s --duration 12s --finish 8s --flows logbook,192.0.2.1:443,tcp,800,500ms,0,2
}

# process_cell FAULT STEP COMMAND...: runs a load, drains a backend server, injects the
# fault with the command delay seconds later (2 by default), and checks that no flow
# broke.
process_cell() {
	local fault=$1 step=$2 log
	shift 2
	log=load-$((passed + failed))
	start_load "$log"
	sleep 2
	ctl backend drain logbook host-0-a >/dev/null
	sleep "${delay:-2}"
	"$@"
	wait "${pid_of[$log]}"
	if no_flow_broken "$out/$log.log"; then report_cell "$fault" "$step" pass; else report_cell "$fault" "$step" fail; fi
	await ctl backend readmit logbook host-0-a
	sleep 2
}

# leader prints the name of the leader.
leader() {
	ctl status | awk '$1 == "leader" { print $2 }'
}

kill_entry() { signal entry-3 KILL; }
freeze_entry() { signal entry-4 STOP; sleep 4; signal entry-4 CONT; }
restart_entry() { start_entry 3; }
kill_leader() { local l; l=$(leader); signal "$l" KILL; sleep 2; start_control "${l#control-}"; }
freeze_leader() { local l; l=$(leader); signal "$l" STOP; sleep 4; signal "$l" CONT; }
kill_control() { for n in 1 2 3; do signal "control-$n" KILL; done; sleep 1; for n in 1 2 3; do start_control "$n"; done; }
lose_disk() { signal control-2 KILL; sleep 0.5; rm -rf "$out/control-2"; start_control 2; }
stop_entry() { signal entry-5 TERM; }

if start_all; then
	process_cell "process: no fault" "drain" true
	delay=0.7 process_cell "process: entry killed" "drain in prepare" kill_entry
	process_cell "process: entry restarted" "drain open" restart_entry
	process_cell "process: entry frozen 4 s" "drain open" freeze_entry
	process_cell "process: entry leaves" "drain open" stop_entry
	process_cell "process: control leader killed" "drain open" kill_leader
	process_cell "process: control leader frozen 4 s" "drain open" freeze_leader
	process_cell "process: all control killed" "drain open" kill_control
	process_cell "process: control lost its disk" "drain open" lose_disk
	three_voters() { [ "$(ctl status | grep -cE 'voter|leader  *[0-9]')" -ge 3 ]; }
	if await three_voters; then report_cell "process: control lost its disk" "voter again" pass; else report_cell "process: control lost its disk" "voter again" fail; fi
	version=$(ctl status | awk '$1 == "version" { print $2 }')
	if [ "${version:-0}" -gt 20 ]; then report_cell "process: state after all faults" "version kept" pass; else report_cell "process: state after all faults" "version kept" fail; fi
else
	report_cell "process: start" "all" fail
fi
report_cell "flows placed in a partition" "partition ends, before the merge" not-run
report_cell "rack switch lost" "real network" not-run
printf 'cells-passed: %d\ncells-failed: %d\ncells-not-run: %d\n' "$passed" "$failed" "$not_run"
