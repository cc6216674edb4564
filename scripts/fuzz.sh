#!/usr/bin/env bash
# Fuzzes each target for FUZZTIME, 20 s by default.
set -eu
cd "$(dirname "$0")/.."
time=${FUZZTIME:-20s}
go test -run xxx -fuzz FuzzParse -fuzztime "$time" ./protocol/ip
go test -run xxx -fuzz FuzzParse -fuzztime "$time" ./protocol/relay
go test -run xxx -fuzz FuzzParse -fuzztime "$time" ./settings
go test -run xxx -fuzz FuzzBatch -fuzztime "$time" ./entry/fabric
go test -run xxx -fuzz FuzzOpen -fuzztime "$time" ./state/journal
go test -run xxx -fuzz FuzzDecode -fuzztime "$time" ./state/cluster
go test -run xxx -fuzz FuzzDirectory -fuzztime "$time" ./control/gossip
go test -run xxx -fuzz FuzzFull -fuzztime "$time" ./coordination/admission
for target in FuzzPacket FuzzReport FuzzDocument FuzzDocumentRules FuzzNode; do
	go test -run xxx -fuzz "^$target\$" -fuzztime "$time" ./platform
done
