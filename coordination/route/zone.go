package route

import (
	"slices"
	"sync/atomic"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/state/flow"
)

// Timing of the probes within a zone.
const (
	probeInterval = 200 * time.Millisecond
	// answerAge is the age up to which an answer to a probe counts.
	answerAge = 700 * time.Millisecond
	// cutDelay is how long a zone stays without leases before it places new
	// flows of buckets whose slot it can't reach. It outlasts the election of a
	// control leader, so that an election leaves no flows to merge.
	cutDelay = 4 * time.Second
)

// zoneState is what an instance without a lease knows of its zone.
type zoneState struct {
	// cut is the set of peers to share records with while the zone is cut off;
	// nil if this instance must not decide.
	cut atomic.Pointer[cutView]
	// handoff is a peer that may decide while this instance may not.
	handoff atomic.Uint32
	// anyException is set while exceptions isn't empty.
	anyException atomic.Bool

	// The rest is guarded by the engine's mutex.
	answers map[catkinrail.InstanceID]probeAnswer
	probed  int64
	// since is the time at which the probes began.
	since int64
	// exceptions are the buckets in which flows were placed while the zone was
	// cut off, until the records are merged.
	exceptions map[flow.Bucket]bool
	merging    map[flow.Bucket]int
}

// cutView is what an instance without a lease goes on with.
type cutView struct {
	// members are the instances that are heard and have no lease.
	members []member
	// held are the zones whose backend servers may be sent to.
	held map[catkinrail.Zone]bool
}

type probeAnswer struct {
	leased  bool
	version uint64
	at      int64
}

func (z *zoneState) init() {
	z.answers = map[catkinrail.InstanceID]probeAnswer{}
	z.exceptions = map[flow.Bucket]bool{}
	z.merging = map[flow.Bucket]int{}
}

func (z *zoneState) isCut() bool {
	return z.cut.Load() != nil
}

func (e *Engine) answerProbe(m *relay.Message, now int64) []Outgoing {
	t := e.table.Load()
	p, ok := t.peers[m.Sender]
	if !ok {
		return nil
	}
	answer := relay.Message{Kind: relay.ProbeAnswer, Sender: e.Self(), Version: t.version}
	if e.Leased(now) {
		answer.Flags = relay.FlagLeased
	}
	return []Outgoing{{To: m.Sender, Addr: p.addr, Message: answer}}
}

func (e *Engine) receiveProbeAnswer(m *relay.Message, now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zone.answers[m.Sender] = probeAnswer{leased: m.Flags&relay.FlagLeased != 0, version: m.Version, at: now}
}

// tick probes the zone while the instance has no lease and draws the conclusion.
func (z *zoneState) tick(e *Engine, t *table, now int64, out []Outgoing) []Outgoing {
	if e.Leased(now) {
		z.cut.Store(nil)
		z.handoff.Store(0)
		clear(z.answers)
		z.since = 0
		return out
	}
	if z.since == 0 {
		z.since = now
	}
	if now-z.since >= int64(answerAge) {
		z.conclude(e, t, now)
	}
	if now-z.probed < int64(probeInterval) {
		return out
	}
	z.probed = now
	self := e.Self()
	for _, id := range cluster.SortedKeys(t.peers) {
		if p := t.peers[id]; id != self {
			m := relay.Message{Kind: relay.Probe, Sender: self, Version: t.version}
			out = append(out, Outgoing{To: id, Addr: p.addr, Message: m})
		}
	}
	return out
}

// census counts the instances of one zone.
type census struct {
	registered, silent int
}

