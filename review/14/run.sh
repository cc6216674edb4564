#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review-3/harness-3 ] || { echo "run review/build-3.sh first"; exit 2; }
exec target/review-3/harness-3 dropped-route "$here/record.txt"
