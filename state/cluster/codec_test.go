package cluster_test

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

func sampleChange() cluster.Change {
	cfg := catkinrail.ServiceConfig{Name: "logbook", Addr: netip.MustParseAddrPort("192.0.2.1:443")}
	cfg.SetDefaults()
	return cluster.Change{Version: 1, Events: []cluster.Event{
		{ServicePut: &cluster.ServicePut{ID: 1, Config: cfg, Seed: 7}},
		{BackendPut: &catkinrail.Backend{ID: 1, Name: "host", Service: 1, Zone: "kochi", Slots: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:6080")}}},
		{BucketsSet: &cluster.BucketsSet{Service: 1, Value: catkinrail.Bucket{Cur: 16}, Buckets: []uint16{0, 1, 2}}},
		{Answer: &cluster.Answer{Request: "r1", Digest: 9, Version: 1}},
	}}
}

func TestStateRoundTrip(t *testing.T) {
	s := cluster.New()
	require.NoError(t, s.Apply(sampleChange()))
	b, err := cluster.Encode(s)
	require.NoError(t, err)
	got := cluster.New()
	require.NoError(t, cluster.Decode(b, got))
	require.Equal(t, s, got)
	again, err := cluster.Encode(got)
	require.NoError(t, err)
	require.Equal(t, b, again, "the encoding is deterministic")
}

// FuzzDecode decodes arbitrary changes and applies them.
func FuzzDecode(f *testing.F) {
	b, err := cluster.Encode(sampleChange())
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var c cluster.Change
		if cluster.Decode(b, &c) != nil {
			return
		}
		c.Version = 1
		s := cluster.New()
		if s.Apply(c) != nil {
			require.Equal(t, cluster.New(), s, "a refused change leaves the state unchanged")
			return
		}
		_, err := cluster.Encode(s)
		require.NoError(t, err)
	})
}
