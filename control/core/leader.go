package core

import (
	"context"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/burn"
	"catkinrail.example/catkinrail/state/cluster"
)

// Timeouts and intervals of the leader.
const (
	// announceTimeout is the age of a backend server's last announcement from which
	// it gets no new flows.
	announceTimeout = 12 * time.Second
	// expireTimeout is the age of a backend server's last announcement from which it
	// counts as ended and its flows as lost.
	expireTimeout = 10 * time.Minute
	// imbalanceInterval is the time between two measurements of imbalance.
	imbalanceInterval = 10 * time.Second
	// leaseDriftDivisor allows for clocks that run at different rates: by the leader's
	// clock, a lease may last longer by a part of 1/leaseDriftDivisor.
	leaseDriftDivisor = 10
)

// leaderState is what only the leader keeps. It is reset at the start of a term,
// except for the meters. Times are in nanoseconds of the clock.
type leaderState struct {
	term      uint64
	active    bool
	planner   *plan.Planner
	instances map[catkinrail.InstanceID]*entryState
	// announcedAt is the time of the last announcement of each backend server.
	announcedAt map[catkinrail.BackendID]int64
	meters      map[catkinrail.ServiceID]*burn.Meter
	// openedFlows counts the flows opened on each slot since the last measurement of
	// imbalance.
	openedFlows map[catkinrail.SlotID]uint64
	// measuredAt is the time of the last measurement of imbalance.
	measuredAt int64
	// plannedAt is the time of the last planning round.
	plannedAt int64
	// holding is set while pending changes wait for a decision about a silent voter.
	holding bool
}

// entryState is what the leader keeps about an entry instance.
type entryState struct {
	// leaseEnd is the time up to which the instance may hold a lease.
	leaseEnd int64
	// currentAt is the time at which the instance last had the latest version.
	currentAt int64
	status    plan.InstanceStatus
	leaving   bool
}

// update sets whether this instance leads, and starts a term when it is new.
func (l *leaderState) update(c *Core, now int64) {
	if !c.node.Leading(now) {
		l.active = false
		return
	}
	l.active = true
	if l.term != c.node.Term() {
		l.startTerm(c, now)
	}
}

// startTerm resets the state for a new term. An earlier leader may have granted
// leases until just now, so every registered entry instance counts as holding one.
func (l *leaderState) startTerm(c *Core, now int64) {
	meters := l.meters
	*l = leaderState{
		term: c.node.Term(), active: true, planner: plan.NewPlanner(),
		instances:   map[catkinrail.InstanceID]*entryState{},
		announcedAt: map[catkinrail.BackendID]int64{},
		meters:      meters,
		openedFlows: map[catkinrail.SlotID]uint64{},
	}
	if l.meters == nil {
		l.meters = map[catkinrail.ServiceID]*burn.Meter{}
	}
	for id := range c.state.Instances {
		l.instances[id] = &entryState{leaseEnd: now + l.maxLease(c), currentAt: now}
	}
	for id := range c.state.Backends {
		l.announcedAt[id] = now
	}
	c.cfg.Log.Info().Uint64("term", l.term).Uint64("version", c.state.Version).Msg("became leader")
}

// maxLease returns the longest time, in nanoseconds of the leader's clock, for which
// a lease granted now may be held.
func (l *leaderState) maxLease(c *Core) int64 {
	return int64(c.cfg.Lease + c.cfg.Lease/leaseDriftDivisor)
}

// plan proposes the next step of moves and views, or else the changes for backend
// servers whose announcements stopped.
func (l *leaderState) plan(c *Core, now int64) {
	l.measureImbalance(c, now)
	if now-l.plannedAt < int64(planInterval) || c.inFlight != nil {
		return
	}
	l.compensateStall(c, now)
	l.plannedAt = now
	statuses := make(map[catkinrail.InstanceID]plan.InstanceStatus, len(l.instances))
	for id, e := range l.instances {
		if c.state.Instances[id] == nil {
			delete(l.instances, id)
			continue
		}
		status := e.status
		status.Leased = now < e.leaseEnd
		statuses[id] = status
	}
	l.planner.Observe(statuses)
	events := l.planner.Next(c.state, time.Unix(0, now))
	if len(events) == 0 {
		events = l.expire(c, now)
	}
	if len(events) > 0 {
		c.propose(&proposal{evaluate: evaluatePlan(func(*cluster.State) []cluster.Event { return events })})
	}
}

// stallThreshold is the time between two planning rounds from which this instance
// counts as stalled, rather than the entry instances as silent.
const stallThreshold = 500 * time.Millisecond

// compensateStall extends leases and the times of announcements after this instance
// was stalled: heartbeats may be queued that it has not processed.
func (l *leaderState) compensateStall(c *Core, now int64) {
	if l.plannedAt == 0 || now-l.plannedAt < int64(stallThreshold) {
		return
	}
	stall := now - l.plannedAt
	for _, e := range l.instances {
		e.leaseEnd = max(e.leaseEnd, now+l.maxLease(c))
	}
	for id := range l.announcedAt {
		l.announcedAt[id] += stall
	}
}

