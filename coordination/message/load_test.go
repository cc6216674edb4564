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
		{Server: 0xfffffff, Flows: 1},
		{Server: 1, Pending: 3, Flows: 3205, Latency: 64 * time.Millisecond},
		{Server: 5, Pending: 1, Latency: 250 * time.Microsecond},
		{Server: 5, Latency: 8192 * time.Millisecond},
	}
	b, err := cluster.Encode(&message.LoadReport{Servers: list})
	require.NoError(t, err)
	var r message.LoadReport
	require.NoError(t, cluster.Decode(b, &r))
	require.Equal(t, list, r.Servers)

	b, err = cluster.Encode(message.ServerLoads{{Latency: 400 * time.Millisecond}, {Latency: time.Hour}})
	require.NoError(t, err)
	require.NoError(t, cluster.Decode(b, &r.Servers))
	require.InEpsilon(t, 400*time.Millisecond, r.Servers[0].Latency, 0.045)
	require.Greater(t, r.Servers[1].Latency, 10*time.Second)

	var got message.ServerLoads
	require.NoError(t, got.UnmarshalBinary([]byte{4, 2, 5, 6, 0, 9, 2, 7, 8, 0, 9}), "four columns")
	require.Equal(t, message.ServerLoads{{Server: 2, Pending: 5, Flows: 6}, {Server: 4, Pending: 7, Flows: 8}}, got)
	require.NoError(t, got.UnmarshalBinary([]byte{1, 2, 5}), "one column")
	require.Equal(t, message.ServerLoads{{Server: 2, Pending: 5}}, got)
	for _, b := range [][]byte{nil, {3, 2}, {3, 2, 0x80}} {
		require.Error(t, got.UnmarshalBinary(b), "%v", b)
	}
}
