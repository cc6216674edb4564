package token_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/token"
)

const ms = int64(time.Millisecond)

var listen = netip.MustParseAddrPort("198.18.0.1:443")

func document(version uint64, targets ...catkinrail.Target) *catkinrail.Document {
	if len(targets) == 0 {
		targets = []catkinrail.Target{{Service: "logbook", Weight: 1}}
	}
	return &catkinrail.Document{
		Version: version, Services: []string{"logbook", "drawvault"},
		Routes: []catkinrail.Route{{Name: "r", Listen: listen, Kind: catkinrail.KindSafe, Timeout: time.Second, Targets: targets}},
	}
}

func backend(name string, identity uint64) token.FollowedBackend {
	return token.FollowedBackend{Incarnation: catkinrail.Incarnation{
		Name: name, Identity: identity, StartedAt: 100, Sequence: 1, Service: "logbook", Zone: "a", Slots: 2,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(identity)}), 80),
	}}
}

// newEngine returns an engine with a document and the named backend servers.
func newEngine(list ...token.FollowedBackend) *token.Engine {
	e := token.New("a", 1)
	e.SetDocument(document(1))
	e.Update(list, 0)
	e.RecordContact(0)
	return e
}

func opening(port uint16, n uint32) *catkinrail.TokenPacket {
	return &catkinrail.TokenPacket{Flow: flow(port), Opening: true, Copy: n, Seq: uint32(port)}
}

func flow(port uint16) catkinrail.FlowKey {
	return catkinrail.FlowKey{
		Src: netip.MustParseAddr("100.64.0.7").As16(), SrcPort: port,
		Dst: listen.Addr().As16(), DstPort: listen.Port(), Proto: catkinrail.ProtoTCP,
	}
}

func data(port uint16, t catkinrail.Token, seq, ack uint32, n int) *catkinrail.TokenPacket {
	return &catkinrail.TokenPacket{Flow: flow(port), Token: t, Seq: seq, Ack: ack, Payload: n}
}

func TestOpeningPackets(t *testing.T) {
	gone := backend("b", 2)
	gone.Gone = true
	leaving := backend("c", 3)
	leaving.Draining = true
	tests := []struct {
		name   string
		engine func() *token.Engine
		p      *catkinrail.TokenPacket
		at     int64
		action token.Action
		reason token.Reason
	}{
		{
			"before the first document", func() *token.Engine { return token.New("a", 1) }, opening(1, 0), 0,
			token.Drop, token.ReasonNoDocument,
		},
		{"a route", func() *token.Engine { return newEngine(backend("a", 1)) }, opening(1, 0), 0, token.Forward, token.ReasonPlaced},
		{
			"no route is refused at once", func() *token.Engine { return newEngine(backend("a", 1)) },
			&catkinrail.TokenPacket{Opening: true}, 0, token.Refuse, token.ReasonNoRoute,
		},
		{
			"no route in a document that may be old", func() *token.Engine { return newEngine(backend("a", 1)) },
			&catkinrail.TokenPacket{Opening: true}, 2000 * ms, token.Drop, token.ReasonStale,
		},
		{"no backend server is refused at once", func() *token.Engine { return newEngine(gone, leaving) }, opening(1, 0), 0, token.Refuse, token.ReasonNoBackend},
		{
			"no backend server in a directory that may be old", func() *token.Engine { return newEngine(leaving) }, opening(1, 0), 2000 * ms,
			token.Drop, token.ReasonStale,
		},
		{
			"no backend server before the first contact with control", func() *token.Engine {
				e := token.New("a", 1)
				e.SetDocument(document(1))
				return e
			}, opening(1, 0), int64(time.Hour), token.Drop, token.ReasonStale,
		},
		{
			"a copy is not refused: the first may have been forwarded", func() *token.Engine { return newEngine(leaving) },
			opening(1, 1), 0, token.Drop, token.ReasonNoBackend,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := tt.engine().Decide(tt.p, tt.at)
			require.Equal(t, tt.action, v.Action)
			require.Equal(t, tt.reason, v.Reason)
		})
	}
}

