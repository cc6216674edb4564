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
	r := packet.NewRouter(token.New(zone, 1), clk, clk)
	return New("entry-1", zone, seeds, nil, clk, r, logs.Discard()), r
}

func TestChooseAddrs(t *testing.T) {
	peers := []quorum.Peer{{Addr: "a:1", Zone: "a"}, {Addr: "b:1", Zone: "b"}}
	tests := []struct {
		name     string
		zone     catkinrail.Zone
		peers    []quorum.Peer
		avoidOwn bool
		own      bool
		among    []string
	}{
		{"only seeds known", "a", nil, false, false, []string{"s:1", "s:2"}},
		{"own zone first", "a", peers, false, true, []string{"a:1"}},
		{"own zone avoided", "a", peers, true, false, []string{"b:1", "s:1", "s:2"}},
		{"no control instance in own zone", "c", peers, false, false, []string{"a:1", "b:1", "s:1", "s:2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, _ := newClient(tt.zone, "s:1", "s:2")
			c.setPeers(tt.peers)
			c.synced.Store(true)
			seen := map[string]bool{}
			for range 20 {
				list := c.chooseAddrs(tt.avoidOwn)
				require.Len(t, list, 1)
				require.Equal(t, tt.own, c.inOwnZone(list[0]))
				require.Contains(t, tt.among, list[0])
				seen[list[0]] = true
			}
			require.Len(t, seen, len(tt.among), "each address is tried")
			c.synced.Store(false)
			first := map[string]bool{}
			for range 20 {
				list := c.chooseAddrs(tt.avoidOwn)
				require.Subset(t, list, tt.among, "before readiness all are tried at once")
				require.Equal(t, tt.own, c.inOwnZone(list[0]))
				first[list[0]] = true
			}
			require.Len(t, first, len(tt.among), "each is tried first")
		})
	}
}

// TestFollowsLender guards against following a control instance of the own zone that lends no flows,
// beside the one that does.
func TestFollowsLender(t *testing.T) {
	peers := []quorum.Peer{{Name: "a-1", Addr: "a:1", Zone: "a"}, {Name: "a-2", Addr: "a:2", Zone: "a"}, {Name: "a-3", Addr: "a:3", Zone: "a"}}
	tests := []struct {
		passive []string
		want    string
	}{{nil, "a:1"}, {[]string{"a:1"}, "a:2"}, {[]string{"a:1", "a:2", "a:3"}, "a:1"}}
	for _, tt := range tests {
		c, _ := newClient("a", "s:1")
		(&session{client: c}).apply(&message.FollowUpdate{State: true, Current: true, Peers: peers, Passive: tt.passive})
		require.Equal(t, tt.want, c.ownZoneAddr(), tt.passive)
	}
}

// TestSkipsUnreadableBackends guards against an update of an earlier build of which one unreadable name ends the stream.
func TestSkipsUnreadableBackends(t *testing.T) {
	c, r := newClient("a", "s:1")
	s := &session{client: c}
	list := []message.FollowedBackend{
		{Incarnation: catkinrail.Incarnation{Name: "t\xe9-1", Identity: 1, Service: "logbook", Addr: netip.MustParseAddrPort("10.0.0.1:80")}},
		{Incarnation: catkinrail.Incarnation{Name: "s-2", Identity: 2, Service: "logbook", Addr: netip.MustParseAddrPort("10.0.0.2:80")}},
	}
	body, err := cluster.EncodeCompressed(&message.FollowUpdate{Backends: list})
	require.NoError(t, err)
	u, err := s.decode(body)
	require.NoError(t, err)
	s.apply(u)
	r.Do(func(e *token.Engine, _ int64) { require.Equal(t, 1, e.NumBackends()) })
}

// TestTriesSeedsLast guards against an entry instance that has no updates for longer than a drain may
// take, since it tries seeds that have gone before the members.
func TestTriesSeedsLast(t *testing.T) {
	peers := []quorum.Peer{{Addr: "a:5", Zone: "a"}, {Addr: "b:5", Zone: "b"}, {Addr: "c:5", Zone: "c"}, {Addr: "d:5", Zone: "d"}}
	first := map[string]bool{}
	for range 100 {
		c, _ := newClient("e", "s:1", "s:2", "s:3")
		c.setPeers(peers)
		c.synced.Store(true)
		c.recordEnd(&session{client: c, addr: "b:5", received: true, stateUpdates: 1, hadContact: true})
		var list []string
		for range 7 {
			list = append(list, c.chooseAddrs(false)...)
		}
		require.ElementsMatch(t, []string{"a:5", "c:5", "d:5"}, list[:3])
		require.Equal(t, []string{"b:5", "s:1", "s:2", "s:3"}, list[3:])
		first[list[0]] = true
	}
	require.Len(t, first, 3, "entry instances spread over the others")
}

