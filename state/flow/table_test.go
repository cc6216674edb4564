package flow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/flow"
)

var bucket = flow.Bucket{Service: 1, Number: 5}

func record(port uint16, slot catkinrail.SlotID, epoch uint64, seen time.Duration) *catkinrail.Record {
	return &catkinrail.Record{Key: catkinrail.FlowKey{SrcPort: port}, Slot: slot, Epoch: epoch, Seen: int64(seen)}
}

func sweep(t *flow.Table, now time.Duration, p flow.Policy) (refreshed int) {
	for turn := range flow.Shards {
		t.Sweep(turn, int64(now), func(flow.Bucket) flow.Policy { return p }, func(flow.Bucket, *catkinrail.Record) { refreshed++ })
	}
	return refreshed
}

func TestEarlierEpochWins(t *testing.T) {
	tests := []struct {
		name          string
		first, second uint64
		want          catkinrail.SlotID
	}{
		{"later comes second", 3, 9, 16},
		{"earlier comes second", 9, 3, 32},
		{"same epoch", 3, 3, 16},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := flow.New()
			table.Insert(bucket, record(1, 16, tt.first, time.Second), 10)
			held, ok := table.Insert(bucket, record(1, 32, tt.second, time.Second), 10)
			require.True(t, ok)
			require.Equal(t, tt.want, held.Slot)
			require.Equal(t, int64(1), table.Load(tt.want))
			require.Equal(t, 1, table.Len())
		})
	}
}

func TestExpiry(t *testing.T) {
	const idle = time.Hour
	tests := []struct {
		name        string
		established bool
		closing     bool
		gone        bool
		age         time.Duration
		kept        bool
	}{
		{"half open, young", false, false, false, 100 * time.Second, true},
		{"half open, old", false, false, false, 131 * time.Second, false},
		{"established, silent", true, false, false, 59 * time.Minute, true},
		{"established, silent for too long", true, false, false, 61 * time.Minute, false},
		{"closing, young", true, true, false, 4 * time.Minute, true},
		{"closing, old", true, true, false, 6 * time.Minute, false},
		{"backend server ended", true, false, true, time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := flow.New()
			r := record(1, 16, 1, time.Second)
			r.Established, r.Closing = tt.established, tt.closing
			table.Insert(bucket, r, 10)
			gone := func(catkinrail.SlotID) bool { return tt.gone }
			sweep(table, time.Second+tt.age, flow.Policy{Keep: true, Idle: idle, Gone: gone})
			require.Equal(t, tt.kept, table.Len() == 1)
		})
	}
}

// TestUnneededRecordRetention checks that records are kept for a while on an
// instance that receives them before the state version that makes it a replica.
func TestUnneededRecordRetention(t *testing.T) {
	table := flow.New()
	table.Insert(bucket, record(1, 16, 1, time.Second), 10)
	sweep(table, 3*time.Second, flow.Policy{})
	require.Equal(t, 1, table.Len())
	sweep(table, 30*time.Second, flow.Policy{})
	require.Zero(t, table.Len())
}

func TestLimitEvictsOldHalfOpenRecords(t *testing.T) {
	table := flow.New()
	for port := range uint16(4) {
		_, ok := table.Insert(bucket, record(port, 16, 1, time.Second), 4)
		require.True(t, ok)
	}
	_, ok := table.Insert(bucket, record(100, 16, 1, 1500*time.Millisecond), 4)
	require.False(t, ok, "no half-open record is old enough to evict")
	require.Equal(t, int64(1500*time.Millisecond), table.LastUntracked(bucket))
	_, ok = table.Insert(bucket, record(101, 16, 1, 3*time.Second), 4)
	require.True(t, ok)
	require.Equal(t, int64(3*time.Second), table.LastUntracked(bucket))
}

func TestRefresh(t *testing.T) {
	table := flow.New()
	r := record(1, 16, 1, time.Second)
	r.Established = true
	table.Insert(bucket, r, 10)
	p := flow.Policy{Keep: true, Idle: time.Hour, Refresh: true}
	require.Zero(t, sweep(table, 20*time.Minute, p), "no packet since the record was stored")
	key := r.Key
	_, _, ok := table.Touch(bucket, &key, flow.PacketInfo{Now: int64(20 * time.Minute)})
	require.True(t, ok)
	require.Equal(t, 1, sweep(table, 20*time.Minute+time.Second, p))
	require.Zero(t, sweep(table, 21*time.Minute, p))
}
