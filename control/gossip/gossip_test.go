package gossip

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/state/directory"
	"catkinrail.example/catkinrail/state/journal"
)

const silentAfter = 3 * time.Second

// manualClock is a clock that tests advance.
type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

// pair is two directories, a and b, of which b is a peer of a. Tests drive the
// exchange between them step by step.
type pair struct {
	t     *testing.T
	clock *manualClock
	a, b  *Directory
	// link is a's record of b.
	link *peer
}

func newDirectory(clock catkinrail.Clock, zone string, dir catkinrail.Dir) *Directory {
	return New(Config{
		Self: quorum.Peer{Name: "control-" + zone, Zone: zone}, Clock: clock, Log: logs.Discard(), SilentAfter: silentAfter,
		ReuseAfter: 2 * time.Second, Dir: dir,
	})
}

func newPair(t *testing.T) *pair {
	t.Helper()
	clock := &manualClock{now: time.Unix(1000, 0)}
	p := &pair{t: t, clock: clock, a: newDirectory(clock, "a", nil), b: newDirectory(clock, "b", nil)}
	p.link = &peer{addr: "b", zone: "b", public: "10.0.0.2:80", needFull: true, member: true}
	p.a.peers["b"] = p.link
	return p
}

// exchange sends a's next message, if any, to b and applies the reply.
func (p *pair) exchange() {
	g, at, _ := p.a.nextMessage(p.link)
	if g == nil {
		return
	}
	reply := p.b.Gossip(sent(p.t, g))
	p.a.applyReply(p.link, g, sent(p.t, reply))
	p.a.recordResult(p.link, at, nil)
}

// sent returns a message as its receiver decodes it.
func sent[T any](t *testing.T, m *T) *T {
	t.Helper()
	body, err := cluster.EncodeCompressed(m)
	require.NoError(t, err)
	got := new(T)
	require.NoError(t, cluster.DecodeCompressed(body, got))
	return got
}

// failCall records at a that a call to b failed.
func (p *pair) failCall() {
	p.a.recordResult(p.link, 0, fake.ErrCrashed)
}

func (p *pair) advance(d time.Duration) {
	p.clock.now = p.clock.now.Add(d)
}

func incarnation(name, zone string, sequence uint64) *catkinrail.Incarnation {
	return &catkinrail.Incarnation{
		Name: name, Identity: 1, StartedAt: 100, Sequence: sequence, Service: "logbook", Zone: catkinrail.Zone(zone), Slots: 2,
		Addr: netip.MustParseAddrPort("10.0.0." + name[len(name)-1:] + ":80"),
	}
}

func view(t *testing.T, d *Directory, name string) directory.View {
	t.Helper()
	list, _, _ := d.Since(0)
	for _, v := range list {
		if v.Name == name {
			return v
		}
	}
	require.Fail(t, "not in the directory", name)
	return directory.View{}
}

func ended(t *testing.T, d *Directory, name string) bool {
	t.Helper()
	v := view(t, d, name)
	return v.Ended()
}

func TestChangesReachPeer(t *testing.T) {
	p := newPair(t)
	p.exchange()
	p.a.Report(incarnation("s1", "a", 1))
	p.exchange()
	require.False(t, view(t, p.b, "s1").Draining)
	inc := incarnation("s1", "a", 2)
	inc.Draining = true
	p.a.Report(inc)
	p.exchange()
	require.True(t, view(t, p.b, "s1").Draining)
	p.a.Leave("s1", 100)
	p.exchange()
	require.True(t, view(t, p.b, "s1").Gone)
}