func TestCopiesOfAnOpeningPacket(t *testing.T) {
	tests := []struct {
		name string
		// gap is the time between the first packet and its copy.
		gap      int64
		answered bool
		same     bool
	}{
		{"queued here together go to one backend server", 5 * ms, false, true},
		{"retransmitted by the caller go to the next one", 200 * ms, false, false},
		{"of an open flow stay with it", 200 * ms, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(backend("a", 1), backend("b", 2))
			first := e.Decide(opening(1, 0), 0).Backend
			if tt.answered {
				e.Decide(data(1, first.Token(), 2, 100, 0), 10*ms)
			}
			second := e.Decide(opening(1, 1), tt.gap).Backend
			require.Equal(t, tt.same, first == second)
		})
	}
}

// TestCopiesFollowTheDocument guards against a copy of an opening packet that is forwarded as an older document
// allows: the first one was left unanswered, and the document has changed since.
func TestCopiesFollowTheDocument(t *testing.T) {
	other := backend("b", 2)
	other.Service = "drawvault"
	dropped := &catkinrail.Document{Version: 2, Services: []string{"logbook", "drawvault"}}
	moved := document(2, catkinrail.Target{Service: "drawvault", Weight: 1})
	weightless := document(2, catkinrail.Target{Service: "logbook"}, catkinrail.Target{Service: "drawvault", Weight: 1})
	reduced := document(2, catkinrail.Target{Service: "logbook", Weight: 1}, catkinrail.Target{Service: "drawvault", Weight: 99})
	tests := []struct {
		name      string
		documents []*catkinrail.Document
		open      bool
		action    token.Action
		reason    token.Reason
		backend   string
	}{
		{"route dropped", []*catkinrail.Document{dropped}, false, token.Drop, token.ReasonNoRoute, ""},
		{"route moved", []*catkinrail.Document{moved}, false, token.Forward, token.ReasonPlaced, "b"},
		{"weight zero", []*catkinrail.Document{weightless}, false, token.Forward, token.ReasonPlaced, "b"},
		{"lower weight", []*catkinrail.Document{reduced}, false, token.Forward, token.ReasonCopy, "a"},
		{"same route", []*catkinrail.Document{document(2)}, false, token.Forward, token.ReasonCopy, "a"},
		{"route dropped and back", []*catkinrail.Document{dropped, document(3)}, false, token.Forward, token.ReasonCopy, "a"},
		{"route of an open flow dropped", []*catkinrail.Document{dropped}, true, token.Drop, token.ReasonNoRoute, ""},
		{"route of an open flow moved", []*catkinrail.Document{moved}, true, token.Drop, token.ReasonNoRoute, ""},
		{"same route of an open flow", []*catkinrail.Document{document(2)}, true, token.Forward, token.ReasonCopy, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(backend("a", 1), other)
			first := e.Decide(opening(1, 0), 0)
			require.Equal(t, "a", first.Backend.Name)
			if tt.open {
				e.Decide(data(1, first.Backend.Token(), 2, 1, 0), 10*ms)
			}
			for _, d := range tt.documents {
				require.True(t, e.SetDocument(d))
			}
			v := e.Decide(opening(1, 1), 200*ms)
			require.Equal(t, tt.action, v.Action)
			require.Equal(t, tt.reason, v.Reason)
			if tt.backend != "" {
				require.Equal(t, tt.backend, v.Backend.Name)
			}
			if !tt.open {
				return
			}
			v = e.Decide(data(1, first.Backend.Token(), 3, 1, 10), 210*ms)
			require.Equal(t, token.Forward, v.Action, "the flow stays where it is")
		})
	}
}

func TestUnresponsiveBackendIsAvoided(t *testing.T) {
	e := newEngine(backend("a", 1), backend("b", 2))
	first := e.Decide(opening(1, 0), 0).Backend
	e.Decide(opening(1, 1), 200*ms)
	for port := range uint16(20) {
		require.NotEqual(t, first, e.Decide(opening(100+port, 0), 210*ms).Backend)
	}
	// A late answer shows that the backend server runs.
	e.Decide(data(1, first.Token(), 2, 100, 0), 220*ms)
	used := false
	for port := range uint16(60) {
		used = used || e.Decide(opening(200+port, 0), 230*ms).Backend == first
	}
	require.True(t, used)
}