// manualClock is a clock whose time the tests set.
type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

// TestDelaysReturnToOwnZone guards against retrying a stalled control instance of
// the own zone every second, with no updates in the meantime.
func TestDelaysReturnToOwnZone(t *testing.T) {
	clk := &manualClock{now: time.Unix(1000, 0)}
	c, _ := newClient("a", "s:1")
	c.clock = clk
	c.setPeers([]quorum.Peer{{Addr: "a:1", Zone: "a"}, {Addr: "b:1", Zone: "b"}})
	require.False(t, c.shouldReturn("b:1"), "not ready yet")
	c.synced.Store(true)
	require.True(t, c.shouldReturn("b:1"), "no stream from this zone yet")
	require.False(t, c.shouldReturn("a:1"))
	c.delayReturn(returnDelay)
	tests := []struct {
		after time.Duration
		want  bool
	}{{0, false}, {time.Second, false}, {returnDelay, false}, {returnDelay + 1, true}}
	for _, tt := range tests {
		clk.now = time.Unix(1000, 0).Add(tt.after)
		require.Equal(t, tt.want, c.shouldReturn("b:1"), tt.after)
	}
}

// TestReturnsLessOftenToGoneInstance guards against giving up a working stream every 5 s for a
// control instance of the own zone that has gone and is still a member.
func TestReturnsLessOftenToGoneInstance(t *testing.T) {
	clk := &manualClock{now: time.Unix(1000, 0)}
	c, _ := newClient("a", "s:1")
	c.clock = clk
	c.synced.Store(true)
	gone := []quorum.Peer{{Name: "a-1", Addr: "a:1", Zone: "a"}, {Addr: "b:1", Zone: "b"}}
	next := []quorum.Peer{{Name: "a-5", Addr: "a:5", Zone: "a"}, {Addr: "b:1", Zone: "b"}}
	tests := []struct {
		name     string
		peers    []quorum.Peer
		received bool
		want     time.Duration
	}{
		{"first failure", gone, false, returnDelay},
		{"second failure", gone, false, 2 * returnDelay},
		{"third failure", gone, false, 4 * returnDelay},
		{"further failure", gone, false, maxReturnDelay},
		{"it is back", gone, true, returnDelay},
		{"lost again", gone, false, returnDelay},
		{"lost for longer", gone, false, 2 * returnDelay},
		{"its successor", next, false, returnDelay},
	}
	for _, tt := range tests {
		c.setPeers(tt.peers)
		require.True(t, c.recordOwnEnd(&session{addrs: []string{c.ownZoneAddr()}, received: tt.received}), tt.name)
		require.False(t, c.recordOwnEnd(&session{addrs: []string{"b:1"}, received: true}), tt.name)
		after := time.Duration(0)
		for ; !c.shouldReturn("b:1"); after += time.Second {
			clk.now = clk.now.Add(time.Second)
		}
		require.Equal(t, tt.want+time.Second, after, tt.name)
	}
}

// TestKeepsPeersOfStaleInstance guards against an entry instance that can reach nobody any more
// because a control instance that was removed told it the members of the past.
func TestKeepsPeersOfStaleInstance(t *testing.T) {
	past := []quorum.Peer{{Addr: "a:1", Zone: "a"}, {Addr: "b:1", Zone: "b"}}
	now := []quorum.Peer{{Addr: "a:5", Zone: "a"}, {Addr: "b:5", Zone: "b"}}
	tests := []struct {
		name    string
		updates []*message.FollowUpdate
		want    []string
	}{
		{"from an instance out of contact", []*message.FollowUpdate{{State: true, Peers: past}}, []string{"a:5", "b:5", "a:1", "b:1", "s:1"}},
		{"from one in contact", []*message.FollowUpdate{{State: true, Current: true, Peers: past}}, []string{"a:1", "b:1", "s:1"}},
		{"in contact later", []*message.FollowUpdate{{State: true, Peers: past}, {State: true, Current: true}}, []string{"a:1", "b:1", "s:1"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, _ := newClient("a", "s:1")
			c.setPeers(now)
			s := &session{client: c, addr: "s:1"}
			for _, u := range tt.updates {
				s.apply(u)
			}
			list, _ := c.addrsExcept("")
			require.ElementsMatch(t, tt.want, list)
		})
	}
}