// TestUnreadableNameStopsNothing guards against an entry that makes the messages with it unreadable: no other report
// got beyond the instance that had it. An instance of an earlier build may send it or have saved it.
func TestUnreadableNameStopsNothing(t *testing.T) {
	for _, name := range []string{"t\xe9-1", "\x00\xff-2", "\xc3-3"} {
		p := newPair(t)
		p.a.Report(incarnation(name, "a", 1))
		p.b.Gossip(sent(t, &message.Gossip{Changed: []catkinrail.Incarnation{*incarnation(name, "a", 1)}}))
		p.a.Report(incarnation("s4", "a", 1))
		p.exchange()
		require.Len(t, p.b.dir.All(0), 1)
		view(t, p.b, "s4")

		disk := fake.NewDisk()
		require.NoError(t, journal.WriteRecord(disk, directoryFile, []catkinrail.Incarnation{*incarnation(name, "a", 1), *incarnation("s4", "a", 1)}))
		d := newDirectory(p.clock, "a", disk)
		require.Len(t, d.dir.All(0), 1)
		view(t, d, "s4")
	}
}

// TestCompleteAfterReceivingDirectory checks that an instance is complete once a
// peer has sent its whole directory, also if its own calls have not reached the
// peer yet.
func TestCompleteAfterReceivingDirectory(t *testing.T) {
	p := newPair(t)
	p.b.peersKnown = true
	p.b.peers["a"] = &peer{addr: "a", needFull: true, member: true}
	p.a.Report(incarnation("s1", "a", 1))
	require.False(t, p.b.Complete())
	_, _, changed := p.b.Since(0)
	p.exchange()
	require.True(t, p.a.Complete())
	require.True(t, p.b.Complete())
	view(t, p.b, "s1")
	<-changed
}

func TestRenewalsPreventSilenceOnPeer(t *testing.T) {
	p := newPair(t)
	p.a.Report(incarnation("s1", "a", 1))
	p.exchange()
	for i := range uint64(10) {
		p.advance(time.Second)
		p.a.Report(incarnation("s1", "a", 2+i))
		p.exchange()
		p.b.lastTick = 0
		p.b.checkSilence()
		require.False(t, view(t, p.b, "s1").Silent)
	}
	p.advance(silentAfter + time.Millisecond)
	p.b.checkSilence()
	require.False(t, view(t, p.b, "s1").Silent, "b itself was stalled for that long")
	for range 40 {
		p.advance(100 * time.Millisecond)
		p.b.checkSilence()
	}
	require.True(t, view(t, p.b, "s1").Silent)
}

// TestChangesSurvivePartition checks that changes on either side of a partition are
// known on both sides after it ends.
func TestChangesSurvivePartition(t *testing.T) {
	p := newPair(t)
	p.a.Report(incarnation("s1", "a", 1))
	p.b.Report(incarnation("s2", "b", 1))
	p.exchange()
	p.failCall()
	p.a.Leave("s1", 100)
	p.b.Report(incarnation("s3", "b", 1))
	p.exchange()
	require.True(t, view(t, p.b, "s1").Gone)
	view(t, p.a, "s2")
	view(t, p.a, "s3")
}

// TestDirectorySurvivesExchange guards against backend servers that are lost or changed when the only
// instance that they report to is exchanged, and its successor too.
func TestDirectorySurvivesExchange(t *testing.T) {
	p := newPair(t)
	draining, cold := incarnation("s1", "a", 7), incarnation("s2", "a", 3)
	draining.Draining, cold.Warmup, cold.StartedAt = true, 10*time.Second, 200
	p.a.Report(draining)
	p.a.Report(cold)
	p.a.Report(incarnation("s3", "a", 1))
	p.exchange()
	p.a.Leave("s3", 100)
	p.exchange()
	last := newDirectory(p.clock, "c", nil)
	p.advance(time.Second)
	next := &pair{t: t, clock: p.clock, a: p.b, b: last, link: &peer{addr: "c", needFull: true, member: true}}
	next.exchange()
	require.True(t, last.Complete())
	for _, d := range []*Directory{p.b, last} {
		require.True(t, view(t, d, "s1").Draining)
		require.Equal(t, uint64(7), view(t, d, "s1").Sequence)
		require.Equal(t, int64(200), view(t, d, "s2").StartedAt)
		require.Equal(t, 9*time.Second, view(t, d, "s2").Warmup)
		require.True(t, view(t, d, "s3").Gone)
	}
}

