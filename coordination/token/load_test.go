package token

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/load"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/place"
)

const ms = int64(time.Millisecond)

func loadDocument(version uint64, target time.Duration) *catkinrail.Document {
	return &catkinrail.Document{Version: version, Services: []string{"s"}, Routes: []catkinrail.Route{{
		Name: "r", Listen: netip.MustParseAddrPort("198.18.0.1:443"), Timeout: time.Second,
		LatencyTarget: target, Targets: []catkinrail.Target{{Service: "s", Weight: 1}},
	}}}
}

// loadServers is the number of backend servers in each zone: enough for placement by expected
// work.
const loadServers = place.SampleSize + 1

// newLoadEngine returns an engine in zone "a" with loadServers backend servers in each of two
// zones; the first in zone "a" has the token 1.
func newLoadEngine(target time.Duration) *Engine {
	e := New("a", 1)
	e.SetDocument(loadDocument(1, target))
	var list []FollowedBackend
	for i := range 2 * loadServers {
		zone := catkinrail.Zone("a")
		if i >= loadServers {
			zone = "b"
		}
		list = append(list, FollowedBackend{Incarnation: catkinrail.Incarnation{
			Name: fmt.Sprintf("%s-%02d", zone, i), Identity: uint64(i + 1), StartedAt: 100, Sequence: 1, Service: "s", Zone: zone, Slots: 2,
		}})
	}
	e.Update(list, 0)
	e.RecordContact(0)
	return e
}

func openFlow(e *Engine, port uint16, now int64) {
	dst := netip.MustParseAddr("198.18.0.1").As16()
	e.Decide(&catkinrail.TokenPacket{Flow: catkinrail.FlowKey{SrcPort: port, Dst: dst, DstPort: 443}, Opening: true, Seq: 1}, now)
}

// TestPlacementSeesOthers guards against an entry instance that places by its own flows
// only, that counts its own twice, or that trusts old news.
func TestPlacementSeesOthers(t *testing.T) {
	table := load.NewTable("c", 1)
	table.SetServer(load.Server{Key: message.NewServerKey(1, 100), Zone: "a", Service: "s", Slots: 2})
	e := newLoadEngine(time.Second)
	openFlow(e, 1, 0)
	r := message.LoadReport{Name: "e1", Zone: "a", Process: 1}
	require.True(t, e.LoadReport(&r, 10*ms))
	other := message.LoadReport{Name: "e2", Zone: "a", Process: 2, Sequence: 1, Servers: message.ServerLoads{{Server: message.NewServerKey(1, 100), Pending: 3, Flows: 9}}}
	table.Report(&other, 10*ms)
	require.True(t, e.ApplyLoad(table.Report(&r, 12*ms), 14*ms))
	tests := []struct {
		name  string
		at    int64
		fresh bool
	}{
		{"fresh", 20 * ms, true},
		{"just fresh", 10*ms + int64(load.Expiry) - 1, true},
		{"old", 10*ms + int64(load.Expiry), false},
		{"clock set back", 5 * ms, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := e.Choices()
			b, _ := e.place(nil, "s", nil, 0, tt.at)
			require.NotNil(t, b)
			require.Equal(t, tt.fresh, e.Choices()[ChoiceOwn] == before[ChoiceOwn], "news count only while they are fresh")
			g := group{backends: e.placement.services["s"].home, req: &place.Request{}, e: e, now: tt.at}
			require.Equal(t, loadServers, g.Len(), "another zone's backend server is known by its zone only")
			c := g.At(0)
			require.Equal(t, 3, c.OthersPending)
			require.Equal(t, 9, c.OthersFlows)
		})
	}
	require.False(t, e.ApplyLoad(&message.LoadReply{Sequence: 1, Whole: true}, 20*ms), "a repeated reply")
}

// TestReportsOnlyWhereShared guards against reports of deployments that don't share loads,
// and of instances without flows.
func TestReportsOnlyWhereShared(t *testing.T) {
	r := message.LoadReport{}
	e := newLoadEngine(0)
	openFlow(e, 1, 0)
	require.False(t, e.LoadReport(&r, ms), "no priorities and no latency target")
	e = newLoadEngine(time.Second)
	require.False(t, e.LoadReport(&r, ms), "no flows")
	openFlow(e, 1, 0)
	require.True(t, e.LoadReport(&r, ms))
	require.Len(t, r.Servers, 1)
	require.Equal(t, 1, r.Servers[0].Pending, "the handshake")
	e.Tick(int64(10 * time.Second))
	require.True(t, e.LoadReport(&r, ms), "the report that the flows have ended")
	require.Empty(t, r.Servers)
	require.False(t, e.LoadReport(&r, ms))
	require.EqualValues(t, 2, r.Sequence)
	openFlow(e, 2, int64(10*time.Second))
	e.SetDocument(loadDocument(2, 0))
	require.False(t, e.LoadReport(&r, ms), "a document that no longer calls for it")
}

// BenchmarkLoadReport measures the time for which a report and its reply hold the router's
// lock, before 4,800 backend servers of which 800 are in the zone.
func BenchmarkLoadReport(b *testing.B) {
	e := newLoadEngine(time.Second)
	table := load.NewTable("c", 1)
	var list []FollowedBackend
	for i := range 4800 {
		list = append(list, FollowedBackend{Incarnation: catkinrail.Incarnation{
			Name: fmt.Sprint(i), Identity: uint64(i + 10), StartedAt: 100, Sequence: 1, Service: "s", Zone: catkinrail.Zone('a' + rune(i%6)), Slots: 2,
		}})
	}
	e.Update(list, 0)
	r := message.LoadReport{Name: "e1", Zone: "a", Process: 1}
	for _, k := range e.loads.backends {
		k.flows = 3
		table.SetServer(load.Server{Key: k.loadKey, Zone: k.Zone, Service: "s"})
	}
	e.LoadReport(&r, 0)
	reply := table.Report(&r, 0)
	b.ReportAllocs()
	for b.Loop() {
		e.LoadReport(&r, 0)
		reply.Sequence, reply.Whole = r.Sequence, true
		e.ApplyLoad(reply, 0)
	}
}
