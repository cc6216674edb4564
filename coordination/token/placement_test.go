package token_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/token"
)

// byWork returns a document that calls for placement by expected work.
func byWork() *catkinrail.Document {
	d := document(2)
	d.Routes[0].LatencyTarget = 400 * time.Millisecond
	return d
}

// inZones returns n backend servers in each zone.
func inZones(n int, zones ...catkinrail.Zone) []token.FollowedBackend {
	var list []token.FollowedBackend
	for _, z := range zones {
		for range n {
			b := backend(fmt.Sprintf("%s-%d", z, len(list)), uint64(len(list)+1))
			b.Zone = z
			list = append(list, b)
		}
	}
	return list
}

// shareLoads applies a reply to a report at the given time: the loads that others put on
// backend servers, and those of the other zones.
func shareLoads(tb testing.TB, e *token.Engine, others []message.ServerLoad, zones []message.ZoneLoad, now int64) {
	tb.Helper()
	r := message.LoadReport{Sequence: uint64(now)}
	if !e.LoadReport(&r, now) {
		// An instance without flows doesn't report.
		e.Decide(opening(math.MaxUint16, 0), now)
		require.True(tb, e.LoadReport(&r, now))
	}
	sums := slices.Clone(r.Servers)
	for _, o := range others {
		i := slices.IndexFunc(sums, func(l message.ServerLoad) bool { return l.Server == o.Server })
		if i < 0 {
			sums = append(sums, o)
			continue
		}
		sums[i].Pending += o.Pending
		sums[i].Flows += o.Flows
	}
	reply := &message.LoadReply{
		Sequence: r.Sequence, Revision: message.ResumePoint{Process: 1, Revision: r.Sequence}, Whole: true,
		Servers: sums, Zones: zones, Instances: 3,
	}
	require.True(tb, e.ApplyLoad(reply, now))
}

// TestWithoutSharedView guards against decisions that change although placement by work is
// off: without a fresh shared view, a document that calls for it must change no verdict.
func TestWithoutSharedView(t *testing.T) {
	list := inZones(12, "a", "b")
	list[2].Warmup = time.Second
	off, on, stale := newEngine(list...), newEngine(list...), newEngine(list...)
	off.SetDocument(document(2))
	on.SetDocument(byWork())
	stale.SetDocument(byWork())
	// The same flow opens everywhere.
	for _, e := range []*token.Engine{off, on} {
		e.Decide(opening(math.MaxUint16, 0), 0)
	}
	shareLoads(t, stale, nil, nil, 0)
	rng := rand.New(rand.NewPCG(5, 5))
	now := 1000 * ms
	tokens := map[uint16]catkinrail.Token{}
	decide := func(p *catkinrail.TokenPacket) token.Verdict {
		want := off.Decide(p, now)
		for _, e := range []*token.Engine{on, stale} {
			got := e.Decide(p, now)
			require.Equal(t, want.Action, got.Action)
			require.Equal(t, want.Reason, got.Reason)
			require.Equal(t, want.Class, got.Class)
			if want.Backend != nil {
				require.Equal(t, want.Backend.Name, got.Backend.Name)
			}
		}
		return want
	}
	for i := range 5000 {
		now += rng.Int64N(5 * ms)
		port := uint16(rng.IntN(200))
		switch n := rng.IntN(6); {
		case n == 0 || tokens[port] == 0:
			if v := decide(opening(port, uint32(rng.IntN(3)))); v.Backend != nil {
				tokens[port] = v.Backend.Token()
			}
		case n == 1:
			p := data(port, tokens[port], uint32(i), uint32(i), 0)
			p.Closing = true
			decide(p)
			delete(tokens, port)
		default:
			decide(data(port, tokens[port], uint32(100*i), uint32(100*i), rng.IntN(2)*90))
		}
		if i%200 == 0 {
			off.Tick(now)
			on.Tick(now)
			stale.Tick(now)
			// Everyone keeps in contact, so that nothing is refused as stale.
			off.RecordContact(now)
			on.RecordContact(now)
			stale.RecordContact(now)
		}
	}
}

