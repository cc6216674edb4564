package follow

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/entry/packet"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

func newClient(zone catkinrail.Zone, seeds ...string) (*Client, *packet.Router) {
	clk := clock.New()
	r := packet.NewRouter(token.New(zone, 1), clk)
	return New("entry-1", zone, seeds, nil, clk, r, logs.Discard()), r
}

func TestChoose(t *testing.T) {
	peers := []quorum.Peer{{Addr: "a:1", Zone: "a"}, {Addr: "b:1", Zone: "b"}}
	tests := []struct {
		name     string
		zone     catkinrail.Zone
		peers    []quorum.Peer
		avoidOwn bool
		own      bool
		among    []string
	}{
		{"before any is known", "a", nil, false, false, []string{"s:1", "s:2"}},
		{"own zone first", "a", peers, false, true, []string{"a:1"}},
		{"anyone but the own zone's", "a", peers, true, false, []string{"b:1", "s:1", "s:2"}},
		{"no instance in the own zone", "c", peers, false, false, []string{"a:1", "b:1", "s:1", "s:2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, _ := newClient(tt.zone, "s:1", "s:2")
			c.setPeers(tt.peers)
			seen := map[string]bool{}
			for range 20 {
				addr, own := c.choose(tt.avoidOwn)
				require.Equal(t, tt.own, own)
				require.Contains(t, tt.among, addr)
				seen[addr] = true
			}
			require.Len(t, seen, len(tt.among), "each of them is tried")
		})
	}
}

// manual is a clock that tests set.
type manual struct{ now time.Time }

func (m *manual) Now() time.Time { return m.now }

// TestStaysAwayFromAnOwnZoneThatFailed: an instance that stands still must not be
// asked again each second, with no news meanwhile.
func TestStaysAwayFromAnOwnZoneThatFailed(t *testing.T) {
	clk := &manual{now: time.Unix(1000, 0)}
	c, _ := newClient("a", "s:1")
	c.clock = clk
	c.setPeers([]quorum.Peer{{Addr: "a:1", Zone: "a"}, {Addr: "b:1", Zone: "b"}})
	require.True(t, c.better("b:1"), "not tried yet")
	require.False(t, c.better("a:1"))
	c.leftOwn()
	tests := []struct {
		after time.Duration
		want  bool
	}{{0, false}, {time.Second, false}, {returnAfter, false}, {returnAfter + 1, true}}
	for _, tt := range tests {
		clk.now = time.Unix(1000, 0).Add(tt.after)
		require.Equal(t, tt.want, c.better("b:1"), tt.after)
	}
}

// TestPatience bounds the time with a control instance that is out of touch. Three
// in a row that never were, after one that was, must leave room in the bound of 3 s
// on a change.
func TestPatience(t *testing.T) {
	tests := []struct {
		name           string
		ready, touched bool
		after          time.Duration
		leaves         bool
	}{
		{"an election", true, true, time.Second, false},
		{"out of touch for long", true, true, staleAfter + time.Millisecond, true},
		{"never in touch", true, false, staleFirst + time.Millisecond, true},
		{"never in touch, just now", true, false, staleFirst - time.Millisecond, false},
		{"before the first document", false, true, staleFirst + time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := &manual{now: time.Unix(1000, 0)}
			c, _ := newClient("a", "s:1")
			c.clock = clk
			c.synced.Store(tt.ready)
			s := &session{client: c, addr: "s:1", current: clk.now, touched: tt.touched}
			clk.now = clk.now.Add(tt.after)
			require.Equal(t, tt.leaves, s.leave())
		})
	}
	// A stream that was in touch is left at a sign of life, the others by time.
	const keepAlive = 400 * time.Millisecond
	require.Less(t, staleAfter+keepAlive+3*(staleFirst+maxBackoff), 3*time.Second)
}

// TestPatienceGrows replays a cut-off zone, in which the only control instance that
// is reached is never in touch: each stream takes the whole time that it's given.
func TestPatienceGrows(t *testing.T) {
	c, _ := newClient("a", "s:1")
	c.setPeers([]quorum.Peer{{Addr: "a:1", Zone: "a"}})
	cut := &session{client: c, updates: 1}
	streams := 0
	for began := time.Duration(0); began < 30*time.Second; began += c.staleFirst() {
		c.ended(cut)
		streams++
	}
	require.LessOrEqual(t, streams, 30, "150 with a patience that stays")
	require.Equal(t, maxStaleFirst, c.staleFirst())
	c.ended(&session{client: c})
	require.Equal(t, maxStaleFirst, c.staleFirst(), "one that was not reached tells nothing")
	c.ended(&session{client: c, updates: 1, touched: true})
	require.Equal(t, staleFirst, c.staleFirst())
}

