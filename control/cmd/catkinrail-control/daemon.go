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
	"catkinrail.example/catkinrail/control/evacuation"
	"catkinrail.example/catkinrail/control/follow"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/control/load"
	"catkinrail.example/catkinrail/control/operator"
	"catkinrail.example/catkinrail/control/voter"
	"catkinrail.example/catkinrail/control/warmup"
	"catkinrail.example/catkinrail/coordination/membership"
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

// Intervals and timeouts.
const (
	// joinInterval is the time between two requests to join, joinStepInterval that between two
	// steps of a join that the leader has answered.
	joinInterval      = 200 * time.Millisecond
	joinStepInterval  = 50 * time.Millisecond
	bootstrapInterval = 200 * time.Millisecond
	contactInterval   = 500 * time.Millisecond
	// announceInterval is the time after which features are announced again to a leader that
	// has not recorded them.
	announceInterval = 10 * time.Second
	startTimeout     = 5 * time.Second
	// openInterval is the time between two attempts to open the data folder.
	openInterval = 250 * time.Millisecond
)

// daemon runs a control instance. Its creator sets cfg, log, bootstrap, stopping, stop and
// started; the method run sets the other fields.
type daemon struct {
	cfg *Settings
	log *logs.Logger
	// bootstrap is set if an instance with an empty data folder creates a cluster.
	bootstrap bool
	// stopping ends when the instance is asked to stop, and stop ends it.
	stopping context.Context
	stop     context.CancelFunc
	creds    *rpc.Credentials
	identity *journal.Identity
	dir      *disk.Dir
	clock    *clock.System
	// started is called once the instance has been in contact with a leader, or when it
	// has waited startTimeout for one.
	started func()
	// seedAddrs are the current seeds, which change when the settings are reloaded.
	seedAddrs atomic.Pointer[[]string]
	// contacts belong to the goroutine of keepJoined.
	contacts contacts
}

// self returns this instance's name, zone and addresses as other instances know them.
func (d *daemon) self() quorum.Peer {
	return quorum.Peer{
		Name: d.cfg.Name, Addr: d.cfg.Address, Zone: string(d.cfg.Zone), Public: d.cfg.Public, Features: quorum.AllFeatures,
		Expendable: d.cfg.Expendable,
	}
}

// seeds returns the addresses of control instances in the current settings.
func (d *daemon) seeds() []string {
	return *d.seedAddrs.Load()
}

// setSeeds replaces the seeds by the peers in cfg.
func (d *daemon) setSeeds(cfg *Settings) {
	list := cfg.peerAddrs()
	d.seedAddrs.Store(&list)
}

// reload applies the contents b of the platform's settings file, of which only the seeds can
// change while the instance runs.
func (d *daemon) reload(file string, b []byte) error {
	cfg, err := platformSettings(file, b)
	if err == nil {
		d.setSeeds(cfg)
	}
	return err
}

// run opens the instance's data folder and starts its parts in the group.
func (d *daemon) run(ctx context.Context, g *errgroup.Group) error {
	d.clock = clock.New()
	d.setSeeds(d.cfg)
	var err error
	if d.creds, err = rpc.NewCredentials(d.cfg.TLS); err != nil {
		return err
	}
	if d.creds == nil {
		d.log.Info().Msg("TLS is off; only loopback addresses are accepted")
	}
	var j *journal.Journal
	var stored quorum.Stored
	if err := d.retryOpen(ctx, func() (err error) {
		j, stored, err = d.openStore()
		return err
	}); err != nil {
		return err
	}
	return d.serve(ctx, g, j, stored)
}

// retryOpen calls open again, at an interval, while it fails since the disk is full or doesn't work.
// It ends when the instance is asked to stop: a process that ended instead would be started again
// and again.
func (d *daemon) retryOpen(ctx context.Context, open func() error) error {
	ticker := time.NewTicker(openInterval)
	defer ticker.Stop()
	for attempt := 1; ; attempt++ {
		err := open()
		if err == nil || !disk.Transient(err) {
			return err
		}
		if attempt == 1 {
			d.log.Error(err).Msg("data folder could not be opened; trying again")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.stopping.Done():
			d.stop()
			return context.Canceled
		case <-ticker.C:
		}
	}
}

