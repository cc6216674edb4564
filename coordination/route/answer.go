package route

import (
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/state/flow"
)

// minTrackingTime is how long an instance must have tracked all opening packets of
// a bucket before it may refuse a flow: it then knows that none of the caller's
// earlier opening packets was passed on.
const minTrackingTime = flow.HalfOpenAge

// decideAsHead decides about a packet whose bucket has this instance as its head.
func (e *Engine) decideAsHead(r *request) Verdict {
	packet := flow.PacketInfo{Now: r.now, Opening: r.opening, Closing: closing(r.h)}
	rec, established, ok := e.flows.Touch(r.bucketID(), &r.h.Key, packet)
	if ok {
		return e.decideRecorded(r, &rec, established || packet.Closing)
	}
	if r.h.Quoted {
		return e.decideUnrecorded(r)
	}
	// A datagram without a record opens a flow. In Prepare it may also belong to an
	// earlier flow of a hashed service, which is on the current slot; admit then
	// records it there.
	if r.opening || r.h.Key.Proto == catkinrail.ProtoUDP {
		r.opening = true
		return e.admit(r)
	}
	return e.decideUnrecorded(r)
}

func closing(h *ip.Header) bool {
	return h.Key.Proto == catkinrail.ProtoTCP && h.Flags&(ip.FlagFIN|ip.FlagRST) != 0
}

// decideRecorded forwards a packet to the slot in its flow's record. If the packet
// opens the flow or changes the record, it first visits the other replicas.
func (e *Engine) decideRecorded(r *request, rec *catkinrail.Record, changed bool) Verdict {
	if r.slotClosed(rec) {
		return r.drop(ReasonLeaving)
	}
	if (r.opening || changed) && !r.h.Quoted {
		return e.replicate(r, r.b.lookup.members(), rec)
	}
	return r.forward(rec.Slot)
}

// slotClosed reports whether a repeated opening packet must not go to the recorded
// slot, because it no longer takes new flows. The first opening packet may have been
// lost before it reached the slot.
func (r *request) slotClosed(rec *catkinrail.Record) bool {
	return r.opening && !rec.Established && !r.t.slots[rec.Slot].admits(r.now)
}

// decideUnrecorded decides about a later packet of a flow without a record. For a
// hashed service, the flow was opened before the move and is on the current slot.
func (e *Engine) decideUnrecorded(r *request) Verdict {
	if r.svc.tracked {
		return r.drop(ReasonNoRecord)
	}
	if l := r.b.lookup; l.move != nil && r.b.Phase == catkinrail.Open {
		l.move.unrecorded.Store(r.now)
	}
	return r.forward(r.b.Cur)
}

// admit places a new flow, records it and sends its first packet to the replicas.
func (e *Engine) admit(r *request) Verdict {
	id, reason := e.place(r)
	if id == catkinrail.NoSlot {
		return e.refuse(r, reason)
	}
	rec := r.record(id)
	held, ok := e.flows.Insert(r.bucketID(), &rec, r.svc.cfg.MaxRecords)
	if !ok {
		return e.decideOverflow(r)
	}
	return e.replicate(r, r.b.lookup.members(), &held)
}

// record returns the record of a new flow. A UDP flow has no handshake, so it is
// established at once.
func (r *request) record(id catkinrail.SlotID) catkinrail.Record {
	return catkinrail.Record{
		Key: r.h.Key, Slot: id, Epoch: r.t.version, Seen: r.now,
		Established: r.h.Key.Proto == catkinrail.ProtoUDP,
	}
}

// place chooses the slot of a new flow, or returns NoSlot and the reason.
func (e *Engine) place(r *request) (catkinrail.SlotID, Reason) {
	if r.svc.tracked {
		return e.pickTracked(r), ReasonNoBackend
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

// secondChoicePercent is the percentage of a tracked service's new flows that go to
// the less loaded of two slots. It limits what an added slot gets beyond its share.
const secondChoicePercent = 14

// pickTracked picks a slot by the flow's hash and the slots' weights. For
// secondChoicePercent of the flows it picks two and returns the less loaded one.
func (e *Engine) pickTracked(r *request) catkinrail.SlotID {
	active := r.svc.active
	if len(active) == 0 {
		return catkinrail.NoSlot
	}
	h := mix(hash(&r.h.Key, r.svc.seed))
	first := pickWeighted(active, h)
	if h>>32%100 >= secondChoicePercent {
		return first.slot
	}
	return e.leastLoaded([]weightedSlot{first, pickWeighted(active, mix(h))})
}

// pickWeighted returns the slot that the hash selects in proportion to the weights.
func pickWeighted(active []weightedSlot, h uint64) weightedSlot {
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

// leastLoaded returns the slot with the fewest records in proportion to its weight.
func (e *Engine) leastLoaded(active []weightedSlot) catkinrail.SlotID {
	best, bestLoad, bestWeight := catkinrail.NoSlot, int64(0), int64(1)
	for _, w := range active {
		load := e.flows.Load(w.slot) + 1
		if best == catkinrail.NoSlot || load*bestWeight < bestLoad*w.weight {
			best, bestLoad, bestWeight = w.slot, load, w.weight
		}
	}
	return best
}

// decideOverflow decides about a new flow whose record doesn't fit. The flow can use
// the current slot, because packets without a record go there.
func (e *Engine) decideOverflow(r *request) Verdict {
	if !r.svc.tracked && r.b.slot != nil && r.b.slot.state == catkinrail.BackendActive {
		return r.forward(r.b.Cur)
	}
	return e.refuse(r, ReasonLimit)
}

// refuse refuses the caller's request if it is certain that the request did not run:
// this instance must have tracked the bucket's opening packets for as long as a
// caller retransmits them. Otherwise it drops the packet.
func (e *Engine) refuse(r *request, reason Reason) Verdict {
	v := r.drop(reason)
	since := max(e.flows.LastUntracked(r.bucketID()), e.viewSince.Load())
	if r.opening && r.h.Key.Proto == catkinrail.ProtoTCP && r.svc.tracked && since != 0 &&
		time.Duration(r.now-since) > minTrackingTime {
		v.Action = Refuse
	}
	return v
}

// replicate sends the packet with its record along the other holders of the bucket's
// records, or to the slot if there are none.
func (e *Engine) replicate(r *request, holders []catkinrail.InstanceID, rec *catkinrail.Record) Verdict {
	self := e.Self()
	m := relay.Message{Kind: relay.Store, Sender: self}
	for _, id := range holders {
		if id == self {
			continue
		}
		m.Chain[m.ChainLength] = id
		m.ChainLength++
	}
	return e.relayStore(&m, r, rec)
}

// relayStore sends a Store to its next receiver. A receiver that isn't in the cluster
// state has been removed and is skipped. If the sender's state version is higher, the
// receiver may have joined and must store the record: the packet is then dropped and
// the caller retransmits it.
func (e *Engine) relayStore(m *relay.Message, r *request, rec *catkinrail.Record) Verdict {
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

// receiveStore stores the record that came with a packet and sends both to the next
// replica, or the packet to its slot after the last one.
func (e *Engine) receiveStore(m *relay.Message, r *request) Verdict {
	if !e.Leased(r.now) && !e.zone.isPartitioned() {
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
		e.queueCorrection(m.Sender, &held)
	}
	if e.zone.isPartitioned() {
		e.addException(r.bucketID())
	}
	m.ChainIndex++
	return e.relayStore(m, r, &held)
}
