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

// Timing of probes and of partitioned zones.
const (
	probeInterval = 200 * time.Millisecond
	// maxAnswerAge is the age up to which an answer to a probe counts. An instance
	// probes for as long before it first evaluates the answers.
	maxAnswerAge = 700 * time.Millisecond
	// partitionGracePeriod is how long after the end of its lease an instance waits
	// before it places new flows on a slot other than the configured one, or without
	// all of the bucket's replicas. It outlasts the election of a control leader, so
	// that an election leaves no flows to merge.
	partitionGracePeriod = 4 * time.Second
)

// zoneState is what an instance without a lease knows of its zone.
type zoneState struct {
	// partition is set while the zone is partitioned and this instance may decide.
	partition atomic.Pointer[partitionView]
	// handoff is a peer that may decide while this instance may not, or zero.
	handoff atomic.Uint32
	// anyException is set while exceptions isn't empty.
	anyException atomic.Bool

	// The fields below are guarded by the engine's mutex.
	answers  map[catkinrail.InstanceID]probeAnswer
	probedAt int64
	// probingSince is the time at which probing began, or zero.
	probingSince int64
	// exceptions are the buckets that got new flows or records while the zone was
	// partitioned. They remain until all replicas have confirmed the records.
	exceptions map[flow.Bucket]bool
	// merging counts, by bucket, the batches of records that aren't confirmed yet.
	merging map[flow.Bucket]int
}

