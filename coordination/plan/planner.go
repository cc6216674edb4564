package plan

import (
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

// MinPrepare is how long a move stays in Prepare after every entry instance has
// entered it. It outlasts the first retransmission of a SYN (1 s, RFC 6298), so
// that a SYN passed on before the move is recorded when it is sent again.
const MinPrepare = 1500 * time.Millisecond

// coldStart is how long the first backend servers of a service have to announce
// themselves before its buckets are assigned. What is assigned at once needs no
// moves.
const coldStart = time.Second

// blackoutGrace is how long instances have to renew their leases after a time in
// which none had one. It exceeds the longest back-off between heartbeats.
const blackoutGrace = 2 * time.Second

// lossDelay is the time for which an instance must have been without a lease
// before it counts as lost. It exceeds the interval of heartbeats: when control
// can't be reached at all, all leases end within it.
const lossDelay = 500 * time.Millisecond

// InstanceStatus is what the leader knows of an entry instance.
type InstanceStatus struct {
	// Leased is set while the instance may hold a lease.
	Leased bool
	// Version is the configuration version that it acknowledged.
	Version uint64
	// Synced is the version of the view for which it has handed over all
	// records that other replicas need.
	Synced uint64
	// Busy tells which moves the instance still sees flows of.
	Busy map[uint64]Busy
}

// Busy says why a move can't settle yet.
type Busy struct {
	// UnrecordedAge is the time since a packet without a record was sent to the
	// current slot of one of the move's buckets.
	UnrecordedAge time.Duration `cbor:"1,keyasint,omitempty"`
	// SawUnrecorded is set if there was such a packet.
	SawUnrecorded bool `cbor:"2,keyasint,omitempty"`
	// Elsewhere is set while a record names neither bucket owner.
	Elsewhere bool `cbor:"3,keyasint,omitempty"`
}

// Planner advances moves and views. It belongs to one leader for one term and
// keeps only observations; what must survive is in the agreed state.
type Planner struct {
	members map[catkinrail.InstanceID]InstanceStatus
	// reached gives the time at which a version was first seen to be in force
	// everywhere, for each move.
	reached map[moveStep]time.Time
	// unrecorded is the time of the last packet without a record, for each move.
	unrecorded map[uint64]time.Time
	// waiting is the time at which a service without assigned buckets was first
	// seen to have a backend server.
	waiting map[catkinrail.ServiceID]time.Time
	// warming is the time since which a cold backend server has its weight.
	warming map[catkinrail.BackendID]time.Time
	// gone is the time since which a backend server is gone.
	gone map[catkinrail.BackendID]time.Time
	// viewWanted is the time since which a planned change of view waits.
	viewWanted time.Time
	// expired is the time at which an instance was first seen without a lease.
	expired map[catkinrail.InstanceID]time.Time
	// blackout is the time at which last no instance held a lease.
	blackout time.Time
}

type moveStep struct {
	id      uint64
	version uint64
}

// NewPlanner returns a planner without observations.
func NewPlanner() *Planner {
	return &Planner{
		members:    map[catkinrail.InstanceID]InstanceStatus{},
		reached:    map[moveStep]time.Time{},
		unrecorded: map[uint64]time.Time{},
		waiting:    map[catkinrail.ServiceID]time.Time{},
		expired:    map[catkinrail.InstanceID]time.Time{},
		warming:    map[catkinrail.BackendID]time.Time{},
		gone:       map[catkinrail.BackendID]time.Time{},
	}
}

// Observe replaces what is known of the entry instances.
func (p *Planner) Observe(members map[catkinrail.InstanceID]InstanceStatus) {
	p.members = members
}

// Next returns the events of the next step, or none if nothing can advance.
// Losses go first, then the view, then moves: a move advances only in a settled
// view, so that one bucket never has two first replicas that decide differently.
func (p *Planner) Next(s *cluster.State, now time.Time) []cluster.Event {
	d := &draft{state: s}
	if p.blackedOut(s, now) {
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
	p.assignFirst(d, now)
	if len(d.events) == 0 {
		p.warmUp(d, now)
	}
	p.release(d)
	p.forgetGone(d, now)
	return d.events
}

// rampInterval is the time between two steps of a cold backend server's weight.
const rampInterval = 5 * time.Second

// warmUp raises the weight of cold backend servers once the moves of the earlier
// step are open.
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
			delete(p.warming, id)
			continue
		}
		if p.warming[id].IsZero() {
			p.warming[id] = now
		}
		if now.Sub(p.warming[id]) < rampInterval {
			continue
		}
		delete(p.warming, id)
		put := *b
		put.Weight = min(b.Weight+max(b.FullWeight/rampSteps, 1), b.FullWeight)
		d.add(cluster.Event{BackendPut: &put})
		due[b.Service] = append(due[b.Service], &put)
	}
	d.rebalanceAll(due)
}