// openStore opens the data folder and reads the identity and the journal. An initial member with an
// empty log starts from a snapshot that holds the initial members.
func (d *daemon) openStore() (*journal.Journal, quorum.Stored, error) {
	var stored quorum.Stored
	var err error
	if d.dir == nil {
		if d.dir, err = disk.Open(d.cfg.Data); err != nil {
			return nil, stored, err
		}
	}
	if err := d.loadIdentity(); err != nil {
		return nil, stored, err
	}
	j, stored, err := journal.Open(d.dir)
	if err != nil {
		return nil, stored, catkinrail.At(err, "open journal", d.cfg.Data)
	}
	if stored.HardState.Heir != 0 {
		if err := d.renewIdentity(j, &stored); err != nil {
			return nil, stored, errors.Join(err, j.Close())
		}
	}
	if d.isInitialMember() && len(stored.Snapshot.Members.Nodes) == 0 && len(stored.Entries) == 0 {
		stored.Snapshot.Members = *d.initialMembers()
		if err := j.SaveSnapshot(&stored.Snapshot, nil); err != nil {
			return nil, stored, errors.Join(catkinrail.At(err, "bootstrap", d.cfg.Data), j.Close())
		}
	}
	return j, stored, nil
}

// loadIdentity reads the identity in the data folder, or saves a new one there if the
// folder has none.
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
	d.identity = &journal.Identity{Name: d.cfg.Name, Node: newNodeID()}
	if own := d.cfg.ownPeer(); d.bootstrap && own != nil {
		if err := d.refuseSecondBootstrap(); err != nil {
			return err
		}
		d.identity.Node = initialNodeID(own.Name)
	}
	return journal.SaveIdentity(d.dir, d.identity)
}

// renewIdentity gives an instance that has handed its vote over another identity, under which it joins
// again. Its log stays.
func (d *daemon) renewIdentity(j *journal.Journal, stored *quorum.Stored) error {
	d.log.Info().Uint64("node", uint64(d.identity.Node)).Uint64("heir", uint64(stored.HardState.Heir)).
		Msg("the vote was handed over; joining again under another identity")
	d.identity = &journal.Identity{Name: d.cfg.Name, Node: newNodeID()}
	if err := journal.SaveIdentity(d.dir, d.identity); err != nil {
		return err
	}
	stored.HardState = quorum.HardState{Term: stored.HardState.Term}
	return j.Save(&stored.HardState, nil)
}

// newNodeID returns a random identifier, which is never zero.
func newNodeID() quorum.NodeID {
	return quorum.NodeID(rand.Uint64() | 1)
}

// isInitialMember reports whether this instance is one of those that created the
// cluster and still has its data folder of that time.
func (d *daemon) isInitialMember() bool {
	own := d.cfg.ownPeer()
	return own != nil && d.identity.Node == initialNodeID(own.Name)
}

// errBootstrapped means that the cluster has been created before.
var errBootstrapped = errors.New("the cluster exists already; start without --bootstrap")

// refuseSecondBootstrap returns an error if a peer that can be reached has a log
// already. An instance that lost its disk must not come back with its initial
// identity, since its votes and log entries are lost.
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

// initialNodeID returns the node ID of an initial member, which each instance can
// derive from the name. Other node IDs are random.
func initialNodeID(name string) quorum.NodeID {
	h := fnv.New64a()
	h.Write([]byte(name))
	return quorum.NodeID(h.Sum64())
}

// initialMembers returns the members of a new cluster: all peers in the settings.
func (d *daemon) initialMembers() *quorum.Members {
	m := &quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{}}
	for _, p := range d.cfg.Peers {
		m.Nodes[initialNodeID(p.Name)] = quorum.Peer{Name: p.Name, Addr: p.Address}
	}
	return m
}