// TestDigestMismatchForcesFullExchange checks that a change is received in the end
// although its message was lost without an error, as with a peer that restarts from
// an old directory.
func TestDigestMismatchForcesFullExchange(t *testing.T) {
	p := newPair(t)
	p.exchange()
	p.a.Report(incarnation("s1", "a", 1))
	_, at, _ := p.a.composeMessage(p.link)
	p.a.recordResult(p.link, at, nil)
	for range 3 * maxMismatches {
		p.advance(digestInterval + time.Millisecond)
		p.exchange()
	}
	view(t, p.b, "s1")
}

// TestNoSilenceWhileMemberUnreachable checks that no backend server becomes silent
// while a member can't be reached, since reports may go to that member.
func TestNoSilenceWhileMemberUnreachable(t *testing.T) {
	p := newPair(t)
	p.a.Report(incarnation("s1", "a", 1))
	p.exchange()
	p.failCall()
	wait := func() {
		for range 50 {
			p.advance(100 * time.Millisecond)
			p.a.checkSilence()
		}
	}
	wait()
	require.False(t, view(t, p.a, "s1").Silent)
	p.exchange()
	wait()
	require.True(t, view(t, p.a, "s1").Silent)
}

// TestSilenceAfterMemberHasGone guards against backend servers that never become silent since a
// member has gone for good and keeps its place in the quorum.
func TestSilenceAfterMemberHasGone(t *testing.T) {
	p := newPair(t)
	p.a.Report(incarnation("s1", "a", 1))
	p.exchange()
	wait := func(d time.Duration) {
		for ; d > 0; d -= 100 * time.Millisecond {
			p.advance(100 * time.Millisecond)
			p.failCall()
			p.a.checkSilence()
		}
	}
	wait(goneAfter - time.Second)
	require.False(t, view(t, p.a, "s1").Silent)
	p.advance(time.Minute)
	wait(time.Second)
	require.False(t, view(t, p.a, "s1").Silent, "this instance was stalled")
	wait(time.Second)
	require.True(t, view(t, p.a, "s1").Silent)
}

// TestNoSilenceWhileEvictedMemberMayRun guards against backend servers that count as silent because
// the instance that they report to is cut off and has lost its vote meanwhile.
func TestNoSilenceWhileEvictedMemberMayRun(t *testing.T) {
	tests := []struct {
		name   string
		lost   bool
		silent bool
	}{
		{"cut off before it lost its place", true, false},
		{"gave up its place", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPair(t)
			p.a.cfg.Seeds = func() []string { return nil }
			p.a.cfg.Members = func() *quorum.Members { return &quorum.Members{} }
			p.link.cancel = func() {}
			p.a.Report(incarnation("s1", "a", 1))
			p.exchange()
			if tt.lost {
				p.failCall()
			}
			p.a.refreshPeers(t.Context())
			for range 80 {
				p.advance(100 * time.Millisecond)
				p.a.checkSilence()
			}
			require.Equal(t, tt.silent, view(t, p.a, "s1").Silent)
			p.advance(goneAfter)
			p.a.refreshPeers(t.Context())
			require.Empty(t, p.a.peers)
		})
	}
}

