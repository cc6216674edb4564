# Functions shared by the scripts that run the programs on loopback. A script sets
# $out, the directory for logs and data, before it calls them, and entry_count, the
# number of entry instances, before start_backends. start records every process ID,
# and stop_all kills exactly those processes.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/bin
pids=()
# pid_of maps a name to the process that was last started under it.
declare -A pid_of

# start NAME COMMAND...: runs a command in the background and appends its output to
# $out/NAME.log.
start() {
	local name=$1
	shift
	"$@" >>"$out/$name.log" 2>&1 &
	pid_of[$name]=$!
	pids+=("$!")
}

# signal NAME SIGNAL: sends a signal to the process last started under the name.
signal() {
	kill "-$2" "${pid_of[$1]}"
}

# stop_all kills all processes that start has started, and waits for them.
stop_all() {
	local pid
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
}

# Control instance N and the entry instances N, N+4, N+8 and so on are in the Nth zone.
zones=(kochi alappuzha kollam ponnani)
relay_key=000102030405060708090a0b0c0d0e0f
control_addresses=(127.0.0.1:7101 127.0.0.1:7102 127.0.0.1:7103)

# control_settings N: prints the settings of control instance N, 1 to 3.
control_settings() {
	cat <<-END
		name: control-$1
		zone: ${zones[$1 - 1]}
		address: 127.0.0.1:710$1
		data: $out/control-$1
		metrics: 127.0.0.1:711$1
		peers:
		  - {name: control-1, address: 127.0.0.1:7101}
		  - {name: control-2, address: 127.0.0.1:7102}
		  - {name: control-3, address: 127.0.0.1:7103}
		tls: {insecure: true}
	END
}

# entry_settings N ZONE: prints the settings of entry instance N in the named zone.
entry_settings() {
	cat <<-END
		name: entry-$1
		zone: $2
		fabric: 127.0.0.1:$((7200 + $1))
		relay: 127.0.0.1:$((7300 + $1))
		relay-key: "$relay_key"
		announce: 127.0.0.1:$((7400 + $1))
		metrics: 127.0.0.1:$((7500 + $1))
		control: [${control_addresses[0]}, ${control_addresses[1]}, ${control_addresses[2]}]
		drain-deadline: 20s
		tls: {insecure: true}
		log: {level: info}
	END
}

# start_control N [FLAG]: writes the settings of control instance N and starts it.
start_control() {
	control_settings "$1" >"$out/control-$1.yaml"
	start "control-$1" "$bin/catkinrail-control" -s "$out/control-$1.yaml" ${2:+"$2"}
}

# start_entry N: writes the settings of entry instance N and starts it.
start_entry() {
	entry_settings "$1" "${zones[($1 - 1) % 4]}" >"$out/entry-$1.yaml"
	start "entry-$1" "$bin/catkinrail-entry" -s "$out/entry-$1.yaml"
}

# start_backends SERVICE ZONE-INDEX NAME...: starts the named backend servers in one
# process. They announce themselves to the entry instances of their zone; the index
# counts from 0.
start_backends() {
	local service=$1 zone=$2 n args=()
	shift 2
	for n in $(seq $((zone + 1)) 4 "$entry_count"); do
		args+=(--entry "127.0.0.1:$((7400 + n))")
	done
	for n in "$@"; do
		args+=(--name "$n")
	done
	start "backends-$service-${zones[$zone]}-$1" "$bin/catkinrail-emulator" backends --service "$service" \
		--zone "${zones[$zone]}" --callers 127.0.0.1:7600 "${args[@]}"
}

# ctl ARGUMENT...: runs catkinctl against the three control instances.
ctl() {
	"$bin/catkinctl" --insecure -c "${control_addresses[0]}" -c "${control_addresses[1]}" -c "${control_addresses[2]}" "$@"
}

# await COMMAND...: runs a command until it succeeds, at most 100 times with pauses
# of 0.1 s. Fails if no attempt succeeds.
await() {
	local i
	for i in $(seq 100); do
		if "$@" >/dev/null 2>&1; then
			return 0
		fi
		sleep 0.1
	done
	echo "no success after 100 attempts: $*" >&2
	return 1
}

has_leader() {
	ctl status | grep -q '^leader  *control'
}

# ready N: checks that entry instance N reports itself ready.
ready() {
	curl -sf "http://127.0.0.1:$((7500 + $1))/readyz"
}
