#!/usr/bin/env bash
# Runs the services of both users' sites on loopback, changes services, backend
# servers and entry instances meanwhile, and checks that every flow received its
# complete answer from one backend server.
set -u
out=${1:-out/demo}
mkdir -p "$out"
out=$(cd "$out" && pwd)
rm -rf "${out:?}"/*
# shellcheck source=scripts/lib.sh
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
entry_count=12

# log_event TEXT...: prints a line with the time since the start of the run.
log_event() {
	printf '%5.1f s  %s\n' "$(echo "$(date +%s.%N) - $started_at" | bc)" "$*"
}

started_at=$(date +%s.%N)
for n in 1 2 3; do
	start_control "$n" --bootstrap
done
await has_leader || exit 1
log_event "control instances have a leader"

ctl service create logbook --address 192.0.2.1:443 --buckets 1024 --idle-timeout 1h --objective-broken 100 >/dev/null &&
	ctl service create drawvault --address 192.0.2.2:443 --buckets 512 --idle-timeout 1h >/dev/null &&
	ctl service create rota-desk --address 192.0.2.3:443 --buckets 1024 --idle-timeout 1h --objective-imbalance 5 >/dev/null &&
	ctl service create batch-archive --address 192.0.2.4:443 --buckets 512 --balance tracked --idle-timeout 1h >/dev/null || exit 1
log_event "services created"

for n in $(seq $entry_count); do
	start_entry "$n"
done
for n in $(seq $entry_count); do
	await ready "$n" || exit 1
done
log_event "$entry_count entry instances ready"

for z in 0 1 2 3; do
	start_backends logbook $z "logbook-$z-a" "logbook-$z-b"
	start_backends drawvault $z "drawvault-$z"
	start_backends rota-desk $z "rota-desk-$z-a" "rota-desk-$z-b"
	start_backends batch-archive $z "batch-archive-$z"
done
enough_backends() { [ "$(ctl backend list | grep -c active)" -ge "$1" ]; }
await enough_backends 24 || exit 1
log_event "24 backend servers announced"

entry_flags=()
for n in $(seq $entry_count); do
	entry_flags+=(--entry "127.0.0.1:$((7200 + n))=127.0.0.1:$((7500 + n))")
done
start load "$bin/catkinrail-emulator" load --callers 127.0.0.1:7600 "${entry_flags[@]}" \
	--ramp 14s --duration 17s --finish 10s \
	--flows logbook,192.0.2.1:443,tcp,1500,700ms,0,1 \
	--flows drawvault,192.0.2.2:443,tcp,300,2s,3,40 \
	--flows rota-desk,192.0.2.3:443,tcp,1500,700ms,0,1 \
	--flows batch-archive,192.0.2.4:443,tcp,300,2s,3,20
log_event "callers started"

sleep 3
ctl backend drain logbook logbook-0-a
log_event "change: backend server logbook-0-a drained"
sleep 1.5
start_backends rota-desk 1 rota-desk-new
log_event "change: backend server rota-desk-new added"
sleep 2
signal entry-5 KILL
log_event "loss: entry-5 killed"
sleep 2
ctl service change drawvault --idle-timeout 2h
log_event "change: service drawvault changed"
sleep 1
signal entry-2 TERM
log_event "change: entry-2 leaves"
sleep 2
start_entry 5
log_event "change: entry-5 restarted"
sleep 1.5
ctl backend readmit logbook logbook-0-a
log_event "change: backend server logbook-0-a readmitted"

wait "${pid_of[load]}"
result=$?
log_event "callers finished"
ctl status
ctl backend list logbook
cat "$out/load.log"
exit $result
