# Functions shared by the scripts that run the system on loopback addresses with the
# settings of the users' platform.

# shellcheck source=scripts/lib.sh
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"
# net is the second octet of all addresses; runs with different values don't collide.
net=${net:-1}
seeds=(--seed "127.$net.1.100" --seed "127.$net.2.100" --seed "127.$net.3.100")
zone_names=(a b c)
# exchanges is the number of control instances that may follow one another in a zone.
exchanges=${exchanges:-0}
# link_mbps is the rate of an entry instance's link. Uploads reach it, so that packets wait.
link_mbps=${link_mbps:-20}

# write_node_file NAME ZONE-NUMBER IP [FLAG...]: writes the platform's settings of an
# instance to $out/NAME.yaml. Zone numbers count from 1.
write_node_file() {
	local name=$1 zone=${zone_names[$2 - 1]} ip=$3
	shift 3
	"$bin/catkinrail-emulator" platform-node --name "$name" --zone "$zone" --ip "$ip" "${seeds[@]}" "$@" >"$out/$name.yaml"
}

# start_on_platform NAME: starts an instance with $out/NAME.yaml: core-* is a control
# instance, all others are entry instances, whose starts are listed in $out/starts.
start_on_platform() {
	local program=catkinrail-entry
	case $1 in
	core-*) program=catkinrail-control ;;
	*) sed -n 's/^ip: "\(.*\)"$/\1/p' "$out/$1.yaml" >>"$out/starts" ;;
	esac
	start "$1" env CATKINRAIL_NODE_FILE="$out/$1.yaml" "$bin/$program" --platform
}

# start_platform [SEED SECONDS]: starts three zones, each with a control instance and two entry
# instances. With a seed, all connections to control instances go through a proxy that
# injects faults drawn from the seed for the time.
start_platform() {
	local z n args
	if [ $# -gt 0 ]; then
		args=()
		for z in 1 2 3; do
			for n in $(seq 0 "$exchanges"); do
				args+=(--node "127.$net.$z.$((100 + 2 * n))=127.$net.$z.$((101 + 2 * n))")
			done
		done
		start platform-proxy "$bin/catkinrail-emulator" platform-proxy --seed "$1" --duration "$2s" "${args[@]}"
	fi
	for z in 1 2 3; do
		args=()
		if [ $# -gt 0 ]; then
			args=(--listen "127.$net.$z.101")
		fi
		write_node_file "core-$z" "$z" "127.$net.$z.100" "${args[@]}" --data "$out/data-$z" --first
		start_on_platform "core-$z"
		for n in 1 2; do
			write_node_file "front-$z-$n" "$z" "127.$net.$z.$n" --link-mbps "$link_mbps"
			start_on_platform "front-$z-$n"
		done
	done
}

# start_platform_run FLAG...: starts callers, backend servers and an operator in one
# process, which checks what they observe. They call the control instances in $out/control-list.
start_platform_run() {
	local z args=()
	printf '%s\n' "127.$net.1.100" "127.$net.2.100" "127.$net.3.100" >"$out/control-list"
	for z in 1 2 3; do
		args+=(--entry "127.$net.$z.1" --entry "127.$net.$z.2")
	done
	args+=(--control-list "$out/control-list" --starts "$out/starts")
	start platform-run "$bin/catkinrail-emulator" platform-run --net "$net" "$@" "${args[@]}"
}
