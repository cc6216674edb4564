package commands

import (
	"bytes"
	"testing"
	"text/tabwriter"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/protocol/api"
)

func TestWriteDirectory(t *testing.T) {
	list := []*api.DirectoryReply{
		{
			Control: "core-a-1", Current: true, DocumentVersion: 7, Evacuations: 12, EvacuatedZones: []string{"a", "c"},
			Followers: []*api.Follower{{Name: "front-a-1", Zone: "a", DocumentVersion: 7, Evacuations: 12, AgeMs: 61500}},
			BackendServers: []*api.ReportingServer{{
				Name: "i-9", Service: "logbook", Zone: "a", Address: "10.0.0.9:80", Slots: 2, State: "draining", Sequence: 4, AgeMs: 340,
			}},
			Loads: []*api.ZoneLoad{{Service: "logbook", Zone: "a", Slots: 80, Pending: 31, Flows: 960, LatencyMs: 35, AgeMs: 240, Instances: 43}},
		},
		{Control: "core-b-1", DocumentVersion: 5, Followers: []*api.Follower{{Name: "front-b-1", Zone: "b", DocumentVersion: 5}}},
	}
	var out bytes.Buffer
	w := tabwriter.NewWriter(&out, 0, 4, 2, ' ', 0)
	writeDirectory(w, list)
	require.NoError(t, w.Flush())
	require.Equal(t, `CONTROL   IN TOUCH  DOCUMENT  BACKEND SERVERS  EVACUATIONS  EVACUATED ZONES
core-a-1  true      7         1                12           a, c
core-b-1  false     5         0                0            -

ENTRY      ZONE  FOLLOWS   DOCUMENT  EVACUATIONS  SINCE
front-a-1  a     core-a-1  7         12           1m1.5s
front-b-1  b     core-b-1  5         0            0s

SERVICE  ZONE  SLOTS  PENDING  FLOWS  LATENCY  REPORTED BY  AGE
logbook  a     80     31       960    35ms     43           240ms

SERVICE  BACKEND SERVER  ZONE  ADDRESS      SLOTS  STATE     REPORT  AGE
logbook  i-9             a     10.0.0.9:80  2      draining  4       340ms
`, out.String())
}
