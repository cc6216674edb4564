// Package gossip keeps the directory of backend servers in step with the other
// control instances, without a leader and beside a stalled disk.
package gossip

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/directory"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Timing.
const (
	// settleTime lets changes that come together travel together.
	settleTime = 5 * time.Millisecond
	// pulseInterval is the time between two messages that only renew; a tenth of
	// the usual bound on a draining server.
	pulseInterval = 300 * time.Millisecond
	// digestInterval is the time between two comparisons of directories.
	digestInterval = 2 * time.Second
	// callTimeout bounds a call, so that a silent connection is replaced well
	// within the bound on a draining server.
	callTimeout = 600 * time.Millisecond
	// manageInterval is the time between two looks at who the peers are.
	manageInterval = 300 * time.Millisecond
	// tickInterval is the time between two looks for silent backend servers.
	tickInterval = 100 * time.Millisecond
	// stallTime is the delay of a tick from which this process was held up
	// rather than the backend servers silent.
	stallTime = 500 * time.Millisecond
	// logInterval is the least time between two lines about renewals.
	logInterval = 10 * time.Second
)

// Config is what a Directory is made of.
type Config struct {
	Self  quorum.Peer
	Clock catkinrail.Clock
	Log   *logs.Logger
	Creds *rpc.Credentials
	Group *errgroup.Group
	// Seeds returns addresses of control instances that may not be members yet.
	Seeds  func() []string
	SilentAfter time.Duration
	// Members returns the members that this instance knows; it must not wait.
	Members func() *quorum.Members
	// Dir keeps the directory on disk; nil for none.
	Dir catkinrail.Dir
}

// Directory is the directory of backend servers of one control instance.
type Directory struct {
	cfg Config

	mu    sync.Mutex
	dir   *directory.Directory
	peers map[string]*peer
	// changed is closed and replaced after each change.
	changed chan struct{}
	ticked  int64
	// exchanged is set once a peer has told its whole directory.
	exchanged bool
	// managed is set once the peers are known.
	managed bool
}

var _ catkinrail.BackendRegistry = (*Directory)(nil)

// New returns a directory with what was saved on disk.
func New(cfg Config) *Directory {
	d := &Directory{cfg: cfg, dir: directory.New(cfg.SilentAfter), peers: map[string]*peer{}, changed: make(chan struct{})}
	d.load()
	return d
}

func (d *Directory) now() int64 {
	return d.cfg.Clock.Now().UnixNano()
}

// wake tells everyone who waits that something has changed. The caller holds mu.
func (d *Directory) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Report implements catkinrail.BackendRegistry.
func (d *Directory) Report(inc *catkinrail.Incarnation) netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	outcome := d.dir.Report(inc, d.now(), true)
	if outcome == directory.Changed {
		d.logIncarnation(inc, "backend server changed", d.cfg.Self.Name)
		d.wake()
	}
	return d.nearest(inc.Zone)
}

// nearest returns the control instance of a zone that its backend servers
// should report to; invalid if this one is as good. The caller holds mu.
func (d *Directory) nearest(zone catkinrail.Zone) netip.AddrPort {
	if d.cfg.Self.Zone == string(zone) {
		return netip.AddrPort{}
	}
	for _, p := range d.peers {
		if p.zone == string(zone) && p.reached && p.public != "" {
			if addr, err := netip.ParseAddrPort(p.public); err == nil {
				return addr
			}
		}
	}
	return netip.AddrPort{}
}

// Leave implements catkinrail.BackendRegistry.
func (d *Directory) Leave(name string, born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dir.Leave(name, born, d.now()) == directory.Changed {
		d.cfg.Log.Info().Str("backend", name).Int64("born", born).Msg("backend server left")
		d.wake()
	}
}

func (d *Directory) logIncarnation(inc *catkinrail.Incarnation, text, from string) {
	d.cfg.Log.Info().Str("backend", inc.Name).Str("service", inc.Service).Stringer("address", inc.Addr).
		Str("zone", string(inc.Zone)).Int64("born", inc.StartedAt).Uint64("sequence", inc.Sequence).
		Bool("draining", inc.Draining).Bool("gone", inc.Gone).Str("from", from).Msg(text)
}

// Gossip takes what another control instance tells.
func (d *Directory) Gossip(g *message.Gossip) *message.GossipReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.merge(g.Changed, "gossip", now)
	r := &message.GossipReply{}
	for _, p := range g.Renewals {
		if !d.dir.Renew(p.Name, p.StartedAt, p.Sequence, p.Draining, now) {
			r.Differs = true
		}
	}
	if g.Digest != 0 && g.Digest != d.dir.Digest() {
		r.Differs = true
	}
	if g.Full {
		r.All = d.dir.All(now)
		d.exchangedWhole()
	}
	return r
}

// exchangedWhole notes that a peer has told its whole directory. The caller holds
// mu.
func (d *Directory) exchangedWhole() {
	if d.exchanged {
		return
	}
	d.exchanged = true
	d.wake()
}

// merge takes incarnations that another instance has passed on. The caller
// holds mu.
func (d *Directory) merge(list []catkinrail.Incarnation, from string, now int64) {
	changed := false
	for i := range list {
		if d.dir.Report(&list[i], now, false) == directory.Changed {
			d.logIncarnation(&list[i], "backend server changed", from)
			changed = true
		}
	}
	if changed {
		d.wake()
	}
}

// Since returns what has changed after a revision, the revision of the last change,
// and a channel that is closed at the next change.
func (d *Directory) Since(revision uint64) (list []directory.View, at uint64, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Since(revision, d.now()), d.dir.LastChange(), d.changed
}

// Complete reports whether the directory holds what the others knew when this
// instance started: it has exchanged it with one of them, or is alone.
func (d *Directory) Complete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exchanged || (d.managed && len(d.peers) == 0)
}

// Start runs the directory in the group.
func (d *Directory) Start(ctx context.Context) {
	d.cfg.Group.Go(func() error { return d.manage(ctx) })
	d.cfg.Group.Go(func() error { return d.tick(ctx) })
	if d.cfg.Dir != nil {
		d.cfg.Group.Go(func() error { return d.save(ctx) })
	}
}

// tick looks for backend servers that have fallen silent.
func (d *Directory) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.judge()
		}
	}
}

func (d *Directory) judge() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if held := now - d.ticked; d.ticked != 0 && held > int64(stallTime) {
		d.cfg.Log.Info().Int64("held-ms", held/1e6).Msg("process was held up")
		d.dir.CompensateStall(held)
	}
	d.ticked = now
	if d.partial() {
		// Their reports may have gone to an instance that can't be reached.
		return
	}
	if silent := d.dir.Tick(now); len(silent) > 0 {
		d.cfg.Log.Info().Strs("backends", silent).Dur("after", d.cfg.SilentAfter).Msg("backend servers silent")
		d.wake()
	}
}

// partial reports whether another control instance can't be reached. The caller
// holds mu.
func (d *Directory) partial() bool {
	for _, p := range d.peers {
		if p.member && !p.reached {
			return true
		}
	}
	return false
}