// TestPatienceOnASlowLink replays an entry instance whose own link is slow: once none
// of the control instances was heard in time, each gets more.
func TestPatienceOnASlowLink(t *testing.T) {
	c, _ := newClient("a", "s:1", "s:2")
	c.synced.Store(true)
	for range 2 {
		s := &session{client: c}
		require.Equal(t, helloAfter, s.patience())
		c.ended(s)
	}
	require.Equal(t, silentAfter, (&session{client: c}).patience())
	c.ended(&session{client: c, heard: true})
	require.Equal(t, helloAfter, (&session{client: c}).patience())
}

// TestResume goes on where the last stream ended, if it came from the same address.
func TestResume(t *testing.T) {
	point := message.ResumePoint{Process: 9, Revision: 12}
	state := &message.FollowUpdate{State: true, Resume: point}
	some := &message.FollowUpdate{Backends: make([]message.FollowedBackend, 1)}
	type update struct {
		addr string
		u    *message.FollowUpdate
	}
	tests := []struct {
		name    string
		updates []update
		want    message.ResumePoint
	}{
		{"nothing told", nil, message.ResumePoint{}},
		{"another address", []update{{"b:1", state}}, message.ResumePoint{}},
		{"told", []update{{"a:1", state}}, point},
		{"more was told, but not up to which point", []update{{"a:1", state}, {"a:1", &message.FollowUpdate{}}}, point},
		{"another one told something since", []update{{"a:1", state}, {"b:1", some}}, message.ResumePoint{}},
		{"another one said that it is there", []update{{"a:1", state}, {"b:1", &message.FollowUpdate{}}}, point},
		{"and this one began anew", []update{{"a:1", state}, {"b:1", state}, {"a:1", some}}, message.ResumePoint{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, _ := newClient("a", "s:1")
			for _, u := range tt.updates {
				c.told(u.addr, u.u)
			}
			require.Equal(t, tt.want, c.resumeAt("a:1"))
		})
	}
}

func TestSilencePatience(t *testing.T) {
	tests := []struct {
		name                  string
		ready, heard, touched bool
		updates               int
		want                  time.Duration
	}{
		{"in touch", true, true, true, 1, silentAfter},
		{"never in touch", true, true, false, 1, staleFirst},
		{"nothing said yet", true, false, false, 0, helloAfter},
		{"the first update is under way", true, true, false, 0, silentAfter},
		{"before the first document", false, true, true, 1, silentAfter},
		{"before the first document, never in touch", false, true, false, 1, silentAfter},
		{"before the first document, nothing said yet", false, false, false, 0, silentAfter},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, _ := newClient("a", "s:1")
			c.synced.Store(tt.ready)
			require.Equal(t, tt.want, (&session{client: c, heard: tt.heard, touched: tt.touched, updates: tt.updates}).patience())
		})
	}
	// An instance that has stood still for as long as one is given, and then finds
	// two that say nothing, must leave room in the bound of 3 s on a drain.
	require.LessOrEqual(t, silentAfter+2*(helloAfter+maxBackoff), 3*time.Second)
}

// standIn is a control instance that sends prepared updates and then waits.
type standIn struct {
	control.DRPCControlUnimplementedServer
	updates []*message.FollowUpdate

	mu    sync.Mutex
	calls int
}

// Follow implements control.DRPCControlServer.
func (s *standIn) Follow(_ *control.Frame, stream control.DRPCControl_FollowStream) error {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for _, u := range s.updates {
		body, err := cluster.EncodeCompressed(u)
		if err != nil {
			return err
		}
		if err := stream.Send(&control.Frame{Body: body}); err != nil {
			return err
		}
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}

func (s *standIn) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// serve runs a stand-in on loopback and returns its address.
func serve(t *testing.T, s *standIn) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, control.DRPCRegisterControl(mux, s))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return rpc.Serve(ctx, l, mux) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return l.Addr().String()
}

func follow(t *testing.T, c *Client, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return c.Run(ctx) })
	require.Eventually(t, done, time.Minute, time.Millisecond)
	cancel()
	require.NoError(t, g.Wait())
}

