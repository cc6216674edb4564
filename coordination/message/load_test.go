package message_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/state/cluster"
)

// TestServerLoadsEncoding guards against rows that change on the wire, and against a
// reader that fails on a later version's further columns or on a short message.
func TestServerLoadsEncoding(t *testing.T) {
	list := message.ServerLoads{
		{Token: 1, StartedAt: 1_780_000_000_000, Pending: 3, Flows: 3205, Latency: 31 * time.Millisecond},
		{Token: 0xfffffff0, StartedAt: 1_780_000_000_500, Flows: 1},
		{Token: 5, StartedAt: 7, Pending: 1},
	}
	b, err := cluster.Encode(&message.LoadReport{Servers: list})
	require.NoError(t, err)
	var r message.LoadReport
	require.NoError(t, cluster.Decode(b, &r))
	require.Equal(t, list, r.Servers)

	var got message.ServerLoads
	require.NoError(t, got.UnmarshalBinary([]byte{4, 2, 2, 5, 6, 0, 9, 2, 2, 7, 8, 0, 9}), "four columns")
	require.Equal(t, message.ServerLoads{{Token: 1, StartedAt: 1, Pending: 5, Flows: 6}, {Token: 2, StartedAt: 2, Pending: 7, Flows: 8}}, got)
	require.NoError(t, got.UnmarshalBinary([]byte{1, 2, 2, 5}), "one column")
	require.Equal(t, message.ServerLoads{{Token: 1, StartedAt: 1, Pending: 5}}, got)
	for _, b := range [][]byte{nil, {3, 2}, {3, 2, 2, 0x80}} {
		require.Error(t, got.UnmarshalBinary(b), "%v", b)
	}
}
