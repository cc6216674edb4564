package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/control/document"
	"catkinrail.example/catkinrail/control/entry"
	"catkinrail.example/catkinrail/control/follow"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/control/operator"
	"catkinrail.example/catkinrail/control/voter"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/platform"
	"catkinrail.example/catkinrail/protocol/api"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/protocol/metricspage"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/state/journal"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/disk"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Timing of joining.
const (
	joinInterval      = 200 * time.Millisecond
	bootstrapInterval = 200 * time.Millisecond
)

// daemon ties a control instance's parts together.
type daemon struct {
	cfg       *Settings
	log       *logs.Logger
	bootstrap bool
	creds     *rpc.Credentials
	identity  *journal.Identity
	dir       *disk.Dir
	clock     *clock.System
	// peers are the present seeds, which may change with the settings.
	peers atomic.Pointer[[]string]
}

// self says how others reach this instance.
func (d *daemon) self() quorum.Peer {
	return quorum.Peer{Name: d.cfg.Name, Addr: d.cfg.Address, Zone: string(d.cfg.Zone), Public: d.cfg.Public}
}

// seeds returns the addresses through which other instances can be found.
func (d *daemon) seeds() []string {
	return *d.peers.Load()
}

// setSeeds replaces them.
func (d *daemon) setSeeds(cfg *Settings) {
	list := cfg.peerAddrs()
	d.peers.Store(&list)
}

func (d *daemon) run(ctx context.Context, g *errgroup.Group) error {
	d.clock = clock.New()
	d.setSeeds(d.cfg)
	var err error
	if d.creds, err = rpc.NewCredentials(d.cfg.TLS); err != nil {
		return err
	}
	if d.creds == nil {
		d.log.Info().Msg("TLS is off: for trials on loopback only")
	}
	if d.dir, err = disk.Open(d.cfg.Data); err != nil {
		return err
	}
	if err := d.loadIdentity(); err != nil {
		return err
	}
	j, stored, err := journal.Open(d.dir)
	if err != nil {
		return catkinrail.At(err, "open journal", d.cfg.Data)
	}
	if d.initial() && len(stored.Snapshot.Members.Nodes) == 0 && len(stored.Entries) == 0 {
		stored.Snapshot.Members = *d.initialMembers()
		if err := j.SaveSnapshot(&stored.Snapshot, nil); err != nil {
			return catkinrail.At(err, "bootstrap", d.cfg.Data)
		}
	}
	return d.serve(ctx, g, j, stored)
}

// loadIdentity reads the folder's identity or gives a new folder one.
func (d *daemon) loadIdentity() error {
	var err error
	d.identity, err = journal.LoadIdentity(d.dir)
	if err != nil {
		return catkinrail.At(err, "read identity", d.cfg.Data)
	}
	if d.identity != nil {
		if d.identity.Name != d.cfg.Name {
			return fmt.Errorf("data folder %s belongs to instance %q, not %q", d.cfg.Data, d.identity.Name, d.cfg.Name)
		}
		return nil
	}
	d.identity = &journal.Identity{Name: d.cfg.Name, Node: quorum.NodeID(rand.Uint64() | 1)}
	if own := d.cfg.ownPeer(); d.bootstrap && own != nil {
		if err := d.refuseSecondBootstrap(); err != nil {
			return err
		}
		d.identity.Node = initialID(own.Name)
	}
	return journal.SaveIdentity(d.dir, d.identity)
}

// initial reports whether this instance began with the cluster and still has the
// folder that it began with.
func (d *daemon) initial() bool {
	own := d.cfg.ownPeer()
	return own != nil && d.identity.Node == initialID(own.Name)
}

// errBootstrapped reports a cluster that has begun already.
var errBootstrapped = errors.New("the cluster has begun already; start without --bootstrap")

// refuseSecondBootstrap makes sure that no peer has a log yet. An instance that
// lost its disk must not come back under its first identity.
func (d *daemon) refuseSecondBootstrap() error {
	if d.cfg.firstStart {
		return nil
	}
	for _, p := range d.cfg.Peers {
		if p.Name == d.cfg.Name {
			continue
		}
		g, err := voter.Hello(context.Background(), p.Address, d.creds)
		if err == nil && g.LastIndex > 0 {
			return catkinrail.At(errBootstrapped, "bootstrap", p.Name)
		}
	}
	return nil
}

// initialID is the identity of a peer that began with the cluster.
func initialID(name string) quorum.NodeID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return quorum.NodeID(h.Sum64())
}

func (d *daemon) initialMembers() *quorum.Members {
	m := &quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{}}
	for _, p := range d.cfg.Peers {
		m.Nodes[initialID(p.Name)] = quorum.Peer{Name: p.Name, Addr: p.Address}
	}
	return m
}