// TestDrainSurvivesRestart kills an instance right after it has acknowledged and
// saved that a backend server drains, before it has sent that to its peer. After
// the restart the peer must receive it, even if reports come in the meantime and
// only renewals are left to send.
func TestDrainSurvivesRestart(t *testing.T) {
	tests := []struct {
		name string
		// reports is the number of reports that the restarted instance receives
		// before it reaches its peer.
		reports int
		// peerReports is set if the peer receives a stale report meanwhile.
		peerReports bool
		// restartPeer is set if the peer restarts too, from its saved directory.
		restartPeer bool
	}{
		{"before the next report", 0, false, false},
		{"after the next report", 1, false, false},
		{"after many reports", 9, false, false},
		{"after a stale report to the peer", 1, true, false},
		{"with the peer, before the next report", 0, false, true},
		{"with the peer, after many reports", 9, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPair(t)
			disk := fake.NewDisk()
			p.a.cfg.Dir = disk
			peerDisk := fake.NewDisk()
			p.b.cfg.Dir = peerDisk
			inc := incarnation("s1", "a", 5)
			p.a.Report(inc)
			p.exchange()
			inc.Sequence, inc.Draining = 6, true
			p.a.Report(inc)
			_, err := p.a.writeIfChanged(nil)
			require.NoError(t, err)

			if tt.restartPeer {
				_, err := p.b.writeIfChanged(nil)
				require.NoError(t, err)
				p.b = newDirectory(p.clock, "b", peerDisk)
			}
			p.a = newDirectory(p.clock, "a", disk)
			p.link = &peer{addr: "b", zone: "b", needFull: true, member: true}
			p.a.peers["b"] = p.link
			for range tt.reports {
				inc.Sequence++
				p.a.Report(inc)
			}
			if tt.peerReports {
				stale := *inc
				stale.Draining = false
				stale.Sequence--
				p.b.Report(&stale)
			}
			for range 1 + maxMismatches {
				p.exchange()
				inc.Sequence++
				p.a.Report(inc)
			}
			require.True(t, view(t, p.b, "s1").Draining)
		})
	}
}

func TestReportNamesControlInstanceOfZone(t *testing.T) {
	tests := []struct {
		name, zone string
		reached    bool
		want       netip.AddrPort
	}{
		{"own zone", "a", true, netip.AddrPort{}},
		{"another zone", "b", true, netip.MustParseAddrPort("10.0.0.2:80")},
		{"another zone that can't be reached", "b", false, netip.AddrPort{}},
		{"a zone without a control instance", "c", true, netip.AddrPort{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPair(t)
			p.link.reached = tt.reached
			require.Equal(t, tt.want, p.a.Report(incarnation("s1", tt.zone, 1)))
		})
	}
}

func TestDirectoryIsRestoredFromDisk(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	disk := fake.NewDisk()
	d := newDirectory(clock, "a", disk)
	d.Report(incarnation("s1", "a", 7))
	d.Report(incarnation("s2", "a", 7))
	d.Leave("s2", 100)
	saved, err := d.writeIfChanged(nil)
	require.NoError(t, err)
	again, err := d.writeIfChanged(saved)
	require.NoError(t, err)
	require.Equal(t, saved, again)

	d = newDirectory(clock, "a", disk)
	require.False(t, view(t, d, "s1").Gone)
	require.True(t, view(t, d, "s2").Gone)
	require.Equal(t, uint64(7), view(t, d, "s1").Sequence)
	d.Report(incarnation("s1", "a", 8))
	require.Equal(t, uint64(8), view(t, d, "s1").Sequence)

	// A saved directory that can't be read is ignored.
	disk.Corrupt(directoryFile, 20)
	list, _, _ := newDirectory(clock, "a", disk).Since(0)
	require.Empty(t, list)
	disk.FailAfter(0, fake.ErrFull)
	_, err = d.writeIfChanged(nil)
	require.ErrorIs(t, err, fake.ErrFull)
}