// assignFirst assigns the buckets of services that have none assigned yet. The
// buckets of a tracked service only tell that it has begun.
func (p *Planner) assignFirst(d *draft, now time.Time) {
	for _, id := range cluster.SortedKeys(d.state.Services) {
		svc := d.state.Services[id]
		backends := d.state.BackendsOf(id)
		if !unassigned(svc) || len(shares(backends, 1)) == 0 {
			continue
		}
		if p.waiting[id].IsZero() {
			p.waiting[id] = now
		}
		if now.Sub(p.waiting[id]) >= coldStart {
			d.rebalance(svc, backends)
		}
	}
}

// blackedOut reports whether no instance holds a lease, or whether that was so a
// moment ago. It is then control that can't be reached, no instance has placed
// a flow meanwhile, and all of them will be back with the records they hold.
func (p *Planner) blackedOut(s *cluster.State, now time.Time) bool {
	if len(s.Instances) == 0 {
		return false
	}
	leased := false
	for id := range s.Instances {
		leased = leased || p.members[id].Leased
	}
	if !leased {
		p.blackout = now
	}
	return now.Sub(p.blackout) < blackoutGrace
}

// checkLeases removes or silences the instances that lost their lease and takes
// back silent ones that have one again.
func (p *Planner) checkLeases(d *draft, now time.Time) {
	var lost, silent []catkinrail.InstanceID
	for _, id := range cluster.SortedKeys(d.state.Instances) {
		in := d.state.Instances[id]
		if p.members[id].Leased {
			delete(p.expired, id)
		} else if p.expired[id].IsZero() {
			p.expired[id] = now
		}
		switch {
		case p.members[id].Leased && in.Silent:
			d.setSilent(id, false)
		case p.members[id].Leased || now.Sub(p.expired[id]) < lossDelay:
		case p.mustWithdraw(d.state, in):
			lost = append(lost, id)
		case !in.Silent:
			silent = append(silent, id)
		}
	}
	switch {
	case len(lost) > 0:
		d.lose(lost)
	case len(silent) > 0:
		d.silence(silent)
	}
}

// mustWithdraw reports whether an instance without a lease knows that it must
// stop forwarding. It may go on only if more than half of its zone's instances
// are without a lease, as in a zone that is cut off. Which instances it counts
// depends on the version it has, so the answer must hold for every version
// from the one that it acknowledged.
func (p *Planner) mustWithdraw(s *cluster.State, in *catkinrail.Instance) bool {
	if s.LostZones[in.Zone] {
		return true
	}
	from := max(in.Since, p.members[in.ID].Version)
	all, leased := 0, 0
	holds := func() bool { return leased > 0 && 2*leased >= all }
	for _, id := range cluster.SortedKeys(s.Instances) {
		other := s.Instances[id]
		if other.Zone != in.Zone {
			continue
		}
		if other.Since > from {
			if !holds() {
				return false
			}
		}
		all++
		if p.members[id].Leased {
			leased++
		}
	}
	return holds()
}

// inForce reports whether no instance can act on a version before v any more.
// away lists the zones of backend servers that flows move away from: an
// instance in a zone that is cut off can't reach backend servers outside it.
func (p *Planner) inForce(s *cluster.State, v uint64, away map[catkinrail.Zone]bool) bool {
	for id, in := range s.Instances {
		m := p.members[id]
		if m.Version >= v {
			continue
		}
		if m.Leased {
			return false
		}
		if away[in.Zone] && !p.mustWithdraw(s, in) {
			return false
		}
	}
	return true
}

// maxViewWait bounds the time for which moves in Prepare hold up a change of
// view. A rolling restart asks for one change of view after the other; without
// the wait moves would never open.
const maxViewWait = 10 * time.Second

