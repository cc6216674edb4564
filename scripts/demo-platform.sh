#!/usr/bin/env bash
# Runs the system as on the users' platform, on loopback addresses, against
# stand-ins: an entry instance is killed, one is stopped, the control instances
# are killed one after the other, and every flow must stay on its backend server.
set -u
out=${1:-out/demo-platform}
mkdir -p "$out"
out=$(cd "$out" && pwd)
rm -rf "${out:?}"/*
# shellcheck source=scripts/lib.sh
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
seeds=(--seed 127.1.1.100 --seed 127.1.2.100 --seed 127.1.3.100)
zone_names=(a b c)

node() { # NAME ZONE-NUMBER IP [FLAG...]
	local name=$1 zone=${zone_names[$2 - 1]} ip=$3
	shift 3
	"$bin/catkinrail-emulator" platform-node --name "$name" --zone "$zone" --ip "$ip" "${seeds[@]}" "$@" >"$out/$name.yaml"
}

start_on_platform() { # NAME PROGRAM
	start "$1" env CATKINRAIL_NODE_FILE="$out/$1.yaml" "$bin/$2" --platform
}

for z in 1 2 3; do
	node "core-$z" $z "127.1.$z.100" --data "$out/data-$z" --first
	start_on_platform "core-$z" catkinrail-control
	for n in 1 2; do
		node "front-$z-$n" $z "127.1.$z.$n"
		start_on_platform "front-$z-$n" catkinrail-entry
	done
done

load=()
for z in 1 2 3; do
	load+=(--control "127.1.$z.100" --entry "127.1.$z.1" --entry "127.1.$z.2")
done
start platform-run "$bin/catkinrail-emulator" platform-run --duration 12s "${load[@]}"
run=${pid_of[platform-run]}

sleep 4
echo "loss: front-1-1 killed"
signal front-1-1 KILL
sleep 1.5
echo "change: front-2-1 stopped"
signal front-2-1 TERM
for z in 1 2 3; do
	echo "loss: core-$z killed and started again"
	signal "core-$z" KILL
	sleep 0.3
	start_on_platform "core-$z" catkinrail-control
	sleep 1.2
done
wait "$run"
result=$?
cat "$out/platform-run.log"
exit $result