// TestReportBeforeItsDocument guards against backend servers that have to report again once the
// document that names their service is in force, and against another writer's report for an unknown
// service that ends the backend server at the same address.
func TestReportBeforeItsDocument(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	doc := &catkinrail.Document{Version: 1, Services: []string{"logbook"}}
	d := New(Config{
		Self: quorum.Peer{Name: "control-a", Zone: "a"}, Clock: clock, Log: logs.Discard(), SilentAfter: silentAfter,
		ReuseAfter: 2 * time.Second, Document: func() *catkinrail.Document { return doc },
	})
	d.Report(incarnation("s1", "a", 1))
	early := incarnation("s2", "a", 1)
	early.Service = "new"
	d.Report(early)
	odd := incarnation("x1", "a", 1)
	odd.Service, odd.StartedAt = "odd", 900
	for range 3 {
		clock.now = clock.now.Add(time.Second)
		d.Report(odd)
		odd.Sequence++
		early.Sequence++
		d.Report(early)
	}
	require.False(t, view(t, d, "s1").Superseded)
	require.True(t, view(t, d, "x1").Superseded)
	doc = &catkinrail.Document{Version: 2, Services: []string{"logbook", "new"}}
	d.checkSilence()
	require.False(t, ended(t, d, "s2"))
}

// TestLateReportsAfterReuse guards against flows that are reset at the new holder of an address: an
// instance that stood still receives late reports of the earlier holder and then one of the new holder,
// whose further reports go to an instance that it can't reach.
func TestLateReportsAfterReuse(t *testing.T) {
	p := newPair(t)
	p.exchange()
	earlier, later := incarnation("s1", "a", 1), incarnation("s1", "a", 1)
	later.Name, later.StartedAt = "t1", 900
	p.a.Report(earlier)
	p.failCall()
	p.a.checkSilence()
	p.advance(5 * time.Second)
	earlier.Sequence = 2
	p.a.Report(earlier)
	p.a.Report(later)
	p.a.checkSilence()
	p.advance(2*time.Second + tickInterval)
	p.a.checkSilence()
	require.False(t, ended(t, p.a, "t1"))
	require.True(t, ended(t, p.a, "s1"))
}

// TestEndOfOlderBuildIsContradicted guards against backend servers that are lost for good because
// an older build has saved them as ended, after another writer's report at their address.
func TestEndOfOlderBuildIsContradicted(t *testing.T) {
	clock, disk := &manualClock{now: time.Unix(1000, 0)}, fake.NewDisk()
	dead, odd := incarnation("s1", "a", 7), incarnation("x1", "a", 1)
	dead.Gone, odd.StartedAt = true, 900
	require.NoError(t, journal.WriteRecord(disk, directoryFile, []catkinrail.Incarnation{*dead, *odd}))
	d := newDirectory(clock, "a", disk)
	require.True(t, ended(t, d, "s1"))
	d.Report(incarnation("s1", "a", 8))
	require.False(t, ended(t, d, "s1"))
	require.True(t, view(t, d, "x1").Superseded)
}

// FuzzDirectory reads arbitrary saved directories. None may end the instance or leave two holders
// of one address.
func FuzzDirectory(f *testing.F) {
	b, err := cluster.Encode([]catkinrail.Incarnation{*incarnation("s1", "a", 7), *incarnation("x1", "a", 1)})
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var list []catkinrail.Incarnation
		if cluster.Decode(b, &list) != nil {
			return
		}
		clock, disk := &manualClock{now: time.Unix(1000, 0)}, fake.NewDisk()
		require.NoError(t, journal.WriteRecord(disk, directoryFile, list))
		d := newDirectory(clock, "a", disk)
		d.Gossip(&message.Gossip{Changed: list, Full: true})
		clock.now = clock.now.Add(time.Hour)
		d.checkSilence()
		holders := map[netip.AddrPort]string{}
		views, _, _ := d.Since(0)
		for _, v := range views {
			if v.Ended() {
				continue
			}
			require.Empty(t, holders[v.Addr], "%+v", views)
			holders[v.Addr] = v.Name
		}
		_, err := d.writeIfChanged(nil)
		require.NoError(t, err)
	})
}

