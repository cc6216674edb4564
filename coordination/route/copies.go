package route

import (
	"maps"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/state/flow"
)

// Limits and intervals for sending record copies.
const (
	// maxCopiesPerTick is the maximum number of Copy messages that one Tick sends.
	maxCopiesPerTick = 32
	// copyRetryInterval is the time after which an unconfirmed Copy is sent again.
	copyRetryInterval = 200 * time.Millisecond
	// maxRefreshAttempts is how often a Copy is sent if neither a change of view
	// nor a merge depends on it.
	maxRefreshAttempts = 4
)

// copier sends flow records to other replicas until they confirm them.
type copier struct {
	seq uint32
	// view is the version of the view whose new replicas startCopies last served.
	view    uint64
	pending map[uint32]*copyBatch
	// refresh holds the records to queue in the current sweep, by receiver.
	refresh map[catkinrail.InstanceID][]catkinrail.Record
}

type copyBatch struct {
	to       catkinrail.InstanceID
	records  []catkinrail.Record
	sentAt   int64
	attempts int
	// forView is set if the change of view can't go on before the batch is confirmed.
	forView bool
	// onAck, if set, is called once the batch is confirmed.
	onAck func()
}

func newCopier() copier {
	return copier{
		pending: map[uint32]*copyBatch{},
		refresh: map[catkinrail.InstanceID][]catkinrail.Record{},
	}
}

// add queues the records for the receiver and returns the number of batches.
func (c *copier) add(to catkinrail.InstanceID, list []catkinrail.Record, forView bool, done func()) int {
	n := 0
	for chunk := range slices.Chunk(list, relay.MaxRecords) {
		c.seq++
		c.pending[c.seq] = &copyBatch{to: to, records: chunk, forView: forView, onAck: done}
		n++
	}
	return n
}

