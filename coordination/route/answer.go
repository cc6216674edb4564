package route

import (
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/state/flow"
)

// refuseAfter is how long a bucket must not have lost track of an opening
// packet before a refusal is known to be true.
const refuseAfter = flow.HalfOpenAge

// answer decides for a bucket whose first replica this instance is.
func (e *Engine) answer(r *request) Verdict {
	seen := flow.Sighting{Now: r.now, Opening: r.opening, Closing: closing(r.h)}
	rec, established, ok := e.flows.Touch(r.bucketID(), &r.h.Key, seen)
	if ok {
		return e.recorded(r, &rec, established || seen.Closing)
	}
	if r.h.Quoted {
		return e.unrecorded(r)
	}
	// A datagram without a record opens a flow. In Prepare it may belong to a
	// flow from before, and is recorded where that flow is.
	if r.opening || r.h.Key.Proto == catkinrail.ProtoUDP {
		r.opening = true
		return e.admit(r)
	}
	return e.unrecorded(r)
}

func closing(h *ip.Header) bool {
	return h.Key.Proto == catkinrail.ProtoTCP && h.Flags&(ip.FlagFIN|ip.FlagRST) != 0
}

// recorded passes a packet on to the slot that its flow's record names. What
// the other replicas must know about the flow travels along the chain.
func (e *Engine) recorded(r *request, rec *catkinrail.Record, tell bool) Verdict {
	if r.tooLate(rec) {
		return r.drop(ReasonLeaving)
	}
	if (r.opening || tell) && !r.h.Quoted {
		return e.passAlong(r, r.b.lookup.members(), rec)
	}
	return r.forward(rec.Slot)
}

// tooLate reports whether an opening packet must not go where its record says:
// the first one may have been lost on its way, and the slot takes no new flow
// any more.
func (r *request) tooLate(rec *catkinrail.Record) bool {
	return r.opening && !rec.Established && !r.t.slots[rec.Slot].admits(r.now)
}

// unrecorded decides about a later packet of a flow without a record: the flow
// is from before the move.
func (e *Engine) unrecorded(r *request) Verdict {
	if r.svc.tracked {
		return r.drop(ReasonNoRecord)
	}
	if l := r.b.lookup; l.move != nil && r.b.Phase == catkinrail.Open {
		l.move.unrecorded.Store(r.now)
	}
	return r.forward(r.b.Cur)
}

// admit places a new flow, records it and passes its first packet along the
// replicas.
func (e *Engine) admit(r *request) Verdict {
	id, reason := e.place(r)
	if id == catkinrail.NoSlot {
		return e.refuse(r, reason)
	}
	rec := r.record(id)
	held, ok := e.flows.Insert(r.bucketID(), &rec, r.svc.cfg.MaxRecords)
	if !ok {
		return e.overflow(r)
	}
	return e.passAlong(r, r.b.lookup.members(), &held)
}

// record returns the record of a new flow. A UDP flow has no handshake.
func (r *request) record(id catkinrail.SlotID) catkinrail.Record {
	return catkinrail.Record{
		Key: r.h.Key, Slot: id, Epoch: r.t.version, Seen: r.now,
		Established: r.h.Key.Proto == catkinrail.ProtoUDP,
	}
}

// place chooses the slot of a new flow.
func (e *Engine) place(r *request) (catkinrail.SlotID, Reason) {
	if r.svc.tracked {
		return e.lessLoaded(r), ReasonNoBackend
	}
	id := r.b.Cur
	if r.b.Phase == catkinrail.Open {
		id = r.b.Next
	}
	if r.t.slots[id].admits(r.now) {
		return id, ReasonNone
	}
	return catkinrail.NoSlot, ReasonLeaving
}

// secondChoicePercent is the share of a tracked service's new flows that go to the
// less loaded of two slots. It bounds what an added slot gets beyond its share.
const secondChoicePercent = 14

// lessLoaded picks a slot by the flow's hash and the slots' weights. For a part of
// the flows it picks two, and returns the less loaded one.
func (e *Engine) lessLoaded(r *request) catkinrail.SlotID {
	active := r.svc.active
	if len(active) == 0 {
		return catkinrail.NoSlot
	}
	h := mix(hash(&r.h.Key, r.svc.seed))
	first := pick(active, h)
	if h>>32%100 >= secondChoicePercent {
		return first.slot
	}
	return e.leastLoaded([]weighted{first, pick(active, mix(h))})
}