// TestContactTimeouts checks how long a control instance out of contact is followed.
// One that loses contact and then three that never had it must together take less
// than the limit of 3 s on a change.
func TestContactTimeouts(t *testing.T) {
	tests := []struct {
		name              string
		ready, hadContact bool
		after             time.Duration
		switches          bool
	}{
		{"during an election", true, true, time.Second, false},
		{"contact lost for too long", true, true, contactTimeout + time.Millisecond, true},
		{"never in contact", true, false, minFirstContactTimeout + time.Millisecond, true},
		{"not in contact yet", true, false, minFirstContactTimeout - time.Millisecond, false},
		{"before the first document", false, true, minFirstContactTimeout + time.Millisecond, true},
		{"before the first document, during an election", false, false, minFirstContactTimeout - time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := &manualClock{now: time.Unix(1000, 0)}
			c, _ := newClient("a", "s:1")
			c.clock = clk
			c.synced.Store(tt.ready)
			s := &session{client: c, addr: "s:1", lastContact: clk.now, hadContact: tt.hadContact}
			clk.now = clk.now.Add(tt.after)
			require.Equal(t, tt.switches, s.shouldSwitch())
		})
	}
	// A stream that had contact ends at the next keep-alive after the timeout, the
	// others end at the timeout.
	const keepAlive = 400 * time.Millisecond
	require.Less(t, contactTimeout+keepAlive+3*(minFirstContactTimeout+maxBackoff), 3*time.Second)
}

// TestFirstContactTimeoutGrows simulates a partitioned zone: the only reachable control
// instance is never in contact with a leader, and each stream lasts until the timeout.
func TestFirstContactTimeoutGrows(t *testing.T) {
	c, _ := newClient("a", "s:1")
	c.setPeers([]quorum.Peer{{Addr: "a:1", Zone: "a"}})
	partitioned := &session{client: c, stateUpdates: 1}
	streams := 0
	for began := time.Duration(0); began < 30*time.Second; began += c.firstContactTimeout() {
		c.recordEnd(partitioned)
		streams++
	}
	require.LessOrEqual(t, streams, 30, "150 with a fixed timeout")
	require.Equal(t, maxFirstContactTimeout, c.firstContactTimeout())
	c.recordEnd(&session{client: c})
	require.Equal(t, maxFirstContactTimeout, c.firstContactTimeout(), "an unanswered stream changes nothing")
	c.recordEnd(&session{client: c, stateUpdates: 1, hadContact: true})
	require.Equal(t, minFirstContactTimeout, c.firstContactTimeout())
}

// TestFirstUpdateTimeoutOnSlowLink simulates an entry instance whose own link is slow:
// after as many unanswered streams as there are seeds, the timeout is longer.
func TestFirstUpdateTimeoutOnSlowLink(t *testing.T) {
	c, _ := newClient("a", "s:1", "s:2")
	c.synced.Store(true)
	for range 2 {
		s := &session{client: c}
		require.Equal(t, firstUpdateTimeout, s.nextUpdateTimeout())
		c.recordEnd(s)
	}
	require.Equal(t, updateTimeout, (&session{client: c}).nextUpdateTimeout())
	c.recordEnd(&session{client: c, received: true})
	require.Equal(t, firstUpdateTimeout, (&session{client: c}).nextUpdateTimeout())
}

// TestResume checks that a stream resumes only from the address of the last one.
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
		{"no update", nil, message.ResumePoint{}},
		{"state from another address", []update{{"b:1", state}}, message.ResumePoint{}},
		{"state from this address", []update{{"a:1", state}}, point},
		{"then an update without state", []update{{"a:1", state}, {"a:1", &message.FollowUpdate{}}}, point},
		{"then backend servers from another address", []update{{"a:1", state}, {"b:1", some}}, message.ResumePoint{}},
		{"then an empty update from another address", []update{{"a:1", state}, {"b:1", &message.FollowUpdate{}}}, point},
		{"then backend servers from this address again", []update{{"a:1", state}, {"b:1", state}, {"a:1", some}}, message.ResumePoint{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, _ := newClient("a", "s:1")
			for _, u := range tt.updates {
				c.recordProgress(u.addr, u.u)
			}
			require.Equal(t, tt.want, c.resumePoint("a:1"))
		})
	}
}