// startCopies queues the records that the new replicas of a view in Prepare need.
// Only the first remaining replica of each bucket sends that bucket's records.
func (e *Engine) startCopies(t *table) {
	if t.view.Phase != catkinrail.Prepare || t.view.Version == e.copies.view {
		return
	}
	e.copies.view = t.view.Version
	maps.DeleteFunc(e.copies.pending, func(_ uint32, b *copyBatch) bool { return b.forView })
	byReceiver := map[catkinrail.InstanceID][]catkinrail.Record{}
	self := e.Self()
	for _, svc := range t.byID {
		for n := range svc.buckets {
			l := svc.buckets[n].lookup
			if l == nil || l.baseLength == 0 || l.chain[0] != self || l.baseLength == l.length {
				continue
			}
			list := e.flows.Records(flow.Bucket{Service: svc.id, Number: uint32(n)})
			for _, id := range l.chain[l.baseLength:l.length] {
				byReceiver[id] = append(byReceiver[id], list...)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(byReceiver)) {
		e.copies.add(id, byReceiver[id], true, nil)
	}
}

// Synced returns the version of the view for which this instance has copied its
// records to the new replicas, or zero while such copies are unconfirmed.
func (e *Engine) Synced() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.table.Load()
	if t.view.Phase != catkinrail.Prepare {
		return t.view.Version
	}
	for _, b := range e.copies.pending {
		if b.forView {
			return 0
		}
	}
	return e.copies.view
}

// queueCorrection queues a Copy of an earlier record of the same flow to the sender
// of a record.
func (e *Engine) queueCorrection(to catkinrail.InstanceID, held *catkinrail.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies.add(to, []catkinrail.Record{*held}, false, nil)
}

// Receive handles a message that carries no packet and returns the replies to send.
func (e *Engine) Receive(m *relay.Message, payload []byte, now int64) ([]Outgoing, error) {
	switch m.Kind {
	case relay.Copy:
		return e.receiveCopy(m, payload, now)
	case relay.CopyAck:
		e.receiveAck(m.Seq)
	case relay.Probe:
		return e.answerProbe(m, now), nil
	case relay.ProbeAnswer:
		e.receiveProbeAnswer(m, now)
	}
	return nil, nil
}

func (e *Engine) receiveCopy(m *relay.Message, payload []byte, now int64) ([]Outgoing, error) {
	list, err := relay.ParseRecords(payload, now)
	if err != nil {
		return nil, err
	}
	t := e.table.Load()
	// With a lower state version than the sender's, this instance might remove the
	// records as unneeded. It doesn't confirm them, so that the sender retries.
	if t.version < m.Version {
		return nil, nil
	}
	for i := range list {
		svc := t.services[endpointOfFlow(&list[i].Key)]
		if svc == nil {
			continue
		}
		n := uint32(hash(&list[i].Key, svc.seed) & svc.mask)
		id := flow.Bucket{Service: svc.id, Number: n}
		e.flows.Insert(id, &list[i], catkinrail.MaxBucketRecords)
		e.flows.MarkStored(id, now)
	}
	p, ok := t.peers[m.Sender]
	if !ok {
		return nil, nil
	}
	ack := relay.Message{Kind: relay.CopyAck, Sender: e.Self(), Version: t.version, Seq: m.Seq}
	return []Outgoing{{To: m.Sender, Addr: p.addr, Message: ack}}, nil
}

func (e *Engine) receiveAck(seq uint32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.copies.pending[seq]
	if b == nil {
		return
	}
	delete(e.copies.pending, seq)
	if b.onAck != nil {
		b.onAck()
	}
}

// Tick expires records in one shard of the table, merges exceptions and returns the
// messages that are due: copies and, without a lease, probes.
func (e *Engine) Tick(now int64) []Outgoing {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.table.Load()
	e.sweep(t, now)
	e.mergeExceptions(t)
	out := e.sendCopies(t, now)
	return e.zone.tick(e, t, now, out)
}

func (e *Engine) sweep(t *table, now int64) {
	self := e.Self()
	policy := func(b flow.Bucket) flow.Policy { return e.policy(t, b, self) }
	refresh := func(b flow.Bucket, rec *catkinrail.Record) {
		for _, id := range t.byID[b.Service].buckets[b.Number].lookup.members() {
			if id != self {
				e.copies.refresh[id] = append(e.copies.refresh[id], *rec)
			}
		}
	}
	e.flows.Sweep(e.sweepTurn, now, policy, refresh)
	e.sweepTurn++
	for _, id := range slices.Sorted(maps.Keys(e.copies.refresh)) {
		e.copies.add(id, e.copies.refresh[id], false, nil)
		delete(e.copies.refresh, id)
	}
}

func (e *Engine) policy(t *table, b flow.Bucket, self catkinrail.InstanceID) flow.Policy {
	svc := t.byID[b.Service]
	if svc == nil {
		return flow.Policy{}
	}
	gone := func(id catkinrail.SlotID) bool {
		s := t.slots[id]
		return s == nil || s.state == catkinrail.BackendGone
	}
	p := flow.Policy{Idle: svc.cfg.IdleTimeout, Gone: gone, Keep: e.zone.exceptions[b]}
	if l := svc.buckets[b.Number].lookup; l != nil && (l.holds(self) || l.length == 0) {
		p.Keep = true
		p.Refresh = l.head == self
	}
	return p
}

func (e *Engine) sendCopies(t *table, now int64) []Outgoing {
	var out []Outgoing
	for _, seq := range slices.Sorted(maps.Keys(e.copies.pending)) {
		if len(out) == maxCopiesPerTick {
			break
		}
		b := e.copies.pending[seq]
		if b.attempts > 0 && now-b.sentAt < int64(copyRetryInterval) {
			continue
		}
		p, ok := t.peers[b.to]
		if !ok || (!b.forView && b.onAck == nil && b.attempts == maxRefreshAttempts) {
			delete(e.copies.pending, seq)
			continue
		}
		b.attempts++
		b.sentAt = now
		m := relay.Message{Kind: relay.Copy, Sender: e.Self(), Version: t.version, View: t.view.Version, Seq: seq}
		var payload []byte
		for i := range b.records {
			payload = relay.AppendRecord(payload, &b.records[i], now)
		}
		out = append(out, Outgoing{To: b.to, Addr: p.addr, Message: m, Payload: payload})
	}
	return out
}