func TestTokens(t *testing.T) {
	e := newEngine(backend("a", 1), backend("b", 2))
	require.Equal(t, "b", e.Decide(data(9, 2, 1, 1, 10), 5*ms).Backend.Name, "a flow that another instance opened")
	require.Equal(t, token.ReasonUnknownToken, e.Decide(data(9, 77, 1, 1, 10), 0).Reason)

	// A draining backend server keeps its flows, one that has ended doesn't.
	b := backend("b", 2)
	b.Sequence, b.Draining = 2, true
	e.Update([]token.FollowedBackend{b}, 0)
	require.Equal(t, token.Forward, e.Decide(data(9, 2, 1, 1, 10), 0).Action)
	b.Gone = true
	e.Update([]token.FollowedBackend{b}, 1000*ms)
	require.Equal(t, token.Forward, e.Decide(data(9, 2, 1, 1, 10), 1500*ms).Action, "it may still send its last packets")
	require.Equal(t, token.Refuse, e.Decide(data(9, 2, 1, 1, 10), 4000*ms).Action)
	abort := data(9, 2, 1, 1, 0)
	abort.Reset = true
	require.Equal(t, token.Drop, e.Decide(abort, 4000*ms).Action, "an abort is not answered")
}

// TestAnnouncedEndIsNoEnd guards against resets of flows whose backend server has announced its end and lives on: it
// waits for answers to its calls, which are lost. Once it doesn't answer, its flows are refused.
func TestAnnouncedEndIsNoEnd(t *testing.T) {
	type packet struct {
		at     time.Duration
		port   uint16
		seq    uint32
		ack    uint32
		action token.Action
	}
	tests := []struct {
		name    string
		packets []packet
	}{
		{"answers", []packet{
			{5 * time.Second, 9, 11, 1, token.Forward},
			{5020 * time.Millisecond, 9, 21, 9, token.Forward},
			{12 * time.Second, 9, 31, 9, token.Forward},
		}},
		{"has ended", []packet{
			{5 * time.Second, 9, 11, 1, token.Forward},
			{5200 * time.Millisecond, 9, 11, 1, token.Forward},
			{5600 * time.Millisecond, 9, 11, 1, token.Refuse},
			{5700 * time.Millisecond, 8, 11, 1, token.Refuse},
			{5800 * time.Millisecond, 7, 1, 1, token.Refuse},
		}},
		{"answers late", []packet{
			{5 * time.Second, 9, 11, 1, token.Forward},
			{5600 * time.Millisecond, 9, 11, 1, token.Refuse},
			{5700 * time.Millisecond, 9, 21, 9, token.Forward},
			{5800 * time.Millisecond, 8, 11, 1, token.Forward},
		}},
		{"answers another flow", []packet{
			{5 * time.Second, 9, 11, 1, token.Forward},
			{5100 * time.Millisecond, 8, 11, 9, token.Forward},
			{5600 * time.Millisecond, 9, 11, 1, token.Forward},
		}},
		{"an old packet comes again after answers to others", []packet{
			{5 * time.Second, 9, 11, 1, token.Forward},
			{5010 * time.Millisecond, 9, 21, 9, token.Forward},
			{5020 * time.Millisecond, 9, 31, 19, token.Forward},
			{5030 * time.Millisecond, 9, 41, 29, token.Forward},
			{6 * time.Second, 8, 1, 1, token.Forward},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := backend("a", 1)
			e := newEngine(a)
			for _, port := range []uint16{8, 9} {
				e.Decide(data(port, 1, 1, 1, 10), 10*ms)
				e.Decide(data(port, 1, 11, 1, 0), 20*ms)
			}
			a.Gone, a.Left, a.Sequence = true, true, 2
			e.Update([]token.FollowedBackend{a}, 1000*ms)
			for i, p := range tt.packets {
				require.Equal(t, p.action, e.Decide(data(p.port, 1, p.seq, p.ack, 10), int64(p.at)).Action, "packet %d", i)
			}
		})
	}
}