// conclude decides how to go on without a lease. A peer that holds one gets this
// instance's packets. Otherwise a zone more than half of whose instances are
// known to be without a lease is held: control can't move flows away from its
// backend servers. This instance goes on if its own zone is held, towards the
// backend servers of held zones, with the highest version among those it hears.
func (z *zoneState) conclude(e *Engine, t *table, now int64) {
	zones := map[catkinrail.Zone]*census{}
	best, bestVersion, leased := catkinrail.InstanceID(0), t.version, catkinrail.InstanceID(0)
	self := e.Self()
	view := &cutView{held: map[catkinrail.Zone]bool{}}
	for _, id := range cluster.SortedKeys(t.peers) {
		zone := t.peers[id].zone
		if zones[zone] == nil {
			zones[zone] = &census{}
		}
		zones[zone].registered++
		a, ok := z.answers[id]
		switch {
		case id != self && (!ok || now-a.at > int64(answerAge)):
			continue
		case id != self && a.leased:
			// Peers of the own zone are nearer.
			if leased == 0 || zone == e.cfg.Zone {
				leased = id
			}
			continue
		case id != self && a.version > bestVersion:
			best, bestVersion = id, a.version
		}
		zones[zone].silent++
		view.members = append(view.members, newMember(id, zone))
	}
	for zone, c := range zones {
		view.held[zone] = 2*c.silent > c.registered
	}
	switch {
	case leased != 0:
		z.set(nil, leased)
	case view.held[e.cfg.Zone] && best == 0:
		z.set(view, 0)
	case view.held[e.cfg.Zone]:
		z.set(nil, best)
	default:
		z.set(nil, 0)
	}
}

func (z *zoneState) set(view *cutView, handoff catkinrail.InstanceID) {
	z.cut.Store(view)
	z.handoff.Store(uint32(handoff))
}

// decideUnleased decides without a lease.
func (e *Engine) decideUnleased(r *request) Verdict {
	if view := e.zone.cut.Load(); view != nil {
		return e.decideCut(r, view)
	}
	if to := catkinrail.InstanceID(e.zone.handoff.Load()); to != 0 && r.hops == 0 {
		return e.relayTo(r, to)
	}
	return r.drop(ReasonNoLease)
}

// decideCut decides in a zone that is cut off. Flows of backend servers outside
// the held zones are neither answered nor moved: their packets are dropped.
func (e *Engine) decideCut(r *request, view *cutView) Verdict {
	if r.b.lookup == nil && view.reaches(r, r.b.Cur) {
		return e.settled(r)
	}
	holders := e.cutHolders(r, view)
	if len(holders) > 0 && holders[0] != e.Self() {
		return e.relayTo(r, holders[0])
	}
	seen := flow.Sighting{Now: r.now, Opening: r.opening, Closing: closing(r.h)}
	if rec, established, ok := e.flows.Touch(r.bucketID(), &r.h.Key, seen); ok {
		if !view.reaches(r, rec.Slot) {
			return r.drop(ReasonUnreachable)
		}
		if r.tooLate(&rec) {
			return r.drop(ReasonLeaving)
		}
		if r.opening || established {
			return e.passAlong(r, holders, &rec)
		}
		return r.forward(rec.Slot)
	}
	if r.opening || r.h.Key.Proto == catkinrail.ProtoUDP {
		r.opening = true
		return e.admitCut(r, view, holders)
	}
	l := r.b.lookup
	if l != nil && l.holds(e.Self()) && view.reaches(r, r.b.Cur) && !r.svc.tracked {
		return r.forward(r.b.Cur)
	}
	return r.drop(ReasonUnreachable)
}

// reaches reports whether packets may go to the slot.
func (v *cutView) reaches(r *request, id catkinrail.SlotID) bool {
	s := r.t.slots[id]
	return s != nil && v.held[s.zone] && s.state != catkinrail.BackendGone
}

// cutHolders returns the members that hold the bucket's records: its replicas
// first, since they know the flows from before the cut.
func (e *Engine) cutHolders(r *request, view *cutView) []catkinrail.InstanceID {
	var out []catkinrail.InstanceID
	if l := r.b.lookup; l != nil {
		for _, id := range l.members() {
			if contains(view.members, id) {
				out = append(out, id)
			}
		}
	}
	var scratch [NumReplicas]member
	for _, m := range rank(view.members, bucketHash(r.svc.id, r.n), NumReplicas, scratch[:0]) {
		if !slices.Contains(out, m.id) && len(out) < NumReplicas {
			out = append(out, m.id)
		}
	}
	return out
}

