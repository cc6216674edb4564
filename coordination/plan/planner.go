package plan

import (
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

// MinPrepare is how long a move stays in Prepare after that phase is in force on
// every entry instance. It exceeds the first retransmission timeout of a SYN (1 s,
// RFC 6298), so that a SYN forwarded before the move is recorded when it is resent.
const MinPrepare = 1500 * time.Millisecond

// initialAssignmentDelay is how long the first backend servers of a service have to
// announce themselves before its buckets are assigned. Buckets assigned in one step
// need no moves.
const initialAssignmentDelay = time.Second

// leaseRecoveryGrace is how long instances have to renew their leases after no
// instance had one. It exceeds the longest back-off between heartbeats.
const leaseRecoveryGrace = 2 * time.Second

// lossGrace is how long an instance must have been without a lease before it is
// removed or marked as silent. It exceeds the heartbeat interval: when control is
// unreachable, all leases end within this time, so that none counts as lost alone.
const lossGrace = 500 * time.Millisecond

// InstanceStatus is the status of an entry instance, on which a Planner bases its
// decisions.
type InstanceStatus struct {
	// Leased is set while the instance may hold a lease.
	Leased bool
	// Version is the state version that the instance acknowledged.
	Version uint64
	// Synced is the version of the view for which the instance has handed over
	// all records that other replicas need.
	Synced uint64
	// Busy holds, by move, the instance's report of why the move can't settle yet.
	Busy map[uint64]Busy
}

// Busy is an entry instance's report of why a move can't settle yet.
type Busy struct {
	// UnrecordedAge is the time since a packet without a record was sent to the
	// current slot of one of the move's buckets.
	UnrecordedAge time.Duration `cbor:"1,keyasint,omitempty"`
	// SawUnrecorded is set if there was such a packet.
	SawUnrecorded bool `cbor:"2,keyasint,omitempty"`
	// OtherSlot is set while a record of one of the move's buckets names a slot
	// other than the bucket's next one.
	OtherSlot bool `cbor:"3,keyasint,omitempty"`
}

// Planner advances moves and views. It belongs to one leader for one term and
// keeps only observations; what must outlast the term is in the cluster state.
type Planner struct {
	instances map[catkinrail.InstanceID]InstanceStatus
	// inForceSince is the time at which a move's version was first seen to be in
	// force on every entry instance.
	inForceSince map[moveStep]time.Time
	// lastUnrecorded is the time of the last packet without a record, by open move, or
	// the time since which the move's version is in force if that is later.
	lastUnrecorded map[uint64]time.Time
	// unassignedSince is the time at which a service without assigned buckets was
	// first seen to have an active backend server.
	unassignedSince map[catkinrail.ServiceID]time.Time
	// weightSince is the time since which a cold backend server has had its current
	// weight.
	weightSince map[catkinrail.BackendID]time.Time
	// endedSince is the time at which a backend server was first seen to have ended,
	// or was last found to be still needed.
	endedSince map[catkinrail.BackendID]time.Time
	// viewPendingSince is the time at which a change of view was first wanted. It is
	// reset to zero when a change of view begins.
	viewPendingSince time.Time
	// unleasedSince is the time at which an instance was first seen without a lease.
	unleasedSince map[catkinrail.InstanceID]time.Time
	// lastUnleased is the last time at which no instance held a lease.
	lastUnleased time.Time
}

// moveStep identifies a version of a move.
type moveStep struct {
	id      uint64
	version uint64
}

// NewPlanner returns a planner without observations.
func NewPlanner() *Planner {
	return &Planner{
		instances:       map[catkinrail.InstanceID]InstanceStatus{},
		inForceSince:    map[moveStep]time.Time{},
		lastUnrecorded:  map[uint64]time.Time{},
		unassignedSince: map[catkinrail.ServiceID]time.Time{},
		unleasedSince:   map[catkinrail.InstanceID]time.Time{},
		weightSince:     map[catkinrail.BackendID]time.Time{},
		endedSince:      map[catkinrail.BackendID]time.Time{},
	}
}

// Observe replaces the status of all entry instances.
func (p *Planner) Observe(instances map[catkinrail.InstanceID]InstanceStatus) {
	p.instances = instances
}

// Next returns the events of the next step, or none if nothing can advance. Lost
// instances come first, then the view, then moves: a move advances only in a settled
// view, so that a bucket never has two first replicas that decide differently.
func (p *Planner) Next(s *cluster.State, now time.Time) []cluster.Event {
	d := &draft{state: s}
	if p.awaitingLeases(s, now) {
		return nil
	}
	p.checkLeases(d, now)
	if len(d.events) > 0 {
		return d.events
	}
	p.advanceView(d, now)
	if len(d.events) > 0 {
		return d.events
	}
	if s.View.Phase == catkinrail.Settled {
		p.advanceMoves(d, now)
	}
	p.assignInitial(d, now)
	if len(d.events) == 0 {
		p.warmUp(d, now)
	}
	p.endQuarantines(d)
	p.removeEnded(d, now)
	return d.events
}

// warmUpInterval is the time between two steps of a cold backend server's weight.
const warmUpInterval = 5 * time.Second

// warmUp raises the weight of cold backend servers. It waits until no move is in
// Prepare, so that the moves of the earlier step are open.
func (p *Planner) warmUp(d *draft, now time.Time) {
	for _, m := range d.state.Moves {
		if m.Phase == catkinrail.Prepare {
			return
		}
	}
	due := map[catkinrail.ServiceID][]*catkinrail.Backend{}
	for _, id := range cluster.SortedKeys(d.state.Backends) {
		b := d.state.Backends[id]
		if b.Weight >= b.FullWeight || b.State != catkinrail.BackendActive {
			delete(p.weightSince, id)
			continue
		}
		if p.weightSince[id].IsZero() {
			p.weightSince[id] = now
		}
		if now.Sub(p.weightSince[id]) < warmUpInterval {
			continue
		}
		delete(p.weightSince, id)
		put := *b
		put.Weight = min(b.Weight+max(b.FullWeight/warmUpSteps, 1), b.FullWeight)
		d.add(cluster.Event{BackendPut: &put})
		due[b.Service] = append(due[b.Service], &put)
	}
	d.rebalanceAll(due)
}

// assignInitial assigns the buckets of services that have none assigned yet. For a
// tracked service, assigned buckets only mark that it has had backend servers.
func (p *Planner) assignInitial(d *draft, now time.Time) {
	for _, id := range cluster.SortedKeys(d.state.Services) {
		svc := d.state.Services[id]
		backends := d.state.BackendsOf(id)
		if !unassigned(svc) || len(shares(backends, 1)) == 0 {
			continue
		}
		if p.unassignedSince[id].IsZero() {
			p.unassignedSince[id] = now
		}
		if now.Sub(p.unassignedSince[id]) >= initialAssignmentDelay {
			d.rebalance(svc, backends)
		}
	}
}

// awaitingLeases reports whether no instance holds a lease, or none did at some time
// within the last leaseRecoveryGrace. Control was then unreachable rather than the
// instances lost: none of them has placed a flow meanwhile, and all will be back with
// their records.
func (p *Planner) awaitingLeases(s *cluster.State, now time.Time) bool {
	if len(s.Instances) == 0 {
		return false
	}
	leased := false
	for id := range s.Instances {
		leased = leased || p.instances[id].Leased
	}
	if !leased {
		p.lastUnleased = now
	}
	return now.Sub(p.lastUnleased) < leaseRecoveryGrace
}

// checkLeases removes the instances that lost their lease, or marks them as silent
// if they may still forward, and readmits silent ones that have a lease again.
func (p *Planner) checkLeases(d *draft, now time.Time) {
	var lost, silent []catkinrail.InstanceID
	for _, id := range cluster.SortedKeys(d.state.Instances) {
		in := d.state.Instances[id]
		if p.instances[id].Leased {
			delete(p.unleasedSince, id)
		} else if p.unleasedSince[id].IsZero() {
			p.unleasedSince[id] = now
		}
		switch {
		case p.instances[id].Leased && in.Silent:
			d.setSilent(id, false)
		case p.instances[id].Leased || now.Sub(p.unleasedSince[id]) < lossGrace:
		case p.mustStopForwarding(d.state, in):
			lost = append(lost, id)
		case !in.Silent:
			silent = append(silent, id)
		}
	}
	switch {
	case len(lost) > 0:
		d.removeInstances(lost)
	case len(silent) > 0:
		d.excludeSilent(silent)
	}
}

// mustStopForwarding reports whether an instance without a lease knows that it must
// stop forwarding. It may go on only if more than half of its zone's instances are
// without a lease, as in a partitioned zone. Which instances it counts depends on the
// version it has, so the result must hold for every version from the one that it
// acknowledged.
func (p *Planner) mustStopForwarding(s *cluster.State, in *catkinrail.Instance) bool {
	if s.LostZones[in.Zone] {
		return true
	}
	from := max(in.Since, p.instances[in.ID].Version)
	all, leased := 0, 0
	halfLeased := func() bool { return leased > 0 && 2*leased >= all }
	for _, id := range cluster.SortedKeys(s.Instances) {
		other := s.Instances[id]
		if other.Zone != in.Zone {
			continue
		}
		if other.Since > from {
			if !halfLeased() {
				return false
			}
		}
		all++
		if p.instances[id].Leased {
			leased++
		}
	}
	return halfLeased()
}

// inForce reports whether no instance can act on a version before v any more.
// sources holds the zones of the backend servers that flows move away from: an
// instance in a partitioned zone can't reach backend servers outside it.
func (p *Planner) inForce(s *cluster.State, v uint64, sources map[catkinrail.Zone]bool) bool {
	for id, in := range s.Instances {
		m := p.instances[id]
		if m.Version >= v {
			continue
		}
		if m.Leased {
			return false
		}
		if sources[in.Zone] && !p.mustStopForwarding(s, in) {
			return false
		}
	}
	return true
}

// maxViewWait limits how long moves in Prepare delay a change of view. A rolling
// restart causes one change of view after another; without the delay moves would
// never open.
const maxViewWait = 10 * time.Second

// viewMayChange reports whether a pending change of view may begin.
func (p *Planner) viewMayChange(s *cluster.State, now time.Time) bool {
	if p.viewPendingSince.IsZero() {
		p.viewPendingSince = now
	}
	for _, m := range s.Moves {
		if m.Phase == catkinrail.Prepare && now.Sub(p.viewPendingSince) < maxViewWait {
			return false
		}
	}
	return true
}

func (p *Planner) advanceView(d *draft, now time.Time) {
	s, v := d.state, d.state.View
	want := p.wantedMembers(s)
	switch v.Phase {
	case catkinrail.Settled:
		if !slices.Equal(want, v.Base) && p.viewMayChange(s, now) {
			p.viewPendingSince = time.Time{}
			d.setView(catkinrail.View{Phase: catkinrail.Prepare, Base: v.Base, Target: want})
		}
	case catkinrail.Prepare:
		if p.inForce(s, v.Version, nil) && p.synced(v) {
			next := v
			next.Phase = catkinrail.Open
			d.setView(next)
		}
	case catkinrail.Open:
		if p.inForce(s, v.Version, nil) {
			d.setView(catkinrail.View{Base: v.Target})
		}
	}
}

// wantedMembers returns the instances that should hold records, in order.
func (p *Planner) wantedMembers(s *cluster.State) []catkinrail.InstanceID {
	var list []catkinrail.InstanceID
	for _, id := range cluster.SortedKeys(s.Instances) {
		in := s.Instances[id]
		if !in.Leaving && !in.Silent && p.instances[id].Leased {
			list = append(list, id)
		}
	}
	return list
}

// synced reports whether the remaining members of Base have handed over their
// records.
func (p *Planner) synced(v catkinrail.View) bool {
	for _, id := range v.Base {
		if slices.Contains(v.Dead, id) {
			continue
		}
		if p.instances[id].Synced < v.Version {
			return false
		}
	}
	return true
}

func (p *Planner) advanceMoves(d *draft, now time.Time) {
	for _, id := range cluster.SortedKeys(d.state.Moves) {
		m := d.state.Moves[id]
		since, ok := p.phaseInForceSince(d.state, m, now)
		if !ok {
			continue
		}
		switch m.Phase {
		case catkinrail.Prepare:
			if now.Sub(since) >= MinPrepare || allSlotsEnded(d.state, m) {
				d.openMove(m)
			}
		case catkinrail.Open:
			if p.maySettle(d.state, m, since, now) {
				d.settleMove(m)
			}
		}
	}
}

// phaseInForceSince returns the time since which the move's version has been in force,
// and whether it is.
func (p *Planner) phaseInForceSince(s *cluster.State, m *catkinrail.Move, now time.Time) (time.Time, bool) {
	step := moveStep{id: m.ID, version: m.Version}
	if at, ok := p.inForceSince[step]; ok {
		return at, true
	}
	if !p.inForce(s, m.Version, sourceZones(s, m)) {
		return time.Time{}, false
	}
	p.inForceSince[step] = now
	return now, true
}

// sourceZones returns the zones of the move's current slots, leaving out backend
// servers that have ended.
func sourceZones(s *cluster.State, m *catkinrail.Move) map[catkinrail.Zone]bool {
	zones := map[catkinrail.Zone]bool{}
	for _, n := range m.Buckets {
		cur := s.Services[m.Service].Buckets[n].Cur
		if b := s.Backends[cur.Backend()]; b != nil && b.State != catkinrail.BackendGone {
			zones[b.Zone] = true
		}
	}
	return zones
}

// allSlotsEnded reports whether no bucket of the move can have flows on its current
// slot.
func allSlotsEnded(s *cluster.State, m *catkinrail.Move) bool {
	for _, n := range m.Buckets {
		if !SlotEnded(s, s.Services[m.Service].Buckets[n].Cur) {
			return false
		}
	}
	return true
}

// maySettle reports whether every live flow of the move's buckets is on the bucket's
// next slot: no record names another slot, and no packet without a record has been
// seen for the service's idle timeout, where that matters.
func (p *Planner) maySettle(s *cluster.State, m *catkinrail.Move, since, now time.Time) bool {
	last := since
	for _, in := range p.instances {
		busy, ok := in.Busy[m.ID]
		if !ok {
			continue
		}
		if busy.OtherSlot {
			return false
		}
		if busy.SawUnrecorded {
			at := now.Add(-busy.UnrecordedAge)
			if at.After(last) {
				last = at
			}
		}
	}
	if p.lastUnrecorded[m.ID].After(last) {
		last = p.lastUnrecorded[m.ID]
	}
	p.lastUnrecorded[m.ID] = last
	return now.Sub(last) >= s.Services[m.Service].Config.IdleTimeout || skipsIdleTimeout(s, m)
}

// skipsIdleTimeout reports whether the move need not wait for the idle timeout,
// because packets without a record go to the next slot anyway, or to a slot whose
// backend server has ended.
func skipsIdleTimeout(s *cluster.State, m *catkinrail.Move) bool {
	for _, n := range m.Buckets {
		b := s.Services[m.Service].Buckets[n]
		if b.Phase == catkinrail.Open && b.Cur != b.Next && !SlotEnded(s, b.Cur) {
			return false
		}
	}
	return true
}

// endQuarantines ends the quarantines of deleted services whose deletion is in force
// on every entry instance.
func (p *Planner) endQuarantines(d *draft) {
	s := d.state
	for _, name := range cluster.SortedKeys(s.Quarantine) {
		if p.inForce(s, s.Quarantine[name], p.allZones(s)) {
			d.add(cluster.Event{QuarantineEnded: name})
		}
	}
}

func (p *Planner) allZones(s *cluster.State) map[catkinrail.Zone]bool {
	zones := map[catkinrail.Zone]bool{}
	for _, in := range s.Instances {
		zones[in.Zone] = true
	}
	return zones
}
