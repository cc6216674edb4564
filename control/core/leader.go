package core

import (
	"context"
	"errors"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/burn"
	"catkinrail.example/catkinrail/state/cluster"
)

// Times after which a backend server that stays silent is taken out.
const (
	// announceTimeout is the age of the last announcement from which a backend
	// server gets no new flows.
	announceTimeout = 12 * time.Second
	// forgetTimeout is the age from which its flows count as lost.
	forgetTimeout = 10 * time.Minute
	// imbalanceInterval is the time between two measurements of imbalance.
	imbalanceInterval = 10 * time.Second
	// leaseDriftShare is the part of a lease by which clock rates may deviate.
	leaseDriftShare = 10
)

// leaderState is what only the leader knows. It begins anew with every term.
type leaderState struct {
	term    uint64
	active  bool
	planner *plan.Planner
	members map[catkinrail.InstanceID]*entryState
	// announced is the time of the last announcement of each backend server.
	announced map[catkinrail.BackendID]int64
	meters    map[catkinrail.ServiceID]*burn.Meter
	opened    map[catkinrail.SlotID]uint64
	measured  int64
	planned   int64
}

// entryState is what the leader knows of an entry instance.
type entryState struct {
	// until is the time up to which the instance may hold a lease.
	until int64
	// current is the time at which the instance last had the latest version.
	current int64
	member  plan.InstanceStatus
	leaving bool
}

// update begins or ends the lead.
func (l *leaderState) update(c *Core, now int64) {
	if !c.node.Leading(now) {
		l.active = false
		return
	}
	l.active = true
	if l.term != c.node.Term() {
		l.begin(c, now)
	}
}

// begin starts a term. An earlier leader may have granted leases until just now,
// so every registered instance counts as holding one.
func (l *leaderState) begin(c *Core, now int64) {
	meters := l.meters
	*l = leaderState{
		term: c.node.Term(), active: true, planner: plan.NewPlanner(),
		members:   map[catkinrail.InstanceID]*entryState{},
		announced: map[catkinrail.BackendID]int64{},
		meters:    meters,
		opened:    map[catkinrail.SlotID]uint64{},
	}
	if l.meters == nil {
		l.meters = map[catkinrail.ServiceID]*burn.Meter{}
	}
	for id := range c.state.Instances {
		l.members[id] = &entryState{until: now + l.leaseSpan(c), current: now}
	}
	for id := range c.state.Backends {
		l.announced[id] = now
	}
	c.cfg.Log.Info().Uint64("term", l.term).Uint64("version", c.state.Version).Msg("leading")
}

// leaseSpan is how long a lease may last by the leader's clock.
func (l *leaderState) leaseSpan(c *Core) int64 {
	return int64(c.cfg.Lease + c.cfg.Lease/leaseDriftShare)
}

// plan proposes the next step of moves and views.
func (l *leaderState) plan(c *Core, now int64) {
	l.measure(c, now)
	if now-l.planned < int64(planInterval) || c.flying != nil {
		return
	}
	l.allowForStall(c, now)
	l.planned = now
	members := make(map[catkinrail.InstanceID]plan.InstanceStatus, len(l.members))
	for id, e := range l.members {
		if c.state.Instances[id] == nil {
			delete(l.members, id)
			continue
		}
		m := e.member
		m.Leased = now < e.until
		members[id] = m
	}
	l.planner.Observe(members)
	events := l.planner.Next(c.state, time.Unix(0, now))
	if len(events) == 0 {
		events = l.expire(c, now)
	}
	if len(events) > 0 {
		c.propose(&proposal{evaluate: evaluatePlan(func(*cluster.State) []cluster.Event { return events })})
	}
}

// stallTime is the time between two calls of plan from which this instance was
// held up, rather than the entry instances silent.
const stallTime = 500 * time.Millisecond

// allowForStall extends what is known of others after this instance was held up:
// their heartbeats may wait unread.
func (l *leaderState) allowForStall(c *Core, now int64) {
	if l.planned == 0 || now-l.planned < int64(stallTime) {
		return
	}
	held := now - l.planned
	for _, e := range l.members {
		e.until = max(e.until, now+l.leaseSpan(c))
	}
	for id := range l.announced {
		l.announced[id] += held
	}
}

// expire takes out backend servers that stopped announcing themselves. One that
// is merely silent keeps its flows; it is forgotten much later.
func (l *leaderState) expire(c *Core, now int64) []cluster.Event {
	var silent, lost []catkinrail.BackendID
	for _, id := range cluster.SortedKeys(c.state.Backends) {
		b := c.state.Backends[id]
		at, ok := l.announced[id]
		if !ok {
			l.announced[id] = now
			continue
		}
		age := time.Duration(now - at)
		switch {
		case b.State == catkinrail.BackendGone:
		case age > forgetTimeout:
			lost = append(lost, id)
		case age > announceTimeout && b.State == catkinrail.BackendActive:
			silent = append(silent, id)
		}
	}
	if len(lost) > 0 {
		return plan.Expire(c.state, lost)
	}
	return plan.EjectSilent(c.state, silent)
}

// Heartbeat takes an entry instance's report, renews its lease and returns what
// it lacks. The channel is closed at the next change.
func (c *Core) Heartbeat(ctx context.Context, hb *message.Heartbeat) (*message.HeartbeatReply, <-chan struct{}, error) {
	var reply *message.HeartbeatReply
	var changed <-chan struct{}
	var result error
	err := c.do(ctx, func() {
		reply, result = c.heartbeat(hb)
		changed = c.changed
	})
	return reply, changed, errors.Join(err, result)
}