// admitCut places a new flow where the bucket says, if that can be reached, and
// otherwise on any backend server that can.
func (e *Engine) admitCut(r *request, view *cutView, holders []catkinrail.InstanceID) Verdict {
	id, usual := e.placeCut(r, view)
	if id == catkinrail.NoSlot {
		return r.drop(ReasonNoBackend)
	}
	if !usual && time.Duration(r.now-e.lease.Load()) < cutDelay {
		return r.drop(ReasonNoLease)
	}
	rec := r.record(id)
	held, ok := e.flows.Insert(r.bucketID(), &rec, r.svc.cfg.MaxRecords)
	if !ok {
		return r.drop(ReasonLimit)
	}
	e.noteException(r.bucketID())
	return e.passAlong(r, holders, &held)
}

// hears reports whether all of the instances are heard.
func (v *cutView) hears(list []catkinrail.InstanceID) bool {
	return !slices.ContainsFunc(list, func(id catkinrail.InstanceID) bool { return !contains(v.members, id) })
}

// placeCut chooses the slot of a new flow. Usual is set if it's the one that the
// configuration names and all of the bucket's replicas get its record.
func (e *Engine) placeCut(r *request, view *cutView) (id catkinrail.SlotID, usual bool) {
	complete := r.b.lookup != nil && view.hears(r.b.lookup.members())
	if r.b.lookup != nil && !r.svc.tracked {
		if id, _ := e.place(r); view.reaches(r, id) {
			return id, complete
		}
	}
	var reachable []weighted
	for _, w := range r.svc.active {
		if view.held[w.zone] {
			reachable = append(reachable, w)
		}
	}
	return e.leastLoaded(reachable), complete && r.svc.tracked
}

func (e *Engine) noteException(b flow.Bucket) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zone.exceptions[b] = true
	e.zone.anyException.Store(true)
}

// exception looks up a flow of a settled bucket that may have been placed
// elsewhere while the zone was cut off.
func (e *Engine) exception(r *request) (Verdict, bool) {
	if !e.zone.anyException.Load() {
		return Verdict{}, false
	}
	rec, _, ok := e.flows.Touch(r.bucketID(), &r.h.Key, flow.Sighting{Now: r.now, Opening: r.opening, Closing: closing(r.h)})
	if !ok {
		return Verdict{}, false
	}
	return r.forward(rec.Slot), true
}

// Exceptions returns the settled buckets that hold records from a cut, by
// service. Other instances must look their flows up before those are merged.
func (e *Engine) Exceptions() map[catkinrail.ServiceID][]uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.table.Load()
	out := map[catkinrail.ServiceID][]uint32{}
	for b := range e.zone.exceptions {
		svc := t.byID[b.Service]
		if svc != nil && svc.buckets[b.Number].lookup == nil {
			out[b.Service] = append(out[b.Service], b.Number)
		}
	}
	for _, list := range out {
		slices.Sort(list)
	}
	return out
}

// mergeExceptions hands records from a cut to the buckets' replicas and forgets
// the exception once all of them have confirmed.
func (e *Engine) mergeExceptions(t *table) {
	for b := range e.zone.exceptions {
		svc := t.byID[b.Service]
		if svc == nil {
			e.dropException(b)
			continue
		}
		l := svc.buckets[b.Number].lookup
		if l == nil || e.zone.merging[b] > 0 {
			continue
		}
		e.startMerge(b, l)
	}
}

func (e *Engine) startMerge(b flow.Bucket, l *lookup) {
	list := e.flows.Records(b)
	done := func() {
		e.zone.merging[b]--
		if e.zone.merging[b] == 0 {
			e.dropException(b)
		}
	}
	for _, id := range l.members() {
		if id != e.Self() {
			e.zone.merging[b] += e.copies.add(id, list, false, done)
		}
	}
	if e.zone.merging[b] == 0 {
		e.dropException(b)
	}
}

func (e *Engine) dropException(b flow.Bucket) {
	delete(e.zone.exceptions, b)
	delete(e.zone.merging, b)
	e.zone.anyException.Store(len(e.zone.exceptions) > 0)
}

// Partitioned reports whether the zone is cut off and this instance goes on serving it.
func (e *Engine) Partitioned() bool {
	return e.zone.isCut()
}
