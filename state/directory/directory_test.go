package directory_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/directory"
)

const (
	silentAfter = 3 * time.Second
	second      = int64(time.Second)
)

// change is a report or, if leave is set, the end of an incarnation.
type change struct {
	inc   catkinrail.Incarnation
	leave bool
}

func report(name string, startedAt int64, sequence uint64, addr int) catkinrail.Incarnation {
	return catkinrail.Incarnation{
		Name: name, Identity: 1, StartedAt: startedAt, Sequence: sequence, Service: "logbook", Slots: 2, Zone: "a",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(addr)}), 80),
	}
}

func draining(inc catkinrail.Incarnation) catkinrail.Incarnation {
	inc.Draining = true
	return inc
}

func apply(d *directory.Directory, list []change, now int64) {
	for i := range list {
		if list[i].leave {
			d.Leave(list[i].inc.Name, list[i].inc.StartedAt, now)
			continue
		}
		d.Report(&list[i].inc, now, true)
	}
}

func TestLastWriterWins(t *testing.T) {
	old := report("a", 100, 9, 1)
	tests := []struct {
		name string
		list []change
		// want gives the start of the incarnations that have not ended, by name.
		want map[string]int64
		// draining lists the names of those that drain.
		draining []string
	}{
		{"a report", []change{{inc: old}}, map[string]int64{"a": 100}, nil},
		{"a late report does not undo draining", []change{{inc: draining(report("a", 100, 5, 1))}, {inc: report("a", 100, 4, 1)}}, map[string]int64{"a": 100}, []string{"a"}},
		{"a leave ends an incarnation", []change{{inc: old}, {inc: old, leave: true}}, map[string]int64{}, nil},
		{"a late report does not restore an ended incarnation", []change{{inc: old}, {inc: old, leave: true}, {inc: report("a", 100, 8, 1)}, {inc: report("a", 100, 10, 1)}}, map[string]int64{}, nil},
		{"a new incarnation under the same name", []change{{inc: old}, {inc: old, leave: true}, {inc: report("a", 200, 1, 1)}}, map[string]int64{"a": 200}, nil},
		{"a new incarnation without a leave", []change{{inc: old}, {inc: report("a", 200, 1, 1)}}, map[string]int64{"a": 200}, nil},
		{"a late report of the earlier incarnation", []change{{inc: report("a", 200, 1, 1)}, {inc: old}}, map[string]int64{"a": 200}, nil},
		{"a late leave of the earlier incarnation", []change{{inc: report("a", 200, 1, 1)}, {inc: old, leave: true}}, map[string]int64{"a": 200}, nil},
		{"an address taken over", []change{{inc: old}, {inc: report("b", 200, 1, 1)}}, map[string]int64{"b": 200}, nil},
		{"a late report of the address's earlier holder", []change{{inc: report("b", 200, 1, 1)}, {inc: old}}, map[string]int64{"b": 200}, nil},
		{"another address", []change{{inc: old}, {inc: report("b", 200, 1, 2)}}, map[string]int64{"a": 100, "b": 200}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := directory.New(silentAfter)
			apply(d, tt.list, second)
			live := map[string]int64{}
			var drains []string
			for _, inc := range d.All(second) {
				if inc.Gone {
					continue
				}
				live[inc.Name] = inc.StartedAt
				if inc.Draining {
					drains = append(drains, inc.Name)
				}
			}
			require.Equal(t, tt.want, live)
			require.Equal(t, tt.draining, drains)
		})
	}
}