func (c *Core) heartbeat(hb *message.Heartbeat) (*message.HeartbeatReply, error) {
	now := c.now()
	if !c.leader.active || !c.node.Leading(now) {
		return nil, c.leaderError()
	}
	if c.cfg.Timing.NoLease {
		return nil, ErrNoLease
	}
	reply := &message.HeartbeatReply{Term: c.node.Term(), Lease: c.cfg.Lease}
	if c.state.Instances[hb.ID] == nil {
		reply.Unregistered = true
		return reply, nil
	}
	c.leader.note(c, hb, now)
	reply.Changes, reply.State = c.since(hb.StateVersion)
	return reply, nil
}

// note keeps what a heartbeat reports.
func (l *leaderState) note(c *Core, hb *message.Heartbeat, now int64) {
	e := l.members[hb.ID]
	if e == nil {
		e = &entryState{current: now}
		l.members[hb.ID] = e
	}
	e.until = max(e.until, now+l.leaseSpan(c))
	e.member = plan.InstanceStatus{Version: hb.StateVersion, Synced: hb.Synced, Busy: hb.Busy}
	if hb.StateVersion >= c.state.Version {
		e.current = now
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
		l.announce(c, &hb.Announcements[i], now)
	}
	l.count(c, hb, now)
}

func (c *Core) enqueue(events func(*cluster.State) []cluster.Event) {
	c.pending = append(c.pending, &proposal{evaluate: evaluatePlan(events)})
}

// announce notes that a backend server is there and proposes what is new.
func (l *leaderState) announce(c *Core, a *plan.Announcement, now int64) {
	if svc := c.state.ServiceByName(a.Service); svc != nil {
		if b := c.state.BackendByName(svc.ID, a.Name); b != nil && b.Incarnation == a.Incarnation {
			l.announced[b.ID] = now
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

// count adds an entry instance's counts to the meters.
func (l *leaderState) count(c *Core, hb *message.Heartbeat, now int64) {
	for id, n := range hb.Counts {
		if c.state.Services[id] == nil {
			continue
		}
		m := l.meter(id)
		m.Add(time.Unix(0, now), burn.Counts{Flows: n.Opened, Broken: n.Unrecorded, Refused: n.Refused})
		for slot, opened := range n.BySlot {
			l.opened[slot] += opened
		}
	}
}

func (l *leaderState) meter(id catkinrail.ServiceID) *burn.Meter {
	m := l.meters[id]
	if m == nil {
		m = burn.NewMeter()
		l.meters[id] = m
	}
	return m
}

// measure samples each service's imbalance from the flows that were opened.
func (l *leaderState) measure(c *Core, now int64) {
	if now-l.measured < int64(imbalanceInterval) {
		return
	}
	l.measured = now
	for id, svc := range c.state.Services {
		excess, ok := imbalance(c.state.BackendsOf(id), l.opened)
		if !ok {
			continue
		}
		sample := burn.Counts{Samples: 1, ImbalanceSum: excess}
		if bound := svc.Config.Objective.ImbalancePercent; bound > 0 && excess > float64(bound) {
			sample.Beyond = 1
		}
		l.meter(id).Add(time.Unix(0, now), sample)
	}
	clear(l.opened)
}

// minFlows is the number of flows for each backend server below which chance
// alone would dominate a sample of the imbalance.
const minFlows = 50

// imbalance returns the excess, in percent, of the most loaded backend server
// over the mean, by weight.
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
	if len(loads) < 2 || flows < minFlows*uint64(len(loads)) {
		return 0, false
	}
	mean := total / float64(len(loads))
	return (slices.Max(loads)/mean - 1) * 100, true
}

// since returns the changes after a version, or the whole state if they are no
// longer known.
func (c *Core) since(have uint64) ([]cluster.Change, *cluster.State) {
	if have >= c.state.Version {
		return nil, nil
	}
	if len(c.changes) > 0 && c.changes[0].Version <= have+1 {
		from := have + 1 - c.changes[0].Version
		return slices.Clone(c.changes[from:]), nil
	}
	s := *c.state
	// Entry instances need no answers to operators.
	s.Answers = nil
	clone, err := s.Clone()
	if err != nil {
		c.cfg.Log.Error(catkinrail.At(err, "encode state", "")).Msg("entry instance gets no state")
		return nil, nil
	}
	return nil, clone
}

// Status is what operators see of a control instance.
type Status struct {
	Term, Commit uint64
	Leader       string
	Node         quorum.NodeID
	Members      *quorum.Members
	Match        map[quorum.NodeID]uint64
	// Leading is set on the leader.
	Leading bool
	Entries map[catkinrail.InstanceID]EntryStatus
	Burn    map[catkinrail.ServiceID][]burn.Report
}

// EntryStatus is what the leader knows of an entry instance.
type EntryStatus struct {
	Leased  bool
	Version uint64
	// Lag is the time since the instance was last up to date.
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
	for id, e := range c.leader.members {
		status := EntryStatus{Leased: now < e.until, Version: e.member.Version}
		if e.member.Version < c.state.Version {
			status.Lag = time.Duration(now - e.current)
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