func TestNextUpdateTimeout(t *testing.T) {
	tests := []struct {
		name                        string
		ready, received, hadContact bool
		stateUpdates                int
		want                        time.Duration
	}{
		{"in contact", true, true, true, 1, updateTimeout},
		{"never in contact", true, true, false, 1, minFirstContactTimeout},
		{"no update yet", true, false, false, 0, firstUpdateTimeout},
		{"no state yet", true, true, false, 0, updateTimeout},
		{"before the first document", false, true, true, 1, updateTimeout},
		{"before the first document, never in contact", false, true, false, 1, updateTimeout},
		{"before the first document, no update yet", false, false, false, 0, updateTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, _ := newClient("a", "s:1")
			c.synced.Store(tt.ready)
			require.Equal(t, tt.want, (&session{client: c, received: tt.received, hadContact: tt.hadContact, stateUpdates: tt.stateUpdates}).nextUpdateTimeout())
		})
	}
	// One stream that stalls and then two without an update must together take no
	// longer than the limit of 3 s on a drain.
	require.LessOrEqual(t, updateTimeout+2*(firstUpdateTimeout+maxBackoff), 3*time.Second)
}

// fakeControl is a control instance that sends prepared updates and then blocks.
type fakeControl struct {
	control.DRPCControlUnimplementedServer
	updates []*message.FollowUpdate
	// pause is the time before each update.
	pause time.Duration

	mu    sync.Mutex
	calls int
}