// pick returns a slot, by weight, that belongs to the hash.
func pick(active []weighted, h uint64) weighted {
	total := int64(0)
	for _, w := range active {
		total += w.weight
	}
	at := int64(h % uint64(total))
	for _, w := range active {
		if at -= w.weight; at < 0 {
			return w
		}
	}
	return active[len(active)-1]
}

// leastLoaded returns the slot with the fewest records for its weight.
func (e *Engine) leastLoaded(active []weighted) catkinrail.SlotID {
	best, bestLoad, bestWeight := catkinrail.NoSlot, int64(0), int64(1)
	for _, w := range active {
		load := e.flows.Load(w.slot) + 1
		if best == catkinrail.NoSlot || load*bestWeight < bestLoad*w.weight {
			best, bestLoad, bestWeight = w.slot, load, w.weight
		}
	}
	return best
}

// overflow decides about a new flow for which there is no room: the current
// slot needs no record.
func (e *Engine) overflow(r *request) Verdict {
	if !r.svc.tracked && r.b.slot != nil && r.b.slot.state == catkinrail.BackendActive {
		return r.forward(r.b.Cur)
	}
	return e.refuse(r, ReasonLimit)
}

// refuse tells the caller that its request did not run, if that is known: this
// instance must have kept track of the bucket's opening packets for as long as
// a caller repeats them. Otherwise it keeps silent.
func (e *Engine) refuse(r *request, reason Reason) Verdict {
	v := r.drop(reason)
	since := max(e.flows.Forgot(r.bucketID()), e.viewSince.Load())
	if r.opening && r.h.Key.Proto == catkinrail.ProtoTCP && r.svc.tracked && since != 0 &&
		time.Duration(r.now-since) > refuseAfter {
		v.Action = Refuse
	}
	return v
}

// passAlong sends the packet with its record along the other holders of the
// bucket's records, or to the slot if there are none.
func (e *Engine) passAlong(r *request, holders []catkinrail.InstanceID, rec *catkinrail.Record) Verdict {
	self := e.Self()
	m := relay.Message{Kind: relay.Store, Sender: self}
	for _, id := range holders {
		if id == self {
			continue
		}
		m.Chain[m.ChainLength] = id
		m.ChainLength++
	}
	return e.next(&m, r, rec)
}

// next sends a Store to its next receiver. A receiver that isn't known was
// removed since and is passed over, unless the sender's configuration is newer:
// then it has joined, must hold the record, and the caller has to try again.
func (e *Engine) next(m *relay.Message, r *request, rec *catkinrail.Record) Verdict {
	for ; m.ChainIndex < m.ChainLength; m.ChainIndex++ {
		p, ok := r.t.peers[m.Chain[m.ChainIndex]]
		if !ok && m.Version > r.t.version {
			return r.drop(ReasonNoPeer)
		}
		if !ok {
			continue
		}
		m.Slot, m.Epoch = rec.Slot, rec.Epoch
		m.Version, m.View = max(m.Version, r.t.version), r.t.view.Version
		m.Flags = storeFlags(rec)
		return Verdict{Action: Relay, Service: r.svc.id, Opening: r.opening, Addr: p.addr, Message: *m}
	}
	return r.forward(rec.Slot)
}

// Flags of a Store.
const (
	storeEstablished uint8 = 1 << 0
	storeClosing     uint8 = 1 << 1
)

func storeFlags(rec *catkinrail.Record) uint8 {
	flags := uint8(0)
	if rec.Established {
		flags |= storeEstablished
	}
	if rec.Closing {
		flags |= storeClosing
	}
	return flags
}

// store keeps the record that came with a packet and passes both on.
func (e *Engine) store(m *relay.Message, r *request) Verdict {
	if !e.Leased(r.now) && !e.zone.isCut() {
		return r.drop(ReasonNoLease)
	}
	if m.ChainIndex >= m.ChainLength || m.Chain[m.ChainIndex] != e.Self() {
		return r.drop(ReasonNoPeer)
	}
	rec := catkinrail.Record{Key: r.h.Key, Slot: m.Slot, Epoch: m.Epoch, Seen: r.now}
	rec.Established = m.Flags&storeEstablished != 0
	rec.Closing = m.Flags&storeClosing != 0
	held, ok := e.flows.Insert(r.bucketID(), &rec, r.svc.cfg.MaxRecords)
	if ok && held.Slot != rec.Slot {
		e.correct(m.Sender, &held)
	}
	if e.zone.isCut() {
		e.noteException(r.bucketID())
	}
	m.ChainIndex++
	return e.next(m, r, &held)
}