// TestSupersededBackendReturns guards against flows that are refused for good once control has taken
// another incarnation for the holder of the backend server's address, for a while.
func TestSupersededBackendReturns(t *testing.T) {
	a := backend("a", 1)
	e := newEngine(a)
	update := func(superseded bool, sequence uint64, now int64) {
		a.Superseded, a.Sequence = superseded, sequence
		require.Len(t, e.Update([]token.FollowedBackend{a}, now), 1)
		e.RecordContact(now)
	}
	update(true, 1, 1000*ms)
	require.Equal(t, token.Forward, e.Decide(data(9, 1, 1, 1, 10), 5900*ms).Action)
	require.Equal(t, token.ReasonNoBackend, e.Decide(opening(1, 0), 1500*ms).Reason)
	require.Equal(t, token.Refuse, e.Decide(data(9, 1, 1, 1, 10), 6100*ms).Action)
	update(false, 2, 6200*ms)
	require.Equal(t, token.Forward, e.Decide(data(9, 1, 1, 1, 10), 9000*ms).Action)
	require.Equal(t, token.Forward, e.Decide(opening(2, 0), 6300*ms).Action)
	update(true, 2, 9000*ms)
	require.Equal(t, token.Forward, e.Decide(data(9, 1, 1, 1, 10), 13_900*ms).Action, "the grace period begins again")

	// The end by the backend server's own word is final.
	left := a
	left.Gone, left.Left = true, true
	e.Update([]token.FollowedBackend{left}, 14_000*ms)
	a.Superseded, a.Sequence = false, 99
	require.Empty(t, e.Update([]token.FollowedBackend{a}, 15_000*ms))
}

// TestOtherWriterTakesNoToken guards against a report of another writer that gives the same number
// as a backend server's identifier: the backend server's flows would go to another address.
func TestOtherWriterTakesNoToken(t *testing.T) {
	tests := []struct {
		name  string
		other func(*token.FollowedBackend)
	}{
		{"a service that isn't configured", func(b *token.FollowedBackend) { b.Service, b.StartedAt = "odd", 1 }},
		{"no time of start", func(b *token.FollowedBackend) { b.StartedAt = 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			other := backend("other", 1)
			tt.other(&other)
			e := newEngine(other, backend("a", 1))
			require.Equal(t, "a", e.Decide(data(9, 1, 1, 1, 10), 0).Backend.Name)
			for port := range uint16(20) {
				require.Equal(t, "a", e.Decide(opening(port, 0), 0).Backend.Name)
			}
		})
	}
}

func TestOneTokenNamesOneBackend(t *testing.T) {
	// Identities of more than 32 bits that fold to the same token.
	older, younger := backend("a", 0x1_0000_0003), backend("b", 0x2_0000_0000)
	older.Identity, younger.Identity = 0x1_0000_0003, 0x3_0000_0001
	younger.StartedAt = 200
	require.Equal(t, older.Token(), younger.Token())
	e := newEngine(younger, older)
	for port := range uint16(20) {
		require.Equal(t, "a", e.Decide(opening(port, 0), 0).Backend.Name)
	}
	older.Gone = true
	e.Update([]token.FollowedBackend{older}, 0)
	require.Equal(t, "b", e.Decide(opening(99, 0), 0).Backend.Name)
}

func TestOutdatedUpdatesAreIgnored(t *testing.T) {
	e := newEngine(backend("a", 1))
	require.False(t, e.SetDocument(document(1)))
	require.True(t, e.SetDocument(document(3)))
	require.False(t, e.SetDocument(document(2)))
	require.Equal(t, uint64(3), e.Version())

	draining := backend("a", 1)
	draining.Sequence, draining.Draining = 5, true
	require.Len(t, e.Update([]token.FollowedBackend{draining}, 0), 1)
	require.Empty(t, e.Update([]token.FollowedBackend{backend("a", 1)}, 0), "a late report")
	require.Equal(t, token.ReasonNoBackend, e.Decide(opening(1, 0), 0).Reason)

	silent := backend("a", 1)
	silent.Silent = true
	require.Len(t, e.Update([]token.FollowedBackend{silent}, 0), 1, "the sender's observation counts although its report is old")

	restarted := backend("a", 1)
	restarted.StartedAt = 200
	require.Len(t, e.Update([]token.FollowedBackend{restarted}, 0), 1)
	require.Equal(t, token.ReasonPlaced, e.Decide(opening(2, 0), 0).Reason)
	require.Empty(t, e.Update([]token.FollowedBackend{draining}, 0), "the earlier incarnation")
}