// viewMayChange reports whether a planned change of view may begin.
func (p *Planner) viewMayChange(s *cluster.State, now time.Time) bool {
	if p.viewWanted.IsZero() {
		p.viewWanted = now
	}
	for _, m := range s.Moves {
		if m.Phase == catkinrail.Prepare && now.Sub(p.viewWanted) < maxViewWait {
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
			p.viewWanted = time.Time{}
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
		if !in.Leaving && !in.Silent && p.members[id].Leased {
			list = append(list, id)
		}
	}
	return list
}

// synced reports whether the members of Base that are left have handed over
// their records.
func (p *Planner) synced(v catkinrail.View) bool {
	for _, id := range v.Base {
		if slices.Contains(v.Dead, id) {
			continue
		}
		if p.members[id].Synced < v.Version {
			return false
		}
	}
	return true
}

func (p *Planner) advanceMoves(d *draft, now time.Time) {
	for _, id := range cluster.SortedKeys(d.state.Moves) {
		m := d.state.Moves[id]
		since, ok := p.reachedAt(d.state, m, now)
		if !ok {
			continue
		}
		switch m.Phase {
		case catkinrail.Prepare:
			if now.Sub(since) >= MinPrepare || allGone(d.state, m) {
				d.openMove(m)
			}
		case catkinrail.Open:
			if p.quiet(d.state, m, since, now) {
				d.settleMove(m)
			}
		}
	}
}

// reachedAt returns the time since which the move's phase is in force.
func (p *Planner) reachedAt(s *cluster.State, m *catkinrail.Move, now time.Time) (time.Time, bool) {
	step := moveStep{id: m.ID, version: m.Version}
	if at, ok := p.reached[step]; ok {
		return at, true
	}
	if !p.inForce(s, m.Version, zonesLeft(s, m)) {
		return time.Time{}, false
	}
	p.reached[step] = now
	return now, true
}

// zonesLeft returns the zones of the slots that the move leaves.
func zonesLeft(s *cluster.State, m *catkinrail.Move) map[catkinrail.Zone]bool {
	zones := map[catkinrail.Zone]bool{}
	for _, n := range m.Buckets {
		cur := s.Services[m.Service].Buckets[n].Cur
		if b := s.Backends[cur.Backend()]; b != nil && b.State != catkinrail.BackendGone {
			zones[b.Zone] = true
		}
	}
	return zones
}

// allGone reports whether no bucket of the move has flows on its current slot.
func allGone(s *cluster.State, m *catkinrail.Move) bool {
	for _, n := range m.Buckets {
		if !Gone(s, s.Services[m.Service].Buckets[n].Cur) {
			return false
		}
	}
	return true
}

// quiet reports whether every live flow of the move's buckets is on their next
// slot.
func (p *Planner) quiet(s *cluster.State, m *catkinrail.Move, since, now time.Time) bool {
	last := since
	for _, member := range p.members {
		busy, ok := member.Busy[m.ID]
		if !ok {
			continue
		}
		if busy.Elsewhere {
			return false
		}
		if busy.SawUnrecorded {
			at := now.Add(-busy.UnrecordedAge)
			if at.After(last) {
				last = at
			}
		}
	}
	if p.unrecorded[m.ID].After(last) {
		last = p.unrecorded[m.ID]
	}
	p.unrecorded[m.ID] = last
	return now.Sub(last) >= s.Services[m.Service].Config.IdleTimeout || stayed(s, m)
}

// stayed reports whether packets without a record go to the next slot anyway,
// or to a slot that has lost its flows.
func stayed(s *cluster.State, m *catkinrail.Move) bool {
	for _, n := range m.Buckets {
		b := s.Services[m.Service].Buckets[n]
		if b.Phase == catkinrail.Open && b.Cur != b.Next && !Gone(s, b.Cur) {
			return false
		}
	}
	return true
}

// release ends quarantines that every entry instance knows of, and forgets
// backend servers that nothing refers to.
func (p *Planner) release(d *draft) {
	s := d.state
	for _, name := range cluster.SortedKeys(s.Quarantine) {
		if p.inForce(s, s.Quarantine[name], p.allZones(s)) {
			d.add(cluster.Event{Released: name})
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