// Follow implements control.DRPCControlServer.
func (s *fakeControl) Follow(_ *control.Frame, stream control.DRPCControl_FollowStream) error {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	for _, u := range s.updates {
		time.Sleep(s.pause)
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

func (s *fakeControl) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// serveControl runs a fake control instance on loopback and returns its address.
func serveControl(t *testing.T, s *fakeControl) string {
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

func runUntil(t *testing.T, c *Client, done func() bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return c.Run(ctx) })
	require.Eventually(t, done, time.Minute, time.Millisecond)
	cancel()
	require.NoError(t, g.Wait())
}

func newDocument(version uint64) *catkinrail.Document {
	return &catkinrail.Document{Version: version, Services: []string{"logbook"}, Routes: []catkinrail.Route{{
		Name: "r", Listen: netip.MustParseAddrPort("198.18.0.1:443"), Kind: catkinrail.KindSafe, Timeout: time.Second,
		Targets: []catkinrail.Target{{Service: "logbook", Weight: 1}},
	}}}
}

func documentVersion(r *packet.Router) uint64 {
	var v uint64
	r.Do(func(e *token.Engine, _ int64) { v = e.Version() })
	return v
}

func TestReadyOnceControlIsCurrent(t *testing.T) {
	s := &fakeControl{updates: []*message.FollowUpdate{{Document: newDocument(5), State: true, Current: true, Complete: true}}}
	c, r := newClient("a", serveControl(t, s))
	require.False(t, c.Ready())
	runUntil(t, c, c.Ready)
	require.Equal(t, uint64(5), documentVersion(r))
}

// TestLargeUpdatesOverSlowLink guards against streams that are given up again and again because a
// document takes longer than the time without an update after which a stream is closed. Parts of
// the directory come between those of the document.
func TestLargeUpdatesOverSlowLink(t *testing.T) {
	split := func(of message.PartOf, u *message.FollowUpdate) (list []*message.FollowUpdate) {
		body, err := cluster.EncodeCompressed(u)
		require.NoError(t, err)
		const parts = 4
		for i := range parts {
			list = append(list, &message.FollowUpdate{Part: body[i*len(body)/parts : (i+1)*len(body)/parts], PartOf: of, Last: i == parts-1})
		}
		return list
	}
	document := split(message.DocumentPart, &message.FollowUpdate{Document: newDocument(5)})
	directory := split(message.DirectoryPart, &message.FollowUpdate{Backends: []message.FollowedBackend{{Incarnation: catkinrail.Incarnation{
		Name: "b", Identity: 1, StartedAt: 100, Sequence: 1, Service: "logbook", Zone: "a",
	}}}})
	s := &fakeControl{pause: 200 * time.Millisecond}
	for i := range document {
		s.updates = append(s.updates, document[i], directory[i])
	}
	s.updates = append(s.updates, &message.FollowUpdate{State: true, Current: true, Complete: true})
	require.Greater(t, time.Duration(len(s.updates))*s.pause, updateTimeout)
	c, r := newClient("a", serveControl(t, s))
	runUntil(t, c, c.Ready)
	require.Equal(t, 1, s.callCount())
	require.Equal(t, uint64(5), documentVersion(r))
	r.Do(func(e *token.Engine, _ int64) { require.Equal(t, 1, e.NumBackends()) })
}

// TestNotReadyWithIncompleteDirectory follows a control instance that has lost its
// disk: it has the document before it has the backend servers. An entry instance
// that treated its directory as complete would refuse flows.
func TestNotReadyWithIncompleteDirectory(t *testing.T) {
	s := &fakeControl{updates: []*message.FollowUpdate{
		{Document: newDocument(5), Current: true}, {Current: true}, {State: true, Current: true, Complete: true},
	}}
	c, r := newClient("a", serveControl(t, s))
	x := &session{client: c, addr: "control-1"}
	for i, u := range s.updates {
		require.False(t, c.Ready(), i)
		r.Do(func(e *token.Engine, now int64) {
			require.Greater(t, e.Age(now), time.Hour, "an incomplete update must not count as current")
		})
		x.apply(u)
	}
	require.True(t, c.Ready())
	r.Do(func(e *token.Engine, now int64) { require.Less(t, e.Age(now), time.Hour) })
	require.Equal(t, uint64(5), documentVersion(r))
}

// TestKeepsNewerEvacuations follows a control instance with older evacuations than those that an
// earlier one had sent. The entry instance must not go back to them.
func TestKeepsNewerEvacuations(t *testing.T) {
	c, r := newClient("a", "127.0.0.1:1")
	updates := []*message.FollowUpdate{
		{Evacuations: &catkinrail.Evacuations{Revision: 7, Zones: []catkinrail.Zone{"a"}}},
		{Document: newDocument(5), State: true, Current: true, Complete: true},
		{Evacuations: &catkinrail.Evacuations{Revision: 5}},
		{State: true, Current: true, Complete: true},
	}
	for i, u := range updates {
		x := &session{client: c, addr: []string{"control-1", "control-2"}[i/2]}
		x.apply(u)
		r.Do(func(e *token.Engine, _ int64) { require.Equal(t, uint64(7), e.Evacuations().Revision) })
		require.Equal(t, i > 0, c.Ready())
	}
}

// TestSwitchesFromStaleInstance runs one control instance that is out of contact with
// its leader and one that has the current document.
func TestSwitchesFromStaleInstance(t *testing.T) {
	stale := &fakeControl{updates: []*message.FollowUpdate{{State: true}, {State: true}}}
	current := &fakeControl{updates: []*message.FollowUpdate{{Document: newDocument(5), State: true, Current: true, Complete: true}}}
	c, r := newClient("a", serveControl(t, stale), serveControl(t, current))
	runUntil(t, c, c.Ready)
	require.Equal(t, uint64(5), documentVersion(r))
}

func TestSwitchesToOwnZone(t *testing.T) {
	own := &fakeControl{updates: []*message.FollowUpdate{{Document: newDocument(6), State: true, Current: true, Complete: true}}}
	ownAddr := serveControl(t, own)
	other := &fakeControl{updates: []*message.FollowUpdate{{
		Document: newDocument(5), State: true, Current: true, Complete: true, Peers: []quorum.Peer{{Addr: ownAddr, Zone: "a"}},
	}}}
	c, r := newClient("a", serveControl(t, other))
	runUntil(t, c, func() bool { return documentVersion(r) == 6 })
	require.Equal(t, 1, other.callCount())
}

func TestSkipsUnreachableSeeds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := l.Addr().String()
	require.NoError(t, l.Close())
	s := &fakeControl{updates: []*message.FollowUpdate{{Document: newDocument(5), State: true, Current: true, Complete: true}}}
	c, _ := newClient("a", unreachable, serveControl(t, s), unreachable)
	runUntil(t, c, c.Ready)
}

// TestUpdateFitsSlowLink limits the size of a document with 400 routes: over a link of
// 1.4 Mbit/s it must arrive within 350 ms, well under the 1 s after which an entry
// instance closes a silent stream.
func TestUpdateFitsSlowLink(t *testing.T) {
	d := newDocument(1)
	for i := range 400 {
		r := d.Routes[0]
		r.Name = "r-" + netip.AddrFrom4([4]byte{1, 2, byte(i >> 8), byte(i)}).String()
		r.Listen = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443)
		d.Routes = append(d.Routes, r)
	}
	body, err := cluster.EncodeCompressed(&message.FollowUpdate{Document: d})
	require.NoError(t, err)
	const maxSize = 1_400_000 / 8 * 350 / 1000
	require.Less(t, len(body), maxSize)
	var u message.FollowUpdate
	require.NoError(t, cluster.DecodeCompressed(body, &u))
	require.Equal(t, d, u.Document)
}
