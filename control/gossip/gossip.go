// Package gossip synchronizes the directory of backend servers with the other
// control instances. It needs no leader, and goes on while the disk is stalled.
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

// Intervals and timeouts.
const (
	// batchDelay is the time between a change and its sending, so that changes
	// that come together are sent in one message.
	batchDelay = 5 * time.Millisecond
	// renewalInterval is the time between two messages that only renew reports: a
	// tenth of the usual time within which a draining backend server must stop
	// getting new flows.
	renewalInterval = 300 * time.Millisecond
	// digestInterval is the time between two comparisons of digests with a peer.
	digestInterval = 2 * time.Second
	// callTimeout bounds a call, so that a connection that no longer delivers
	// anything is replaced well within the time in which a draining backend server
	// must stop getting new flows.
	callTimeout = 600 * time.Millisecond
	// peerRefreshInterval is the time between two updates of the list of peers.
	peerRefreshInterval = 300 * time.Millisecond
	// tickInterval is the time between two checks for silent backend servers.
	tickInterval = 100 * time.Millisecond
	// stallThreshold is the time between two ticks above which this process counts
	// as stalled, rather than the backend servers as silent.
	stallThreshold = 500 * time.Millisecond
	// goneAfter is the time after which a member that can't be reached counts as gone, so that
	// missing reports aren't put down to it. It is longer than the outages that an instance
	// recovers from by itself, such as a freeze or a partition of a few seconds.
	goneAfter = 12 * time.Second
	// saveLogInterval is the least time between two log lines about failures to
	// save the directory.
	saveLogInterval = 10 * time.Second
)

// Config holds the settings and dependencies of a Directory.
type Config struct {
	Self  quorum.Peer
	Clock catkinrail.Clock
	Log   *logs.Logger
	Creds *rpc.Credentials
	Group *errgroup.Group
	// Seeds returns addresses of control instances that may not be members yet.
	Seeds func() []string
	// SilentAfter is the time without a report after which a backend server counts as
	// silent.
	SilentAfter time.Duration
	// ReuseAfter is the least time between the end of a backend server and the reuse of its
	// address.
	ReuseAfter time.Duration
	// Document returns the document in force here, nil if none is known; it must not block.
	Document func() *catkinrail.Document
	// Members returns the members that this instance knows; it must not block.
	Members func() *quorum.Members
	// Dir is where the directory is saved; nil disables saving.
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
	// lastTick is the time of the last tick; zero before the first.
	lastTick int64
	// exchanged is set once this instance has received a peer's whole directory.
	exchanged bool
	// loads is nil if no loads are exchanged.
	loads Loads
	// document is the one whose services are in services.
	document *catkinrail.Document
	services map[string]bool
	// peersKnown is set once the list of peers has been read for the first time.
	peersKnown bool
	// alone is set while this instance is the only member. Its seeds may then have gone for good.
	alone bool
}

// Loads are the loads of backend servers, which control instances exchange together with
// their directories.
type Loads interface {
	// Share returns the message to the control instance at an address in a zone, or nil if
	// there is no load to share.
	Share(addr, zone string) *message.LoadShare
	Merge(m *message.LoadShare)
}

var _ catkinrail.BackendRegistry = (*Directory)(nil)

// New returns a directory that is restored from disk if it has been saved.
func New(cfg Config) *Directory {
	d := &Directory{cfg: cfg, peers: map[string]*peer{}, changed: make(chan struct{})}
	d.dir = directory.New(directory.Config{SilentAfter: cfg.SilentAfter, ReuseAfter: cfg.ReuseAfter, Known: d.knowsService})
	d.load()
	return d
}

// knowsService reports whether the document in force names the service. Without a document all
// services are taken for known. The caller holds mu.
func (d *Directory) knowsService(name string) bool {
	if d.cfg.Document == nil {
		return true
	}
	doc := d.cfg.Document()
	if doc == nil {
		return true
	}
	if doc != d.document {
		d.document, d.services = doc, make(map[string]bool, len(doc.Services))
		for _, service := range doc.Services {
			d.services[service] = true
		}
	}
	return d.services[name]
}

// ExchangeLoads makes the directory exchange loads with the other control instances. It
// must be called before Start.
func (d *Directory) ExchangeLoads(l Loads) {
	d.loads = l
}

func (d *Directory) now() int64 {
	return d.cfg.Clock.Now().UnixNano()
}

// notifyChange wakes all goroutines that wait for a change. The caller holds mu.
func (d *Directory) notifyChange() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Report implements catkinrail.BackendRegistry.
func (d *Directory) Report(inc *catkinrail.Incarnation) netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	outcome := d.dir.Report(inc, d.now(), directory.FromServer)
	if outcome == directory.Changed {
		d.logIncarnation(inc, "backend server changed", d.cfg.Self.Name)
		d.notifyChange()
	}
	return d.controlInZone(inc.Zone)
}