// expire returns the events for backend servers whose announcements stopped. After
// announceTimeout a backend server gets no new flows but keeps its open ones; after
// expireTimeout it is ended.
func (l *leaderState) expire(c *Core, now int64) []cluster.Event {
	var silent, expired []catkinrail.BackendID
	for _, id := range cluster.SortedKeys(c.state.Backends) {
		b := c.state.Backends[id]
		at, ok := l.announcedAt[id]
		if !ok {
			l.announcedAt[id] = now
			continue
		}
		age := time.Duration(now - at)
		switch {
		case b.State == catkinrail.BackendGone:
		case age > expireTimeout:
			expired = append(expired, id)
		case age > announceTimeout && b.State == catkinrail.BackendActive:
			silent = append(silent, id)
		}
	}
	if len(expired) > 0 {
		return plan.Expire(c.state, expired)
	}
	return plan.EjectSilent(c.state, silent)
}

// Heartbeat handles a heartbeat of an entry instance: it renews the lease and
// returns the changes that the instance lacks. The channel is closed at the next
// change.
func (c *Core) Heartbeat(ctx context.Context, hb *message.Heartbeat) (*message.HeartbeatReply, <-chan struct{}, error) {
	var reply *message.HeartbeatReply
	var changed <-chan struct{}
	var result error
	if err := c.do(ctx, func() {
		reply, result = c.heartbeat(hb)
		changed = c.changed
	}); err != nil {
		return nil, nil, err
	}
	return reply, changed, result
}

func (c *Core) heartbeat(hb *message.Heartbeat) (*message.HeartbeatReply, error) {
	now := c.now()
	if !c.leader.active || !c.node.Leading(now) {
		return nil, c.leaderError()
	}
	if c.cfg.Timing.NoLease {
		return nil, ErrLeasesDisabled
	}
	reply := &message.HeartbeatReply{Term: c.node.Term(), Lease: c.cfg.Lease}
	if c.state.Instances[hb.ID] == nil {
		reply.Unregistered = true
		return reply, nil
	}
	c.leader.recordHeartbeat(c, hb, now)
	reply.Changes, reply.State = c.changesSince(hb.StateVersion)
	if at := c.node.MembersIndex(); at != hb.Members {
		reply.Members = at
		for _, id := range cluster.SortedKeys(c.node.Members().Nodes) {
			reply.Control = append(reply.Control, c.node.Members().Nodes[id].Addr)
		}
	}
	return reply, nil
}

// recordHeartbeat renews the sender's lease, records what the heartbeat reports and
// queues the changes that follow from it.
func (l *leaderState) recordHeartbeat(c *Core, hb *message.Heartbeat, now int64) {
	e := l.instances[hb.ID]
	if e == nil {
		e = &entryState{currentAt: now}
		l.instances[hb.ID] = e
	}
	e.leaseEnd = max(e.leaseEnd, now+l.maxLease(c))
	e.status = plan.InstanceStatus{Version: hb.StateVersion, Synced: hb.Synced, Busy: hb.Busy}
	if hb.StateVersion >= c.state.Version {
		e.currentAt = now
	}
	if hb.Leaving && !e.leaving {
		e.leaving = true
		c.enqueue(func(s *cluster.State) []cluster.Event { return plan.Leave(s, hb.ID) })
	}
	if hb.Left {
		c.enqueue(func(s *cluster.State) []cluster.Event { return plan.CompleteLeave(s, hb.ID) })
	}
	for id, buckets := range hb.Exceptions {
		c.enqueue(func(s *cluster.State) []cluster.Event { return plan.PrepareExceptions(s, id, buckets) })
	}
	for i := range hb.Announcements {
		l.recordAnnouncement(c, &hb.Announcements[i], now)
	}
	l.addCounts(c, hb, now)
}

// enqueue queues a proposal whose result nobody waits for.
func (c *Core) enqueue(events func(*cluster.State) []cluster.Event) {
	c.pending = append(c.pending, &proposal{evaluate: evaluatePlan(events)})
}

// recordAnnouncement records the time of an announcement and queues the changes that
// it calls for.
func (l *leaderState) recordAnnouncement(c *Core, a *plan.Announcement, now int64) {
	if svc := c.state.ServiceByName(a.Service); svc != nil {
		if b := c.state.BackendByName(svc.ID, a.Name); b != nil && b.Incarnation == a.Incarnation {
			l.announcedAt[b.ID] = now
		}
	}
	events, err := plan.Announce(c.state, a)
	if err != nil {
		c.cfg.Log.Warn(catkinrail.At(err, "announce", a.Name)).Msg("announcement ignored")
		return
	}
	if len(events) == 0 {
		return
	}
	c.enqueue(func(s *cluster.State) []cluster.Event {
		events, err := plan.Announce(s, a)
		if err != nil {
			return nil
		}
		return events
	})
}