func TestSplitRoutes(t *testing.T) {
	other := backend("b", 2)
	other.Service = "drawvault"
	e := newEngine(backend("a", 1), other)
	e.SetDocument(document(2, catkinrail.Target{Service: "logbook", Weight: 90}, catkinrail.Target{Service: "drawvault", Weight: 10}))
	count := map[string]int{}
	for port := range uint16(1000) {
		count[e.Decide(opening(port, 0), 0).Backend.Name]++
	}
	require.InDelta(t, 100, count["b"], 40)
}

// TestOpenFlowReachesItsBackend runs the handshake of a flow through one or two entry
// instances, with packets lost, delayed and retransmitted. Once the flow is open, its
// packets must reach the backend server whose answer the caller has acknowledged.
func TestOpenFlowReachesItsBackend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := []*token.Engine{
			newEngine(backend("a", 1), backend("b", 2), backend("c", 3)),
			newEngine(backend("a", 1), backend("b", 2), backend("c", 3)),
		}
		// The copies up to a random one go through one instance, later ones through the
		// other, as when the fabric changes the route in between.
		change := rapid.IntRange(0, 3).Draw(t, "rotation changes before copy")
		at := []int64{0, 200 * ms, 600 * ms}
		type answer struct {
			b       *token.Backend
			arrives int64
		}
		var answers []answer
		for i, sent := range at {
			if rapid.Bool().Draw(t, "lost on the way in") {
				continue
			}
			e := engines[0]
			if i >= change {
				e = engines[1]
			}
			v := e.Decide(opening(1, uint32(i)), sent)
			require.Equal(t, token.Forward, v.Action)
			if rapid.Bool().Draw(t, "backend server answers") {
				// Longer delays than the time between two copies are network faults,
				// which this test doesn't cover.
				answers = append(answers, answer{v.Backend, sent + rapid.Int64Range(1, 190).Draw(t, "delay")*ms})
			}
		}
		if len(answers) == 0 {
			return
		}
		first := answers[0]
		for _, a := range answers {
			if a.arrives < first.arrives {
				first = a
			}
		}
		// The caller's acknowledgement carries the token of the first answer, the
		// last token that it received before.
		e := engines[rapid.IntRange(0, 1).Draw(t, "instance")]
		v := e.Decide(data(1, first.b.Token(), 2, 100, 0), first.arrives)
		require.Equal(t, token.Forward, v.Action)
		require.Equal(t, first.b.Name, v.Backend.Name)
		// Later packets follow the token, whatever else this instance assumes.
		v = e.Decide(data(1, first.b.Token(), 2, 100, 900), first.arrives+50*ms)
		require.Equal(t, first.b.Name, v.Backend.Name)
	})
}

// TestLoadIsEven replays requests on many flows and checks that each backend server
// gets about the same number.
func TestLoadIsEven(t *testing.T) {
	e := newEngine(backend("a", 1), backend("b", 2), backend("c", 3), backend("d", 4))
	count := map[string]int{}
	tokens := map[uint16]catkinrail.Token{}
	now := int64(0)
	for port := range uint16(400) {
		b := e.Decide(opening(port, 0), now).Backend
		count[b.Name]++
		tokens[port] = b.Token()
		e.Decide(data(port, b.Token(), 10, 100, 0), now+ms)
		e.Decide(data(port, b.Token(), 10, 100, 90), now+ms)
		if port >= 8 {
			e.Decide(data(port-8, tokens[port-8], 100, 1100, 0), now+ms)
		}
		now += 3 * ms
	}
	for _, n := range count {
		require.InDelta(t, 100, n, 10)
	}
}

func TestFlowsExpire(t *testing.T) {
	e := newEngine(backend("a", 1))
	b := e.Decide(opening(1, 0), 0).Backend
	e.Decide(data(1, b.Token(), 2, 100, 10), ms)
	require.Equal(t, 1, e.Flows())
	e.Tick(10_000 * ms)
	require.Equal(t, 1, e.Flows())
	e.Tick(30_000 * ms)
	require.Zero(t, e.Flows())
	end := data(2, b.Token(), 2, 100, 0)
	e.Decide(opening(2, 0), 0)
	end.Closing = true
	e.Decide(end, ms)
	require.Zero(t, e.Flows())
}

