package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

// TestChangesAreLimitedInBytes guards against control instances that keep every version of a
// large document until they exceed their memory.
func TestChangesAreLimitedInBytes(t *testing.T) {
	document := func(version uint64) []cluster.Event { return []cluster.Event{{DocumentPut: doc(version, "x")}} }
	buckets := func(uint64) []cluster.Event {
		return []cluster.Event{{BucketsSet: &cluster.BucketsSet{Service: 1}}}
	}
	const many = 3 * maxChanges
	tests := []struct {
		name          string
		count, size   int
		events        func(uint64) []cluster.Event
		wantDocuments int
		wantAll       bool
	}{
		{"large documents", 700, 2 << 20, document, 1, true},
		{"large changes", 700, 1 << 20, buckets, 0, false},
		{"one beyond the limit", 1, 3 * maxChangeBytes, buckets, 0, true},
		{"many small changes", many, 10, buckets, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var l changeLog
			for v := range uint64(tt.count) {
				l.add(cluster.Change{Version: v + 1, Events: tt.events(v + 1)}, tt.size)
				require.True(t, len(l.list) == 1 || l.total <= 2*maxChangeBytes)
				require.LessOrEqual(t, len(l.list), 2*maxChanges)
			}
			documents := 0
			for _, c := range l.list {
				for _, e := range c.Events {
					if e.DocumentPut != nil {
						documents++
						require.Equal(t, uint64(tt.count), c.Version, "the last document is kept")
					}
				}
			}
			require.Equal(t, tt.wantDocuments, documents)
			_, ok := l.since(0)
			require.Equal(t, tt.wantAll, ok)
			last, ok := l.since(uint64(tt.count) - 1)
			require.True(t, ok)
			require.Len(t, last, 1)
		})
	}
}

// TestReadersKeepTheirChanges checks that a reader's changes stay as they were when a document in
// them is replaced.
func TestReadersKeepTheirChanges(t *testing.T) {
	var l changeLog
	l.add(cluster.Change{Version: 1, Events: []cluster.Event{{ZoneLost: &cluster.ZoneLost{}}, {DocumentPut: doc(1, "a")}}}, 10)
	before, ok := l.since(0)
	require.True(t, ok)
	l.add(cluster.Change{Version: 2, Events: []cluster.Event{{DocumentPut: doc(2, "b")}}}, 10)
	require.Len(t, before[0].Events, 2)
	after, ok := l.since(0)
	require.True(t, ok)
	require.Equal(t, []cluster.Event{{ZoneLost: &cluster.ZoneLost{}}}, after[0].Events)
	require.Equal(t, []catkinrail.Document{*doc(2, "b")}, []catkinrail.Document{*after[1].Events[0].DocumentPut})
}