// controlInZone returns the address of the control instance that backend servers
// of a zone should report to. It is invalid if this instance is in the zone itself
// or can reach none there. The caller holds mu.
func (d *Directory) controlInZone(zone catkinrail.Zone) netip.AddrPort {
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
func (d *Directory) Leave(name string, startedAt int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.dir.Leave(name, startedAt, d.now()) == directory.Changed {
		d.cfg.Log.Info().Str("backend", name).Int64("born", startedAt).Msg("backend server left")
		d.notifyChange()
	}
}

func (d *Directory) logIncarnation(inc *catkinrail.Incarnation, text, from string) {
	d.cfg.Log.Info().Str("backend", inc.Name).Str("service", inc.Service).Stringer("address", inc.Addr).
		Str("zone", string(inc.Zone)).Int64("born", inc.StartedAt).Uint64("sequence", inc.Sequence).
		Bool("draining", inc.Draining).Bool("gone", inc.Gone).Str("from", from).Msg(text)
}

// Gossip handles a message from another control instance and returns the reply.
func (d *Directory) Gossip(g *message.Gossip) *message.GossipReply {
	if g.Load != nil && d.loads != nil {
		// Loads read the directory, so that the lock must not be held.
		d.loads.Merge(g.Load)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	source := directory.FromPeer
	if g.Full {
		source = directory.FromCopy
	}
	d.merge(g.Changed, source, "gossip", now)
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
		d.markExchanged()
	}
	return r
}

// markExchanged records that a peer's whole directory was received. The caller
// holds mu.
func (d *Directory) markExchanged() {
	if d.exchanged {
		return
	}
	d.exchanged = true
	d.notifyChange()
}

// merge applies incarnations that another instance has forwarded. The caller
// holds mu.
func (d *Directory) merge(list []catkinrail.Incarnation, source directory.Source, from string, now int64) {
	changed := false
	for i := range list {
		if d.dir.Report(&list[i], now, source) == directory.Changed {
			d.logIncarnation(&list[i], "backend server changed", from)
			changed = true
		}
	}
	if changed {
		d.notifyChange()
	}
}

// Since returns the incarnations that changed after a revision, the revision of the
// last change, and a channel that is closed at the next change.
func (d *Directory) Since(revision uint64) (list []directory.View, at uint64, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.Since(revision, d.now()), d.dir.LastChange(), d.changed
}

// HasZone reports whether the directory holds a backend server of the zone that has not
// ended.
func (d *Directory) HasZone(zone catkinrail.Zone) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dir.HasZone(zone)
}

// Complete reports whether the directory holds what the other control instances
// knew when this one started: it has received the whole directory of one of them,
// or there are no others.
func (d *Directory) Complete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exchanged || d.alone || (d.peersKnown && len(d.peers) == 0)
}

// Start runs the directory's goroutines in the group until ctx ends.
func (d *Directory) Start(ctx context.Context) {
	d.cfg.Group.Go(func() error { return d.managePeers(ctx) })
	d.cfg.Group.Go(func() error { return d.tick(ctx) })
	if d.cfg.Dir != nil {
		d.cfg.Group.Go(func() error { return d.save(ctx) })
	}
}

// tick checks for silent backend servers at an interval, until ctx ends.
func (d *Directory) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.checkSilence()
		}
	}
}

// checkSilence settles contested addresses and marks the backend servers that have not
// reported in time, the latter not while a member can't be reached and may not have gone. Time in
// which this process was stalled doesn't count.
func (d *Directory) checkSilence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if stall := now - d.lastTick; d.lastTick != 0 && stall > int64(stallThreshold) {
		d.cfg.Log.Info().Int64("held-ms", stall/1e6).Msg("process was held up")
		d.dir.CompensateStall(stall)
		for _, p := range d.peers {
			p.reachedAt += stall
		}
	}
	d.lastTick = now
	if d.dir.Settle(now) {
		d.notifyChange()
	}
	if d.memberUnreachable(now) {
		// Missing reports may have gone to an instance that can't be reached.
		return
	}
	if silent := d.dir.Tick(now); len(silent) > 0 {
		d.cfg.Log.Info().Strs("backends", silent).Dur("after", d.cfg.SilentAfter).Msg("backend servers silent")
		d.notifyChange()
	}
}

// memberUnreachable reports whether another member can't be reached, and could be within
// goneAfter. The caller holds mu.
func (d *Directory) memberUnreachable(now int64) bool {
	for _, p := range d.peers {
		if p.mayRun(now) {
			return true
		}
	}
	return false
}