// serve creates the parts of the instance, connects them and starts them in the group.
func (d *daemon) serve(ctx context.Context, g *errgroup.Group, j *journal.Journal, stored quorum.Stored) error {
	l, err := rpc.Listen(ctx, d.cfg.Listen, d.creds)
	if err != nil {
		return err
	}
	clk := d.clock
	voters := voter.New(ctx, g, d.creds, d.cfg.Address, d.log, clk)
	timing := quorum.DefaultTiming
	timing.NoLease = d.cfg.NoLeases
	c, err := core.New(core.Config{
		ID: d.identity.Node, Name: d.cfg.Name, Timing: timing, Lease: d.cfg.Lease,
		Seed: rand.Uint64(), Clock: clk, Log: d.log, Journal: j, Stored: stored, Send: voters.Send, Learn: voters.Learn, Reconnect: voters.Reconnect,
		Membership: membership.Policy{Tolerated: d.cfg.ToleratedLosses, EvictAfter: d.cfg.EvictAfter},
		Reopen:     func() (*journal.Journal, quorum.Stored, error) { return journal.Open(d.dir) },
	})
	if err != nil {
		return err
	}
	dir := gossip.New(gossip.Config{
		Self: d.self(), Clock: clk, Log: d.log, Creds: d.creds, Group: g, Seeds: d.seeds,
		SilentAfter: d.cfg.SilentAfter, ReuseAfter: d.cfg.ReuseAfter,
		Document: func() *catkinrail.Document { return c.Published().Document },
		Members:  func() *quorum.Members { return c.Published().Members }, Dir: d.dir,
	})
	streams := follow.New(c, dir, clk, d.log)
	reg := metrics.NewRegistry()
	loads := load.New(d.cfg.Address, rand.Uint64(), dir, clk, reg)
	dir.ExchangeLoads(loads)
	lender := warmup.New(warmup.Config{
		Name: d.cfg.Name, Tolerance: d.cfg.warmupTolerance(), Control: c, Directory: dir, Clock: clk, Wall: clock.Wall{},
		Log: d.log, Metrics: reg,
	})
	loads.LendBy(lender)
	zones := evacuation.NewZones(c, d.cfg.Zones, dir, streams)
	if d.cfg.Public == "" {
		// No backend server reports to this instance, so its directory is always empty.
		zones = evacuation.NewZones(c, d.cfg.Zones, nil, streams)
	}
	mux := drpcmux.New()
	err = errors.Join(
		control.DRPCRegisterControl(mux, entry.New(c, dir, streams, loads)),
		api.DRPCRegisterOperator(mux, operator.New(d.cfg.Name, c, dir, streams, zones, loads, clk)),
	)
	if err != nil {
		return err
	}
	c.Start(ctx, g)
	g.Go(func() error { return rpc.Serve(ctx, l, mux) })
	g.Go(func() error { return lender.Run(ctx) })
	g.Go(func() error { return d.keepJoined(ctx, c, voters) })
	g.Go(func() error { return d.awaitContact(ctx, streams) })
	if d.cfg.Metrics != "" {
		g.Go(func() error { return d.serveMetrics(ctx, c, loads, reg) })
	}
	if d.cfg.Public != "" {
		dir.Start(ctx)
		clients := rpc.NewPool(d.creds)
		documents := document.New(c, clients, clk, reg)
		evacuations := evacuation.New(c, clients, zones, documents, clk, reg)
		h := platform.ControlHandler(dir, documents, evacuations, clk, d.log)
		g.Go(func() error { return metricspage.ServeHTTP(ctx, d.cfg.Public, h) })
	}
	d.log.Info().Str("address", d.cfg.Address).Uint64("node", uint64(d.identity.Node)).Msg("started")
	return nil
}