// partitionView is the part of the cluster that a partitioned instance works with.
type partitionView struct {
	// members are the instances in contact that have no lease, this one included.
	members []member
	// usable contains the zones whose backend servers may receive packets.
	usable map[catkinrail.Zone]bool
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

func (z *zoneState) isPartitioned() bool {
	return z.partition.Load() != nil
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

// tick probes the other instances while this one has no lease, and evaluates their
// answers.
func (z *zoneState) tick(e *Engine, t *table, now int64, out []Outgoing) []Outgoing {
	if e.Leased(now) {
		z.partition.Store(nil)
		z.handoff.Store(0)
		clear(z.answers)
		z.probingSince = 0
		return out
	}
	if z.probingSince == 0 {
		z.probingSince = now
	}
	if now-z.probingSince >= int64(maxAnswerAge) {
		z.evaluate(e, t, now)
	}
	if now-z.probedAt < int64(probeInterval) {
		return out
	}
	z.probedAt = now
	self := e.Self()
	for _, id := range cluster.SortedKeys(t.peers) {
		if p := t.peers[id]; id != self {
			m := relay.Message{Kind: relay.Probe, Sender: self, Version: t.version}
			out = append(out, Outgoing{To: id, Addr: p.addr, Message: m})
		}
	}
	return out
}

// zoneCount counts the registered instances of a zone, and those known to be without
// a lease.
type zoneCount struct {
	registered, unleased int
}

// evaluate decides how to go on without a lease.
//
// A peer that holds a lease gets this instance's packets. Otherwise, a zone is usable
// if more than half of its instances are known to have no lease: control then can't
// move flows away from the zone's backend servers. An instance in a usable zone
// decides itself, for the backend servers of usable zones, if no instance in contact
// has a higher version. If any has, the one with the highest version gets this
// instance's packets.
func (z *zoneState) evaluate(e *Engine, t *table, now int64) {
	zones := map[catkinrail.Zone]*zoneCount{}
	best, bestVersion, leased := catkinrail.InstanceID(0), t.version, catkinrail.InstanceID(0)
	self := e.Self()
	view := &partitionView{usable: map[catkinrail.Zone]bool{}}
	for _, id := range cluster.SortedKeys(t.peers) {
		zone := t.peers[id].zone
		if zones[zone] == nil {
			zones[zone] = &zoneCount{}
		}
		zones[zone].registered++
		a, ok := z.answers[id]
		switch {
		case id != self && (!ok || now-a.at > int64(maxAnswerAge)):
			continue
		case id != self && a.leased:
			// Prefer peers in the same zone, which are nearer.
			if leased == 0 || zone == e.cfg.Zone {
				leased = id
			}
			continue
		case id != self && a.version > bestVersion:
			best, bestVersion = id, a.version
		}
		zones[zone].unleased++
		view.members = append(view.members, newMember(id, zone))
	}
	for zone, c := range zones {
		view.usable[zone] = 2*c.unleased > c.registered
	}
	switch {
	case leased != 0:
		z.set(nil, leased)
	case view.usable[e.cfg.Zone] && best == 0:
		z.set(view, 0)
	case view.usable[e.cfg.Zone]:
		z.set(nil, best)
	default:
		z.set(nil, 0)
	}
}

func (z *zoneState) set(view *partitionView, handoff catkinrail.InstanceID) {
	z.partition.Store(view)
	z.handoff.Store(uint32(handoff))
}

// decideUnleased decides without a lease.
func (e *Engine) decideUnleased(r *request) Verdict {
	if view := e.zone.partition.Load(); view != nil {
		return e.decidePartitioned(r, view)
	}
	if to := catkinrail.InstanceID(e.zone.handoff.Load()); to != 0 && r.hops == 0 {
		return e.relayTo(r, to)
	}
	return r.drop(ReasonNoLease)
}

// decidePartitioned decides in a partitioned zone. Packets of flows on backend servers
// outside the usable zones are dropped; their flows are neither refused nor moved.
func (e *Engine) decidePartitioned(r *request, view *partitionView) Verdict {
	if r.b.lookup == nil && view.canReach(r, r.b.Cur) {
		return e.decideSettled(r)
	}
	holders := e.partitionHolders(r, view)
	if len(holders) > 0 && holders[0] != e.Self() {
		return e.relayTo(r, holders[0])
	}
	packet := flow.PacketInfo{Now: r.now, Opening: r.opening, Closing: closing(r.h)}
	if rec, established, ok := e.flows.Touch(r.bucketID(), &r.h.Key, packet); ok {
		if !view.canReach(r, rec.Slot) {
			return r.drop(ReasonUnreachable)
		}
		if r.slotClosed(&rec) {
			return r.drop(ReasonLeaving)
		}
		if r.opening || established {
			return e.replicate(r, holders, &rec)
		}
		return r.forward(rec.Slot)
	}
	if r.opening || r.h.Key.Proto == catkinrail.ProtoUDP {
		r.opening = true
		return e.admitPartitioned(r, view, holders)
	}
	l := r.b.lookup
	if l != nil && l.holds(e.Self()) && view.canReach(r, r.b.Cur) && !r.svc.tracked {
		return r.forward(r.b.Cur)
	}
	return r.drop(ReasonUnreachable)
}

// canReach reports whether packets may be sent to the slot.
func (v *partitionView) canReach(r *request, id catkinrail.SlotID) bool {
	s := r.t.slots[id]
	return s != nil && v.usable[s.zone] && s.state != catkinrail.BackendGone
}

// partitionHolders returns the members that hold the bucket's records. Its replicas
// come first, since they have the records from before the partition.
func (e *Engine) partitionHolders(r *request, view *partitionView) []catkinrail.InstanceID {
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

// admitPartitioned places a new flow on the slot that the bucket gives, if that is
// reachable, and otherwise on any reachable backend server.
func (e *Engine) admitPartitioned(r *request, view *partitionView, holders []catkinrail.InstanceID) Verdict {
	id, regular := e.placePartitioned(r, view)
	if id == catkinrail.NoSlot {
		return r.drop(ReasonNoBackend)
	}
	if !regular && time.Duration(r.now-e.lease.Load()) < partitionGracePeriod {
		return r.drop(ReasonNoLease)
	}
	rec := r.record(id)
	held, ok := e.flows.Insert(r.bucketID(), &rec, r.svc.cfg.MaxRecords)
	if !ok {
		return r.drop(ReasonLimit)
	}
	e.addException(r.bucketID())
	return e.replicate(r, holders, &held)
}

// containsAll reports whether all of the instances are members.
func (v *partitionView) containsAll(list []catkinrail.InstanceID) bool {
	return !slices.ContainsFunc(list, func(id catkinrail.InstanceID) bool { return !contains(v.members, id) })
}

// placePartitioned chooses the slot of a new flow. The second result reports whether
// the slot is one that the cluster state allows and all of the bucket's replicas get
// the record.
func (e *Engine) placePartitioned(r *request, view *partitionView) (id catkinrail.SlotID, regular bool) {
	complete := r.b.lookup != nil && view.containsAll(r.b.lookup.members())
	if r.b.lookup != nil && !r.svc.tracked {
		if id, _ := e.place(r); view.canReach(r, id) {
			return id, complete
		}
	}
	var reachable []weightedSlot
	for _, w := range r.svc.active {
		if view.usable[w.zone] {
			reachable = append(reachable, w)
		}
	}
	return e.leastLoaded(reachable), complete && r.svc.tracked
}

func (e *Engine) addException(b flow.Bucket) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.zone.exceptions[b] = true
	e.zone.anyException.Store(true)
}

// decideException decides about a flow of a settled bucket that may have been placed on
// another slot while the zone was partitioned. It returns false if the flow has no
// record.
func (e *Engine) decideException(r *request) (Verdict, bool) {
	if !e.zone.anyException.Load() {
		return Verdict{}, false
	}
	rec, _, ok := e.flows.Touch(r.bucketID(), &r.h.Key, flow.PacketInfo{Now: r.now, Opening: r.opening, Closing: closing(r.h)})
	if !ok {
		return Verdict{}, false
	}
	return r.forward(rec.Slot), true
}

// Exceptions returns the settled buckets that hold records from a partition, by
// service. Other instances must look up the buckets' flows before the records can be
// merged.
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

// mergeExceptions copies records from a partition to the buckets' replicas. It removes
// the exception once all of them have confirmed.
func (e *Engine) mergeExceptions(t *table) {
	for b := range e.zone.exceptions {
		svc := t.byID[b.Service]
		if svc == nil {
			e.removeException(b)
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
			e.removeException(b)
		}
	}
	for _, id := range l.members() {
		if id != e.Self() {
			e.zone.merging[b] += e.copies.add(id, list, false, done)
		}
	}
	if e.zone.merging[b] == 0 {
		e.removeException(b)
	}
}

func (e *Engine) removeException(b flow.Bucket) {
	delete(e.zone.exceptions, b)
	delete(e.zone.merging, b)
	e.zone.anyException.Store(len(e.zone.exceptions) > 0)
}

// Partitioned reports whether the zone is partitioned and this instance may serve it.
func (e *Engine) Partitioned() bool {
	return e.zone.isPartitioned()
}