func (d *daemon) serve(ctx context.Context, g *errgroup.Group, j *journal.Journal, stored quorum.Stored) error {
	l, err := rpc.Listen(ctx, d.cfg.Listen, d.creds)
	if err != nil {
		return err
	}
	clk := d.clock
	voters := voter.New(ctx, g, d.creds, d.log, clk)
	timing := quorum.DefaultTiming
	timing.NoLease = d.cfg.NoLeases
	c, err := core.New(core.Config{
		ID: d.identity.Node, Name: d.cfg.Name, Timing: timing, Lease: d.cfg.Lease,
		Seed: rand.Uint64(), Clock: clk, Log: d.log, Journal: j, Stored: stored, Send: voters.Send,
		EvictAfter: d.cfg.EvictAfter,
		Reopen:     func() (*journal.Journal, quorum.Stored, error) { return journal.Open(d.dir) },
	})
	if err != nil {
		return err
	}
	dir := gossip.New(gossip.Config{
		Self: d.self(), Clock: clk, Log: d.log, Creds: d.creds, Group: g, Seeds: d.seeds,
		SilentAfter: d.cfg.SilentAfter, Members: func() *quorum.Members { return c.Snapshot().Members }, Dir: d.dir,
	})
	streams := follow.New(c, dir, clk, d.log)
	mux := drpcmux.New()
	err = errors.Join(
		control.DRPCRegisterControl(mux, entry.New(c, dir, streams)),
		api.DRPCRegisterOperator(mux, operator.New(d.cfg.Name, c, dir, streams, clk)),
	)
	if err != nil {
		return err
	}
	c.Start(ctx, g)
	g.Go(func() error { return rpc.Serve(ctx, l, mux) })
	g.Go(func() error { return d.join(ctx, c, voters) })
	reg := metrics.NewRegistry()
	if d.cfg.Metrics != "" {
		g.Go(func() error { return d.serveMetrics(ctx, c, reg) })
	}
	if d.cfg.Public != "" {
		dir.Start(ctx)
		store := document.New(c, rpc.NewPool(d.creds), clk, reg)
		h := platform.ControlHandler(dir, store, clk, d.log)
		g.Go(func() error { return metricspage.ServeHTTP(ctx, d.cfg.Public, h) })
	}
	d.log.Info().Str("address", d.cfg.Address).Uint64("node", uint64(d.identity.Node)).Msg("started")
	return nil
}

// join asks for a vote whenever this instance has none, and when it hears of no
// leader: it may have been removed while it was away.
func (d *daemon) join(ctx context.Context, c *core.Core, v *voter.Transport) error {
	req := &message.JoinRequest{Node: d.identity.Node, Peer: d.self()}
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		if !c.Joined(req.Peer) {
			d.askToJoin(ctx, c, v, req, i)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// askToJoin asks the leader, if one is known, or else one instance after the
// other.
func (d *daemon) askToJoin(ctx context.Context, c *core.Core, v *voter.Transport, req *message.JoinRequest, attempt int) {
	snap := c.Snapshot()
	if snap.Leader == snap.Node {
		if _, err := c.Join(ctx, req); err != nil {
			d.log.Debug().Err(err).Msg("own addresses not told yet")
		}
		return
	}
	known := slices.Clone(d.seeds())
	for _, id := range cluster.SortedKeys(snap.Members.Nodes) {
		if addr := snap.Members.Nodes[id].Addr; !slices.Contains(known, addr) {
			known = append(known, addr)
		}
	}
	addr := known[attempt%len(known)]
	if leader, ok := snap.Members.Nodes[snap.Leader]; ok && attempt%2 == 0 {
		addr = leader.Addr
	} else if named := v.LeaderAddr(); named != "" && attempt%2 == 0 {
		addr = named
	}
	if addr == d.cfg.Address {
		return
	}
	if _, err := v.Join(ctx, addr, req); err != nil {
		d.log.Debug().Err(err).Str("peer", addr).Msg("not joined yet")
	}
}

// serveMetrics serves metrics and health. The instance is ready while it knows a
// leader.
func (d *daemon) serveMetrics(ctx context.Context, c *core.Core, reg metrics.Registry) error {
	version := metrics.GetOrRegisterGauge("version", reg)
	commit := metrics.GetOrRegisterGauge("commit-index", reg)
	term := metrics.GetOrRegisterGauge("term", reg)
	leading := metrics.GetOrRegisterGauge("leading", reg)
	moves := metrics.GetOrRegisterGauge("moves", reg)
	instances := metrics.GetOrRegisterGauge("instances", reg)
	ready := func() error {
		err := errors.New("no leader is known")
		localErr := c.Local(ctx, func(s *cluster.State, status *core.Status) {
			version.Update(int64(s.Version))
			commit.Update(int64(status.Commit))
			term.Update(int64(status.Term))
			moves.Update(int64(len(s.Moves)))
			instances.Update(int64(len(s.Instances)))
			leading.Update(0)
			if status.Leading {
				leading.Update(1)
			}
			if status.Leader != "" {
				err = nil
			}
		})
		return errors.Join(localErr, err)
	}
	return metricspage.Serve(ctx, d.cfg.Metrics, "catkinrail_control", reg, ready)
}
