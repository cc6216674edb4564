package route

import (
	"maps"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/state/flow"
)

// Pacing of record copies.
const (
	// copiesPerTick bounds the Copy messages that one Tick sends.
	copiesPerTick = 32
	// copyRetry is the time after which an unconfirmed Copy is sent again.
	copyRetry = 200 * time.Millisecond
	// refreshTries is how often a Copy is sent that no change of view waits for.
	refreshTries = 4
)

// copier sends flow records to other replicas until they confirm them.
type copier struct {
	seq uint32
	// view is the version of the view whose new replicas are being served.
	view    uint64
	pending map[uint32]*copyBatch
	// refresh collects records to send at the next tick, by receiver.
	refresh map[catkinrail.InstanceID][]catkinrail.Record
}

type copyBatch struct {
	to      catkinrail.InstanceID
	records []catkinrail.Record
	sent    int64
	tries   int
	// forView is set if the change of view waits for the batch.
	forView bool
	// done is called once the batch is confirmed.
	done func()
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
		c.pending[c.seq] = &copyBatch{to: to, records: chunk, forView: forView, done: done}
		n++
	}
	return n
}

// startCopies begins to serve the new replicas of a view in Prepare. Only the
// first replica that is left of each bucket sends its records.
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
			if l == nil || l.base == 0 || l.chain[0] != self || l.base == l.length {
				continue
			}
			list := e.flows.Records(flow.Bucket{Service: svc.id, Number: uint32(n)})
			for _, id := range l.chain[l.base:l.length] {
				byReceiver[id] = append(byReceiver[id], list...)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(byReceiver)) {
		e.copies.add(id, byReceiver[id], true, nil)
	}
}

// Synced returns the version of the view for which this instance has handed
// over its records.
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

// correct tells the sender of a record that the flow has an earlier one.
func (e *Engine) correct(to catkinrail.InstanceID, held *catkinrail.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies.add(to, []catkinrail.Record{*held}, false, nil)
}

// Receive handles a message without a packet and returns the answers to it.
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
	// A replica that lags behind the sender would drop the records as unneeded.
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
		e.flows.Stored(id, now)
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
	if b.done != nil {
		b.done()
	}
}

// Tick does the work that is due: it sends copies, expires records in a part of
// the table and, without a lease, probes the zone.
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
	e.flows.Sweep(e.turn, now, policy, refresh)
	e.turn++
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
		if len(out) == copiesPerTick {
			break
		}
		b := e.copies.pending[seq]
		if b.tries > 0 && now-b.sent < int64(copyRetry) {
			continue
		}
		p, ok := t.peers[b.to]
		if !ok || (!b.forView && b.done == nil && b.tries == refreshTries) {
			delete(e.copies.pending, seq)
			continue
		}
		b.tries++
		b.sent = now
		m := relay.Message{Kind: relay.Copy, Sender: e.Self(), Version: t.version, View: t.view.Version, Seq: seq}
		var payload []byte
		for i := range b.records {
			payload = relay.AppendRecord(payload, &b.records[i], now)
		}
		out = append(out, Outgoing{To: b.to, Addr: p.addr, Message: m, Payload: payload})
	}
	return out
}