// awaitContact calls d.started once the instance is in contact with a leader, but after
// startTimeout at the latest.
func (d *daemon) awaitContact(ctx context.Context, streams *follow.Server) error {
	ticker := time.NewTicker(contactInterval)
	defer ticker.Stop()
	for waited := time.Duration(0); waited < startTimeout && !streams.InContact(); waited += contactInterval {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
	d.started()
	return nil
}

// keepJoined requests to join, at an interval, while this instance isn't a voter with
// its own name and addresses. It also does so while the instance is out of contact
// with a leader, since it may have been removed in that time. After an upgrade it
// announces its features in the same way. A leader of an older build does nothing about that;
// the next leader is asked, or the same one after announceInterval. When the instance is asked
// to stop, it leaves and ends the instance.
func (d *daemon) keepJoined(ctx context.Context, c *core.Core, v *voter.Transport) error {
	req := &message.JoinRequest{Node: d.identity.Node, Peer: d.self()}
	joining, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.stopping, cancel)()
	timer := time.NewTimer(0)
	defer timer.Stop()
	l := &joinLog{log: d.log}
	var refusedTerm uint64
	var refusedAt time.Time
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-d.stopping.Done():
			d.leave(ctx, c, v, req)
			d.stop()
			return nil
		case <-timer.C:
		}
		interval := joinInterval
		term, now := c.Published().Term, d.clock.Now()
		joined, outcome := c.Joined(req.Peer), joinDone
		if !joined {
			outcome = d.requestJoin(joining, c, v, req, i)
		}
		l.update(now, roleOf(c.Published(), outcome), d.seeds(), &d.contacts)
		switch {
		case !joined:
			if outcome == joinPending {
				interval = joinStepInterval
			}
		case c.Announced(req.Peer):
		case term == refusedTerm && now.Sub(refusedAt) < announceInterval:
		case d.requestJoin(joining, c, v, req, toLeader) == joinDone:
			refusedTerm, refusedAt = term, now
		}
		timer.Reset(interval)
	}
}

// roleOf returns "voter" or "learner" if the instance has joined, and an empty string if the
// outcome of its request to join leaves open whether it has.
func roleOf(state *core.PublishedState, outcome joinOutcome) string {
	switch {
	case outcome == joinFailed:
		return ""
	case state.Members.Learners[state.Node]:
		return "learner"
	case outcome == joinDone && state.Members.Voter(state.Node):
		return "voter"
	}
	return ""
}

// leave waits, for the leave timeout, until it is settled what becomes of this instance's vote, since the
// instance may never be back: it asks the leader to take the vote and, while none is known, hands it to another
// voter.
func (d *daemon) leave(ctx context.Context, c *core.Core, v *voter.Transport, req *message.JoinRequest) {
	if d.cfg.EvictAfter <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.LeaveTimeout)
	var decided atomic.Bool
	var g errgroup.Group
	defer func() { _ = g.Wait() }()
	defer cancel()
	g.Go(func() error {
		d.askToLeave(ctx, c, v, req, &decided)
		return nil
	})
	began := d.clock.Now()
	ticker := time.NewTicker(joinStepInterval)
	defer ticker.Stop()
	for {
		stop := membership.Stop{Timeout: d.cfg.LeaveTimeout, Waited: d.clock.Now().Sub(began), Decided: decided.Load()}
		stop, err := c.ContinueStop(ctx, stop)
		if err == nil && stop.Next() != membership.End {
			select {
			case <-ticker.C:
				continue
			case <-ctx.Done():
			}
		}
		if stop.Decided || stop.HandedOver {
			d.log.Info().Dur("wait-ms", stop.Waited).Bool("handed-over", stop.HandedOver).Msg("the vote is settled; stopping")
			return
		}
		d.log.Warn(err).Dur("wait-ms", d.clock.Now().Sub(began)).Dur("since-leader-ms", stop.SinceLeader).
			Msg("stopping before it is known whether the vote was given up")
		return
	}
}

