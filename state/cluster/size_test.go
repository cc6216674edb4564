package cluster_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

// TestViewSize checks that the view of the planned deployment stays within the
// control traffic that an entry instance may cause in a second: a change of view is
// sent to every entry instance.
func TestViewSize(t *testing.T) {
	const members, maxBytes = 940, 30_000
	v := catkinrail.View{Version: 1 << 40, Zones: map[catkinrail.InstanceID]catkinrail.Zone{}}
	for i := range members {
		id := catkinrail.InstanceID(100_000 + i)
		v.Base = append(v.Base, id)
		v.Target = append(v.Target, id)
		v.Zones[id] = "church-stretton"
	}
	b, err := cluster.Encode(&v)
	require.NoError(t, err)
	require.Less(t, len(b), maxBytes)
	t.Logf("%d bytes, %.1f per member", len(b), float64(len(b))/members)
}
