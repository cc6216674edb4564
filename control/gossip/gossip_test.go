package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/directory"
)

const silentAfter = 3 * time.Second

// manual is a clock that tests set.
type manual struct{ now time.Time }

func (m *manual) Now() time.Time { return m.now }

// pair is two directories with one as the other's peer, driven step by step.
type pair struct {
	t     *testing.T
	clock *manual
	a, b  *Directory
	// link is b as a sees it.
	link *peer
}

func newDirectory(clock catkinrail.Clock, zone string, dir catkinrail.Dir) *Directory {
	return New(Config{
		Self: quorum.Peer{Name: "control-" + zone, Zone: zone}, Clock: clock, Log: logs.Discard(), SilentAfter: silentAfter, Dir: dir,
	})
}

func newPair(t *testing.T) *pair {
	t.Helper()
	clock := &manual{now: time.Unix(1000, 0)}
	p := &pair{t: t, clock: clock, a: newDirectory(clock, "a", nil), b: newDirectory(clock, "b", nil)}
	p.link = &peer{addr: "b", zone: "b", public: "10.0.0.2:80", full: true, member: true}
	p.a.peers["b"] = p.link
	return p
}

// exchange sends what a has to tell b.
func (p *pair) exchange() {
	g, at, _ := p.a.compose(p.link)
	if g == nil {
		return
	}
	p.a.take(p.link, g, p.b.Gossip(g))
	p.a.settle(p.link, at, nil)
}

func (p *pair) fail() {
	p.a.settle(p.link, 0, fake.ErrCrashed)
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

func TestChangesReachThePeer(t *testing.T) {
	p := newPair(t)
	p.exchange()
	p.a.Report(incarnation("s1", "a", 1))
	p.exchange()
	require.False(t, view(t, p.b, "s1").Draining)
	leaving := incarnation("s1", "a", 2)
	leaving.Draining = true
	p.a.Report(leaving)
	p.exchange()
	require.True(t, view(t, p.b, "s1").Draining)
	p.a.Leave("s1", 100)
	p.exchange()
	require.True(t, view(t, p.b, "s1").Gone)
}

// TestCompleteOnceAPeerHasTold starts two instances, of which the second was not
// reached when it started first: what it is told counts as well as what it asks
// for.
func TestCompleteOnceAPeerHasTold(t *testing.T) {
	p := newPair(t)
	p.b.managed = true
	p.b.peers["a"] = &peer{addr: "a", full: true, member: true}
	p.a.Report(incarnation("s1", "a", 1))
	require.False(t, p.b.Complete())
	_, _, changed := p.b.Since(0)
	p.exchange()
	require.True(t, p.a.Complete())
	require.True(t, p.b.Complete())
	view(t, p.b, "s1")
	<-changed
}

func TestRenewalsKeepABackendAliveElsewhere(t *testing.T) {
	p := newPair(t)
	p.a.Report(incarnation("s1", "a", 1))
	p.exchange()
	for i := range uint64(10) {
		p.advance(time.Second)
		p.a.Report(incarnation("s1", "a", 2+i))
		p.exchange()
		p.b.ticked = 0
		p.b.judge()
		require.False(t, view(t, p.b, "s1").Silent)
	}
	p.advance(silentAfter + time.Millisecond)
	p.b.judge()
	require.False(t, view(t, p.b, "s1").Silent, "b itself was held up for as long")
	for range 40 {
		p.advance(100 * time.Millisecond)
		p.b.judge()
	}
	require.True(t, view(t, p.b, "s1").Silent)
}

// TestNothingIsLostWhileThePeerIsAway cuts the link; what changed meanwhile on
// either side is known on both after it heals.
func TestNothingIsLostWhileThePeerIsAway(t *testing.T) {
	p := newPair(t)
	p.a.Report(incarnation("s1", "a", 1))
	p.b.Report(incarnation("s2", "b", 1))
	p.exchange()
	p.fail()
	p.a.Leave("s1", 100)
	p.b.Report(incarnation("s3", "b", 1))
	p.exchange()
	require.True(t, view(t, p.b, "s1").Gone)
	view(t, p.a, "s2")
	view(t, p.a, "s3")
}

// TestComparisonRepairs loses a message without an error, as a peer that
// restarts on an old directory does.
func TestComparisonRepairs(t *testing.T) {
	p := newPair(t)
	p.exchange()
	p.a.Report(incarnation("s1", "a", 1))
	_, at, _ := p.a.compose(p.link)
	p.a.settle(p.link, at, nil)
	for range 3 * maxDiffers {
		p.advance(digestInterval + time.Millisecond)
		p.exchange()
	}
	view(t, p.b, "s1")
}

// TestNoSilenceIsToldWhileAPeerIsAway: reports may go to the instance that can't
// be reached.
func TestNoSilenceIsToldWhileAPeerIsAway(t *testing.T) {
	p := newPair(t)
	p.a.Report(incarnation("s1", "a", 1))
	p.exchange()
	p.fail()
	wait := func() {
		for range 50 {
			p.advance(100 * time.Millisecond)
			p.a.judge()
		}
	}
	wait()
	require.False(t, view(t, p.a, "s1").Silent)
	p.exchange()
	wait()
	require.True(t, view(t, p.a, "s1").Silent)
}

// TestDrainSurvivesARestart kills an instance right after it has acknowledged and
// saved that a backend server drains, before anyone else heard of it. What it
// passes on after its restart, renewals among it, must tell the others.
func TestDrainSurvivesARestart(t *testing.T) {
	tests := []struct {
		name string
		// later is the number of reports that the restarted instance takes before
		// it reaches its peer, and whether the peer takes one meanwhile.
		later int
		other bool
		// both is set if the peer restarts too, from what it had saved.
		both bool
	}{
		{"before the next report", 0, false, false},
		{"after the next report", 1, false, false},
		{"after many reports", 9, false, false},
		{"after a report elsewhere", 1, true, false},
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
			leaving := incarnation("s1", "a", 5)
			p.a.Report(leaving)
			p.exchange()
			leaving.Sequence, leaving.Draining = 6, true
			p.a.Report(leaving)
			_, err := p.a.write(nil)
			require.NoError(t, err)

			if tt.both {
				_, err := p.b.write(nil)
				require.NoError(t, err)
				p.b = newDirectory(p.clock, "b", peerDisk)
			}
			p.a = newDirectory(p.clock, "a", disk)
			p.link = &peer{addr: "b", zone: "b", full: true, member: true}
			p.a.peers["b"] = p.link
			for range tt.later {
				leaving.Sequence++
				p.a.Report(leaving)
			}
			if tt.other {
				late := *leaving
				late.Draining = false
				late.Sequence--
				p.b.Report(&late)
			}
			for range 1 + maxDiffers {
				p.exchange()
				leaving.Sequence++
				p.a.Report(leaving)
			}
			require.True(t, view(t, p.b, "s1").Draining)
		})
	}
}