// TestFewServers guards against choices by older sums where the own flows say as much: with
// few servers in a zone, loads of others change no choice.
func TestFewServers(t *testing.T) {
	tests := []struct {
		name   string
		a, b   int
		byWork bool
	}{
		{"as many as a sample", 8, 8, false},
		{"more than a sample in one zone only", 10, 4, false},
		{"more than a sample", 9, 9, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(append(inZones(tt.a, "a"), renumber(inZones(tt.b, "b"), tt.a)...)...)
			e.SetDocument(byWork())
			e.RecordContact(0)
			shareLoads(t, e, nil, nil, 0)
			before := e.Choices()[token.ChoiceWork]
			require.NotNil(t, e.Decide(opening(1, 0), ms).Backend)
			require.Equal(t, tt.byWork, e.Choices()[token.ChoiceWork] > before)
		})
	}
}

// renumber gives the backend servers other names and identities.
func renumber(list []token.FollowedBackend, from int) []token.FollowedBackend {
	for i := range list {
		list[i].Name += "-other"
		list[i].Identity += uint64(from)
	}
	return list
}

// TestPlacementByWork guards against flows to backend servers that only other instances
// know to be busy, and against spillover to zones that must not get any.
func TestPlacementByWork(t *testing.T) {
	load := func(id catkinrail.Token, pending int) message.ServerLoad {
		return message.ServerLoad{Server: message.NewServerKey(id, 100), Pending: pending, Flows: pending}
	}
	room := []message.ZoneLoad{{Zone: "b", Service: "logbook", Slots: 24}}
	full := []message.ZoneLoad{{Zone: "b", Service: "logbook", Slots: 24, Pending: 240, Latency: time.Second}}
	tests := []struct {
		name string
		// busy are the backend servers of zone a that others load.
		busy   int
		zones  []message.ZoneLoad
		change func(e *token.Engine)
		age    int64
		// onlyIdle requires that all flows go to the idle servers of the own zone.
		onlyIdle bool
		// away is whether flows go to the other zone.
		away bool
	}{
		{name: "servers that others load get none", busy: 6, zones: room, onlyIdle: true},
		{name: "a crowded zone sends flows away", busy: 12, zones: room, away: true},
		{name: "not if all are full", busy: 12, zones: full},
		{name: "not without news of the other", busy: 4},
		{name: "not to an evacuated zone", busy: 12, zones: room, change: func(e *token.Engine) {
			e.SetEvacuations(&catkinrail.Evacuations{Revision: 1, Zones: []catkinrail.Zone{"b"}})
		}},
		{name: "an evacuated zone sends all away", zones: room, away: true, change: func(e *token.Engine) {
			e.SetEvacuations(&catkinrail.Evacuations{Revision: 1, Zones: []catkinrail.Zone{"a"}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(inZones(12, "a", "b")...)
			e.SetDocument(byWork())
			if tt.change != nil {
				tt.change(e)
			}
			zones := map[catkinrail.Zone]int{}
			port := uint16(0)
			for now := int64(0); now < 3000*ms; now += 250 * ms {
				e.RecordContact(now)
				var others []message.ServerLoad
				for i := range tt.busy {
					others = append(others, load(catkinrail.Token(i+1), 12))
				}
				shareLoads(t, e, others, tt.zones, now)
				for range 2 {
					port++
					b := e.Decide(opening(port, 0), now+10*ms).Backend
					require.NotNil(t, b)
					zones[b.Zone]++
					if tt.onlyIdle {
						require.Greater(t, b.Identity, uint64(tt.busy))
						require.Equal(t, catkinrail.Zone("a"), b.Zone)
					}
					e.Decide(data(port, b.Token(), uint32(port)+1, 100, 0), now+12*ms)
					e.Decide(data(port, b.Token(), uint32(port)+1, 100, 90), now+12*ms)
					e.Decide(data(port, b.Token(), uint32(port)+91, 1100, 0), now+42*ms)
				}
			}
			require.Equal(t, tt.away, zones["b"] > 0, "%v", zones)
		})
	}
}

// BenchmarkPlacement measures the placement of a flow by expected work.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{40, 400, 4800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := newEngine(inZones(n, "a")...)
			e.SetDocument(byWork())
			shareLoads(b, e, nil, nil, 0)
			p := opening(1, 0)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p.Seq = uint32(i)
				e.Decide(p, ms)
			}
		})
	}
}

// Placed implements token.Observer.
func (*answers) Placed(token.ChoiceKind, catkinrail.Zone) {}