func document(version uint64) *catkinrail.Document {
	return &catkinrail.Document{Version: version, Services: []string{"logbook"}, Routes: []catkinrail.Route{{
		Name: "r", Listen: netip.MustParseAddrPort("198.18.0.1:443"), Kind: catkinrail.KindSafe, Timeout: time.Second,
		Targets: []catkinrail.Target{{Service: "logbook", Weight: 1}},
	}}}
}

func version(r *packet.Router) uint64 {
	var v uint64
	r.Do(func(e *token.Engine, _ int64) { v = e.Version() })
	return v
}

func TestReadyOnceControlIsCurrent(t *testing.T) {
	s := &standIn{updates: []*message.FollowUpdate{{Document: document(5), State: true, Current: true, Complete: true}}}
	c, r := newClient("a", serve(t, s))
	require.False(t, c.Ready())
	follow(t, c, c.Ready)
	require.Equal(t, uint64(5), version(r))
}

// TestNotReadyOnAnIncompleteDirectory follows an instance whose disk was lost: it
// knows the document before it knows the backend servers, and an entry instance
// that took its word would refuse flows.
func TestNotReadyOnAnIncompleteDirectory(t *testing.T) {
	s := &standIn{updates: []*message.FollowUpdate{
		{Document: document(5), Current: true}, {Current: true}, {State: true, Current: true, Complete: true},
	}}
	c, r := newClient("a", serve(t, s))
	x := &session{client: c, addr: "control-1"}
	for i, u := range s.updates {
		require.False(t, c.Ready(), i)
		r.Do(func(e *token.Engine, now int64) { require.Greater(t, e.Age(now), time.Hour, "nothing may be refused") })
		x.take(u)
	}
	require.True(t, c.Ready())
	r.Do(func(e *token.Engine, now int64) { require.Less(t, e.Age(now), time.Hour) })
	require.Equal(t, uint64(5), version(r))
}

// TestLeavesAnInstanceThatIsNotCurrent has one that is out of touch with its
// leader and one that has the document.
func TestLeavesAnInstanceThatIsNotCurrent(t *testing.T) {
	old := &standIn{updates: []*message.FollowUpdate{{State: true}, {State: true}}}
	current := &standIn{updates: []*message.FollowUpdate{{Document: document(5), State: true, Current: true, Complete: true}}}
	c, r := newClient("a", serve(t, old), serve(t, current))
	follow(t, c, c.Ready)
	require.Equal(t, uint64(5), version(r))
}

func TestMovesToItsOwnZone(t *testing.T) {
	own := &standIn{updates: []*message.FollowUpdate{{Document: document(6), State: true, Current: true, Complete: true}}}
	ownAddr := serve(t, own)
	other := &standIn{updates: []*message.FollowUpdate{{
		Document: document(5), State: true, Current: true, Complete: true, Peers: []quorum.Peer{{Addr: ownAddr, Zone: "a"}},
	}}}
	c, r := newClient("a", serve(t, other))
	follow(t, c, func() bool { return version(r) == 6 })
	require.Equal(t, 1, other.count())
}

func TestSurvivesInstancesThatAreGone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := l.Addr().String()
	require.NoError(t, l.Close())
	s := &standIn{updates: []*message.FollowUpdate{{Document: document(5), State: true, Current: true, Complete: true}}}
	c, _ := newClient("a", gone, serve(t, s), gone)
	follow(t, c, c.Ready)
}

// TestUpdateFitsAThinLink bounds the document of 400 routes, which must reach an
// entry instance over 1.4 Mbit/s in well under the second after which it gives
// up on a silent control instance: 350 ms at the most.
func TestUpdateFitsAThinLink(t *testing.T) {
	d := document(1)
	for i := range 400 {
		r := d.Routes[0]
		r.Name = "r-" + netip.AddrFrom4([4]byte{1, 2, byte(i >> 8), byte(i)}).String()
		r.Listen = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		d.Routes = append(d.Routes, r)
	}
	body, err := cluster.EncodeCompressed(&message.FollowUpdate{Document: d})
	require.NoError(t, err)
	const bound = 1_400_000 / 8 * 350 / 1000
	require.Less(t, len(body), bound)
	var u message.FollowUpdate
	require.NoError(t, cluster.DecodeCompressed(body, &u))
	require.Equal(t, d, u.Document)
}