func TestBackendsAreSentToTheirZone(t *testing.T) {
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

func TestDirectoryIsReadFromDisk(t *testing.T) {
	clock := &manual{now: time.Unix(1000, 0)}
	disk := fake.NewDisk()
	d := newDirectory(clock, "a", disk)
	d.Report(incarnation("s1", "a", 7))
	d.Report(incarnation("s2", "a", 7))
	d.Leave("s2", 100)
	saved, err := d.write(nil)
	require.NoError(t, err)
	again, err := d.write(saved)
	require.NoError(t, err)
	require.Equal(t, saved, again)

	d = newDirectory(clock, "a", disk)
	require.False(t, view(t, d, "s1").Gone)
	require.True(t, view(t, d, "s2").Gone)
	require.Equal(t, uint64(7), view(t, d, "s1").Sequence)
	d.Report(incarnation("s1", "a", 8))
	require.Equal(t, uint64(8), view(t, d, "s1").Sequence)

	// A directory that can't be read is left out.
	disk.Corrupt(directoryFile, 20)
	list, _, _ := newDirectory(clock, "a", disk).Since(0)
	require.Empty(t, list)
	disk.FailAfter(0, fake.ErrFull)
	_, err = d.write(nil)
	require.ErrorIs(t, err, fake.ErrFull)
}

func TestCompleteOnceExchanged(t *testing.T) {
	p := newPair(t)
	require.False(t, p.a.Complete())
	p.fail()
	require.False(t, p.a.Complete())
	p.exchange()
	require.True(t, p.a.Complete())

	alone := newDirectory(p.clock, "c", nil)
	require.False(t, alone.Complete(), "its peers are not known yet")
	alone.managed = true
	require.True(t, alone.Complete())
}