// TestOverload checks that an overloaded instance refuses new flows, and only those
// that certainly are new.
func TestOverload(t *testing.T) {
	e := newEngine(backend("a", 1))
	before := e.Decide(opening(1, 0), 0)
	require.True(t, e.SetOverloaded(true))
	require.False(t, e.SetOverloaded(true))
	tests := []struct {
		name   string
		p      *catkinrail.TokenPacket
		action token.Action
		reason token.Reason
	}{
		{"a new flow", opening(2, 0), token.Refuse, token.ReasonOverload},
		{"a copy whose first another instance may have forwarded", opening(3, 1), token.Drop, token.ReasonOverload},
		{"a copy of a packet that was forwarded here", opening(1, 1), token.Forward, token.ReasonCopy},
		{"an open flow", data(1, before.Backend.Token(), 2, 100, 10), token.Forward, token.ReasonToken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := e.Decide(tt.p, ms)
			require.Equal(t, tt.action, v.Action)
			require.Equal(t, tt.reason, v.Reason)
		})
	}
	require.True(t, e.SetOverloaded(false))
	require.Equal(t, token.ReasonPlaced, e.Decide(opening(2, 0), ms).Reason)
}

// TestEndedIncarnationsExpire checks that ended and silent incarnations are removed
// after catkinrail.EndedRetention, so that releases over a year don't fill the memory.
func TestEndedIncarnationsExpire(t *testing.T) {
	keep := int64(catkinrail.EndedRetention)
	e := newEngine(backend("a", 1), backend("b", 2), backend("c", 3))
	gone, silent := backend("b", 2), backend("c", 3)
	gone.Gone, silent.Silent = true, true
	e.Update([]token.FollowedBackend{gone, silent}, 0)
	e.Tick(keep)
	require.Len(t, e.Backends(), 3)
	e.Tick(keep + 1)
	require.Len(t, e.Backends(), 1)
	require.Equal(t, token.ReasonUnknownToken, e.Decide(data(1, gone.Token(), 2, 1, 1), keep+1).Reason)
	silent.Silent, silent.Sequence = false, 9
	require.Len(t, e.Update([]token.FollowedBackend{silent}, keep+2), 1, "it reports again")
	require.Equal(t, token.ReasonToken, e.Decide(data(2, silent.Token(), 2, 1, 1), keep+2).Reason)
}

// TestLateReportDoesNotProlongWarmup covers an update from a control instance that
// lags behind the one that was followed before.
func TestLateReportDoesNotProlongWarmup(t *testing.T) {
	cold, warm := backend("a", 1), backend("b", 2)
	cold.Warmup, cold.Sequence = time.Second, 5
	e := newEngine(cold, warm)
	cold.Sequence = 4
	e.Update([]token.FollowedBackend{cold}, 900*ms)
	placed := map[string]int{}
	for port := range uint16(20) {
		placed[e.Decide(opening(port, 0), 1500*ms).Backend.Name]++
	}
	require.Equal(t, map[string]int{"a": 10, "b": 10}, placed)
}

// TestBackendThatResetsAttractsNoFlows replays callers that retry at once when a
// backend server resets their flow. That backend server never has open flows or
// pending requests, and must not be taken for the least loaded one.
func TestBackendThatResetsAttractsNoFlows(t *testing.T) {
	e := newEngine(backend("a", 1), backend("b", 2), backend("c", 3), backend("d", 4))
	answer := func(port uint16, b *token.Backend, now int64) {
		e.Decide(data(port, b.Token(), uint32(port)+1, 100, 0), now+5*ms)
		e.Decide(data(port, b.Token(), uint32(port)+1, 100, 90), now+5*ms)
		e.Decide(data(port, b.Token(), uint32(port)+91, 1100, 0), now+30*ms)
	}
	now, lost, port := int64(0), 0, uint16(0)
	for ; now < 100*ms; now += 3 * ms {
		port++
		answer(port, e.Decide(opening(port, 0), now).Backend, now)
	}
	for end := now + 1000*ms; now < end; now += 3 * ms {
		port++
		b := e.Decide(opening(port, 0), now).Backend
		if b.Name == "a" {
			lost++
			continue
		}
		answer(port, b, now)
	}
	// One until its handshake counts as unanswered, as the other backend servers
	// complete theirs in 5 ms, and few more.
	require.LessOrEqual(t, lost, 4)
}