func TestCompleteAfterExchange(t *testing.T) {
	p := newPair(t)
	require.False(t, p.a.Complete())
	p.failCall()
	require.False(t, p.a.Complete())
	p.exchange()
	require.True(t, p.a.Complete())

	alone := newDirectory(p.clock, "c", nil)
	require.False(t, alone.Complete(), "its peers are not known yet")
	alone.peersKnown = true
	require.True(t, alone.Complete())
}

// TestCompleteWithoutOtherMembers guards against an instance that waits for ever for the directory of
// seeds that have gone: entry instances that start would never be ready.
func TestCompleteWithoutOtherMembers(t *testing.T) {
	self, other := quorum.Peer{Addr: "a:1"}, quorum.Peer{Addr: "b:1"}
	tests := []struct {
		name    string
		members map[quorum.NodeID]quorum.Peer
		want    bool
	}{
		{"not a member yet", nil, false},
		{"only others are members", map[quorum.NodeID]quorum.Peer{2: other}, false},
		{"the only member", map[quorum.NodeID]quorum.Peer{1: self}, true},
		{"one of two members", map[quorum.NodeID]quorum.Peer{1: self, 2: other}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			var g errgroup.Group
			d := New(Config{
				Self: self, Clock: &manualClock{now: time.Unix(1000, 0)}, Log: logs.Discard(), Group: &g, SilentAfter: silentAfter,
				Seeds: func() []string { return []string{"gone:1"} }, Members: func() *quorum.Members { return &quorum.Members{Nodes: tt.members} },
			})
			d.refreshPeers(ctx)
			require.NoError(t, g.Wait())
			require.Equal(t, tt.want, d.Complete())
		})
	}
}

// fakeLoads are loads in memory.
type fakeLoads struct {
	next   *message.LoadShare
	shared int
	merged []*message.LoadShare
}

func (f *fakeLoads) Share(string, string) *message.LoadShare {
	f.shared++
	return f.next
}

func (f *fakeLoads) Merge(m *message.LoadShare) { f.merged = append(f.merged, m) }

// TestNoMessageForGoneSeed guards against composing the whole directory again and again for a seed
// that has gone.
func TestNoMessageForGoneSeed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	var g errgroup.Group
	d := New(Config{
		Clock: &manualClock{now: time.Unix(1000, 0)}, Log: logs.Discard(), Group: &g, SilentAfter: silentAfter,
		Seeds:   func() []string { return []string{l.Addr().String()} },
		Members: func() *quorum.Members { return &quorum.Members{} },
	})
	loads := &fakeLoads{}
	d.ExchangeLoads(loads)
	d.refreshPeers(ctx)
	require.NoError(t, g.Wait())
	require.Zero(t, loads.shared)
}

// TestLoadsTravelWithRenewals guards against loads that are sent with every change of the
// directory or not at all, and against a message with nothing but load that makes the next
// one repeat the directory.
func TestLoadsTravelWithRenewals(t *testing.T) {
	p := newPair(t)
	from, to := &fakeLoads{}, &fakeLoads{}
	p.a.ExchangeLoads(from)
	p.b.ExchangeLoads(to)
	p.exchange()
	require.Empty(t, to.merged, "no load")
	p.clock.now = p.clock.now.Add(renewalInterval)
	from.next = &message.LoadShare{From: "a", Sequence: 1}
	p.exchange()
	require.Len(t, to.merged, 1)
	revision := p.link.sentRevision
	p.clock.now = p.clock.now.Add(10 * time.Millisecond)
	p.a.Report(&catkinrail.Incarnation{Name: "s1", Identity: 1, StartedAt: 1, Sequence: 1})
	p.exchange()
	require.Len(t, to.merged, 1, "not due")
	require.Greater(t, p.link.sentRevision, revision)
	revision = p.link.sentRevision
	p.clock.now = p.clock.now.Add(renewalInterval)
	p.exchange()
	require.Len(t, to.merged, 2)
	require.Equal(t, revision, p.link.sentRevision)
}