// addCounts adds the flow counts of a heartbeat to the meters.
func (l *leaderState) addCounts(c *Core, hb *message.Heartbeat, now int64) {
	for id, n := range hb.Counts {
		if c.state.Services[id] == nil {
			continue
		}
		m := l.meter(id)
		m.Add(time.Unix(0, now), burn.Counts{Flows: n.Opened, Broken: n.Unrecorded, Refused: n.Refused})
		for slot, opened := range n.BySlot {
			l.openedFlows[slot] += opened
		}
	}
}

// meter returns the service's meter, which it creates if there is none.
func (l *leaderState) meter(id catkinrail.ServiceID) *burn.Meter {
	m := l.meters[id]
	if m == nil {
		m = burn.NewMeter()
		l.meters[id] = m
	}
	return m
}

// measureImbalance samples each service's imbalance from the flows opened since the
// last measurement.
func (l *leaderState) measureImbalance(c *Core, now int64) {
	if now-l.measuredAt < int64(imbalanceInterval) {
		return
	}
	l.measuredAt = now
	for id, svc := range c.state.Services {
		excess, ok := imbalance(c.state.BackendsOf(id), l.openedFlows)
		if !ok {
			continue
		}
		sample := burn.Counts{Samples: 1, ImbalanceSum: excess}
		if bound := svc.Config.Objective.ImbalancePercent; bound > 0 && excess > float64(bound) {
			sample.Beyond = 1
		}
		l.meter(id).Add(time.Unix(0, now), sample)
	}
	clear(l.openedFlows)
}

// minFlowsPerBackend is the mean number of flows opened per backend server below
// which chance alone would dominate a sample of the imbalance.
const minFlowsPerBackend = 50

// imbalance returns by how many percent the most loaded active backend server
// exceeds the mean, by flows opened per weight and slot. It returns false if there
// are fewer than two backend servers or too few flows.
func imbalance(backends []*catkinrail.Backend, opened map[catkinrail.SlotID]uint64) (float64, bool) {
	var loads []float64
	total, flows := 0.0, uint64(0)
	for _, b := range backends {
		if b.State != catkinrail.BackendActive || b.Weight == 0 {
			continue
		}
		sum := uint64(0)
		for i := range b.Slots {
			sum += opened[catkinrail.MakeSlotID(b.ID, i)]
		}
		flows += sum
		load := float64(sum) / float64(int(b.Weight)*len(b.Slots))
		loads = append(loads, load)
		total += load
	}
	if len(loads) < 2 || flows < minFlowsPerBackend*uint64(len(loads)) {
		return 0, false
	}
	mean := total / float64(len(loads))
	return (slices.Max(loads)/mean - 1) * 100, true
}

// changesSince returns the changes after a version, or the whole state if some of
// them are no longer kept.
func (c *Core) changesSince(have uint64) ([]cluster.Change, *cluster.State) {
	if have >= c.state.Version {
		return nil, nil
	}
	if list, ok := c.changes.since(have); ok {
		return list, nil
	}
	s := *c.state
	// Entry instances don't need the answers to operators' requests.
	s.Answers = nil
	clone, err := s.Clone()
	if err != nil {
		c.cfg.Log.Error(catkinrail.At(err, "encode state", "")).Msg("state not sent to entry instance")
		return nil, nil
	}
	return nil, clone
}

// Status is the status of a control instance as shown to operators.
type Status struct {
	Term, Commit uint64
	// Leader is the leader's name, empty if it isn't known.
	Leader  string
	Node    quorum.NodeID
	Members *quorum.Members
	// Match gives the last index of this instance's log and, on the leader, the index
	// up to which the log of each other member is known to agree.
	Match map[quorum.NodeID]uint64
	// Leading is set on the leader.
	Leading bool
	Entries map[catkinrail.InstanceID]EntryStatus
	Burn    map[catkinrail.ServiceID][]burn.Report
}

// EntryStatus is the status of an entry instance as shown to operators.
type EntryStatus struct {
	Leased  bool
	Version uint64
	// Lag is the time since the instance last had the latest version; zero while it
	// has that version.
	Lag time.Duration
}

func (c *Core) status() *Status {
	now := c.now()
	s := &Status{
		Term: c.node.Term(), Commit: c.node.CommitIndex(), Node: c.node.ID(), Members: c.node.Members(),
		Match: map[quorum.NodeID]uint64{}, Leading: c.leader.active,
		Entries: map[catkinrail.InstanceID]EntryStatus{},
		Burn:    map[catkinrail.ServiceID][]burn.Report{},
	}
	s.Leader = s.Members.Nodes[c.node.LeaderID()].Name
	for id := range s.Members.Nodes {
		s.Match[id] = c.node.MatchIndex(id)
	}
	s.Match[c.node.ID()] = c.node.LastIndex()
	for id, e := range c.leader.instances {
		status := EntryStatus{Leased: now < e.leaseEnd, Version: e.status.Version}
		if e.status.Version < c.state.Version {
			status.Lag = time.Duration(now - e.currentAt)
		}
		s.Entries[id] = status
	}
	for id, m := range c.leader.meters {
		if svc := c.state.Services[id]; svc != nil {
			s.Burn[id] = m.Evaluate(time.Unix(0, now), svc.Config.Objective)
		}
	}
	return s
}