// askToLeave sends requests to leave until a leader has decided about the vote or ctx ends.
func (d *daemon) askToLeave(ctx context.Context, c *core.Core, v *voter.Transport, req *message.JoinRequest, decided *atomic.Bool) {
	leaving := &message.JoinRequest{Node: req.Node, Peer: req.Peer, Stopping: true}
	ticker := time.NewTicker(joinStepInterval)
	defer ticker.Stop()
	for attempt := 1; ; attempt++ {
		asked := toLeader
		if c.Published().Leader == 0 {
			asked = attempt
		}
		if d.requestJoin(ctx, c, v, leaving, asked) == joinDone {
			decided.Store(true)
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// joinOutcome is the outcome of a request to join or leave.
type joinOutcome uint8

// Outcomes of a request.
const (
	// joinFailed is a request without an answer, or whose answer named no leader.
	joinFailed joinOutcome = iota
	// joinPending is a request that must be sent to the leader, for the first time or again.
	joinPending
	// joinDone is a request after which nothing is left to do.
	joinDone
)

// toLeader is the number of an attempt that goes to the leader.
const toLeader = 0

// requestJoin sends a request to join or leave. Even attempts go to the leader if one is
// known and answers, the others to the known instances in turn. A leader sends it to itself,
// so that its own name and addresses get updated.
func (d *daemon) requestJoin(ctx context.Context, c *core.Core, v *voter.Transport, req *message.JoinRequest, attempt int) joinOutcome {
	state := c.Published()
	if state.Leader == state.Node {
		reply, err := c.Join(ctx, req)
		if err != nil {
			d.log.Debug().Err(err).Msg("join request to itself failed")
			return joinFailed
		}
		return outcomeOf(reply.RetryLater)
	}
	known := slices.Clone(d.seeds())
	for _, id := range cluster.SortedKeys(state.Members.Nodes) {
		known = append(known, state.Members.Nodes[id].Addr)
	}
	known = append(known, v.Addrs()...)
	var leaders []string
	named := v.LeaderAddr()
	if attempt%2 == 0 {
		leaders = append(leaders, state.Members.Nodes[state.Leader].Addr, named)
	} else {
		known = append(known, named)
	}
	unusable := func(addr string) bool { return addr == "" || addr == d.cfg.Address }
	leaders, known = slices.DeleteFunc(leaders, unusable), slices.DeleteFunc(known, unusable)
	return d.ask(ctx, v, req, d.contacts.next(leaders, known))
}

// ask sends the request to all addresses, and returns the first outcome that is not joinFailed.
func (d *daemon) ask(ctx context.Context, v *voter.Transport, req *message.JoinRequest, addrs []string) joinOutcome {
	type result struct {
		addr  string
		reply *message.JoinReply
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	defer func() { _ = g.Wait() }()
	defer cancel()
	results := make(chan result, len(addrs))
	for _, addr := range addrs {
		g.Go(func() error {
			reply, err := v.Join(ctx, addr, req)
			results <- result{addr, reply, err}
			return nil
		})
	}
	for range addrs {
		r := <-results
		if ctx.Err() != nil && r.err != nil {
			return joinFailed
		}
		if r.err != nil {
			d.contacts.record(r.addr, "", r.err)
			d.log.Debug().Err(r.err).Str("peer", r.addr).Msg("join request failed")
			continue
		}
		leader := r.reply.Members.Nodes[r.reply.Leader].Addr
		d.contacts.record(r.addr, leader, nil)
		if !r.reply.RetryLater {
			return joinDone
		}
		// An instance that is out of contact itself names a leader that is gone.
		if leader != "" && !d.contacts.failed(leader) {
			return joinPending
		}
	}
	return joinFailed
}

func outcomeOf(retryLater bool) joinOutcome {
	if retryLater {
		return joinPending
	}
	return joinDone
}

// serveMetrics serves the metrics and health pages until ctx ends. The instance is
// ready while it knows a leader.
func (d *daemon) serveMetrics(ctx context.Context, c *core.Core, loads *load.Server, reg metrics.Registry) error {
	version := metrics.GetOrRegisterGauge("version", reg)
	commit := metrics.GetOrRegisterGauge("commit-index", reg)
	term := metrics.GetOrRegisterGauge("term", reg)
	leading := metrics.GetOrRegisterGauge("leading", reg)
	moves := metrics.GetOrRegisterGauge("moves", reg)
	instances := metrics.GetOrRegisterGauge("instances", reg)
	ready := func() error {
		loads.UpdateMetrics()
		updateVoteMetrics(c.Votes(), reg)
		err := c.NoLeaderError()
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

// updateVoteMetrics sets the gauges of the votes.
func updateVoteMetrics(r *core.VoteReport, reg metrics.Registry) {
	for _, g := range []struct {
		name  string
		value int64
	}{
		{"voters", int64(len(r.Voters))},
		{"learners", int64(len(r.Learners))},
		{"voters-silent", int64(r.Silent())},
		{"votes-missing", int64(r.Missing())},
		{"losses-left", int64(r.LossesLeft)},
		{"leaderless-ms", r.Leaderless.Milliseconds()},
	} {
		metrics.GetOrRegisterGauge(g.name, reg).Update(g.value)
	}
}
