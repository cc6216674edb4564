#!/usr/bin/env bash
# regress.sh [SITE...]: plays the standard days of the regression set on the users' bench
# (the light ones, or all with FULL=1) and prints one table: site, day, worth, and whether
# a rule broke or the day failed, beside the figures of the last commit. The new figures
# are written to docs/regression.tsv. Without the users' kit it says so and ends well.
set -eu
cd "$(dirname "$0")/.."
kit=${KIT:-../given/kit/more/system}
bench=$kit/more/bench-d17393/bin/fleetbench
sites=(further/vcc-reorder further-grown/vcc-reorder-grown large/kayalgate-large grown/kayalgate-grown grown/svswra-bottling-grown)
if [ $# -gt 0 ]; then
	sites=("$@")
fi
if [ ! -x "$bench" ]; then
	echo "the users' bench isn't here ($bench); nothing was played"
	exit 0
fi
flags=(--quick)
if [ "${FULL:-0}" = 1 ]; then
	flags=()
fi
table=docs/regression.tsv
mkdir -p out/regress
for site in "${sites[@]}"; do
	log=out/regress/${site##*/}.txt
	"$bench" score "$kit/$site.toml" "${flags[@]}" --why "regression run" >"$log" 2>&1 || true
	awk -v site="${site##*/}" '
		/^(quiet|trouble|scale)-[0-9]+ .*\/[0-9]/ {
			broken = "-"
			if (match($0, /BROKEN: .*/)) broken = substr($0, RSTART + 8, RLENGTH - 8)
			printf "%s\t%s\t%s\t%s\n", site, $1, $4, broken
		}' "$log" >"out/regress/${site##*/}.tsv"
done
{
	for site in "${sites[@]}"; do cat "out/regress/${site##*/}.tsv"; done
	git show "HEAD:$table" 2>/dev/null | awk -F '\t' -v played=" ${sites[*]##*/} " 'index(played, " " $1 " ") == 0'
} | sort -u >out/regress/table.tsv
git show "HEAD:$table" >out/regress/before.tsv 2>/dev/null || : >out/regress/before.tsv
awk -F '\t' '
	BEGIN { printf "%-24s %-10s %8s %8s  %s\n", "site", "day", "before", "now", "broken" }
	FILENAME == ARGV[1] { before[$1 "\t" $2] = $3; next }
	{
		old = ($1 "\t" $2) in before ? before[$1 "\t" $2] : "-"
		printf "%-24s %-10s %8s %8s  %s\n", $1, $2, old, $3, $4
	}' out/regress/before.tsv out/regress/table.tsv
cp out/regress/table.tsv "$table"