func TestSilentBackends(t *testing.T) {
	d := directory.New(silentAfter)
	inc := report("a", 100, 1, 1)
	d.Report(&inc, second, true)
	require.Empty(t, d.Tick(second+int64(silentAfter)))
	require.Equal(t, []string{"a"}, d.Tick(second+int64(silentAfter)+1))
	require.True(t, d.Since(0, 0)[0].Silent)
	require.Empty(t, d.Tick(second+int64(silentAfter)+2))

	require.True(t, d.Renew("a", 100, 2, false, 10*second))
	require.False(t, d.Since(0, 0)[0].Silent)
	require.False(t, d.Renew("b", 100, 2, false, 10*second))
	require.False(t, d.Renew("a", 200, 1, false, 10*second), "a later incarnation must be fetched")
	require.False(t, d.Renew("a", 100, 3, true, 10*second), "a change of state must be fetched")

	// A process that was stalled for a minute received no reports in that time.
	d.CompensateStall(60 * second)
	require.Empty(t, d.Tick(70*second))

	// Entries that fell silent long ago expire.
	d.Tick(100 * second)
	d.Tick(100*second + int64(time.Hour))
	require.Empty(t, d.All(0))
}

func TestLocalSinceReturnsLocalReportsOnly(t *testing.T) {
	d := directory.New(silentAfter)
	a, b := report("a", 100, 1, 1), report("b", 100, 1, 2)
	d.Report(&a, second, true)
	d.Report(&b, second, false)
	changed, renewed := d.LocalSince(0, second)
	require.Len(t, changed, 1)
	require.Empty(t, renewed)
	at := d.Revision()
	a.Sequence++
	require.Equal(t, directory.Renewed, d.Report(&a, 2*second, true))
	changed, renewed = d.LocalSince(at, second)
	require.Empty(t, changed)
	require.Len(t, renewed, 1)
	require.Empty(t, d.Since(at, second), "renewals are not sent to entry instances")
}

// TestOrderDoesNotMatter checks that directories that received the same reports in
// different orders, one of them each report twice, agree on the incarnations that have
// not ended once they have exchanged all entries.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []change
		n := rapid.IntRange(1, 12).Draw(t, "changes")
		leaving := map[string]bool{}
		for range n {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			start := rapid.Int64Range(1, 3).Draw(t, "start")
			// An incarnation keeps its address and drains from sequence number 3 on.
			addr := int(start)%2 + len(name)
			sequence := rapid.Uint64Range(1, 4).Draw(t, "sequence")
			inc := report(name, start*10+int64(name[0]-'a'), sequence, addr)
			inc.Draining = sequence >= 3
			leave := rapid.Bool().Draw(t, "leave") && sequence == 4
			leaving[fmt.Sprint(name, start)] = leave
			if leave {
				inc.Gone = true
			}
			list = append(list, change{inc: inc})
		}
		first, second := directory.New(silentAfter), directory.New(silentAfter)
		apply(first, list, 1)
		other := rapid.Permutation(append(list, list...)).Draw(t, "order")
		apply(second, other, 1)
		// Gossip exchanges all entries until nothing changes.
		for range 3 {
			for _, inc := range first.All(1) {
				second.Report(&inc, 1, false)
			}
			for _, inc := range second.All(1) {
				first.Report(&inc, 1, false)
			}
		}
		require.Equal(t, activeIncarnations(first), activeIncarnations(second))
	})
}

func activeIncarnations(d *directory.Directory) map[string]int64 {
	live := map[string]int64{}
	for _, inc := range d.All(1) {
		if !inc.Gone {
			live[inc.Name] = inc.StartedAt
		}
	}
	return live
}

// TestChangesAreKeptForEveryRevision checks that Since returns all changes after any
// earlier revision, also when superseded changes have been deleted in between.
func TestChangesAreKeptForEveryRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := directory.New(silentAfter)
		seen := map[string]directory.View{}
		at, now := uint64(0), int64(0)
		for i := range rapid.IntRange(1, 2000).Draw(t, "changes") {
			now += 1000
			inc := report(fmt.Sprint("s", i%7), int64(100+i), 1, i%7)
			inc.Draining = i%3 == 0
			d.Report(&inc, now, true)
			if rapid.IntRange(0, 200).Draw(t, "read") != 0 {
				continue
			}
			for _, v := range d.Since(at, now) {
				seen[v.Name] = v
			}
			at = d.Revision()
		}
		for _, v := range d.Since(at, now) {
			seen[v.Name] = v
		}
		for _, v := range d.Since(0, now) {
			require.Equal(t, v.Incarnation, seen[v.Name].Incarnation)
		}
	})
}
