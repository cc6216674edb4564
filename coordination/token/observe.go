package token

import (
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/egress"
	"catkinrail.example/catkinrail/coordination/upload"
)

// track starts to track a flow that was placed on a backend server. It returns nil if too many
// are tracked.
func (e *Engine) track(p *catkinrail.TokenPacket, b *Backend, now int64) *flow {
	if old := e.flows[p.Flow]; old != nil {
		e.untrack(p.Flow, old)
	}
	if len(e.flows) >= maxFlows {
		return nil
	}
	f := &flow{backend: b, seq: p.Seq, openedAt: now, sent: p.Seq, lastSeen: now}
	e.flows[p.Flow] = f
	b.flows++
	b.pendingHandshakes++
	e.handshakes = append(e.handshakes, handshake{p.Flow, now})
	return f
}

func (e *Engine) untrack(key catkinrail.FlowKey, f *flow) {
	e.uploads.Drop(&f.body)
	e.detach(f)
	delete(e.flows, key)
}

// observe updates the flow, and the load and latency of its backend server, from a
// packet of an open flow. It returns the packet's class.
func (e *Engine) observe(p *catkinrail.TokenPacket, b *Backend, now int64) egress.Class {
	f := e.flows[p.Flow]
	if f == nil || f.backend != b {
		f = e.adopt(p, b, f, now)
		if f == nil {
			return egress.ClassShort
		}
	}
	f.lastSeen = now
	if !f.open {
		e.recordHandshake(f, p.Ack, now)
	}
	if int32(p.Ack-f.acked) > 0 {
		f.acked = p.Ack
		b.misses, b.answeredAt = 0, now
		e.recordAnswer(f, now)
	}
	if p.Payload > 0 {
		e.uploads.Receive(&f.body, e.recordPayload(f, p, now))
	}
	if !f.body.Active() {
		e.uploads.RecordOther(p.Payload+packetOverhead, now)
	}
	if p.Closing || p.Reset {
		e.untrack(p.Flow, f)
	}
	if p.Payload > 0 && f.requestBytes > shortRequest {
		return egress.ClassBulk
	}
	return egress.ClassShort
}

// recordPayload records a packet of a request. The request is complete, and its backend
// server can answer it, once the last of its packets has arrived: a packet that is sent
// again before later ones shows that it had not. It returns the number of bytes that are new.
func (e *Engine) recordPayload(f *flow, p *catkinrail.TokenPacket, now int64) int {
	end := p.Seq + uint32(p.Payload)
	if ahead := int32(end - f.sent); ahead <= 0 {
		if ahead < 0 && f.requestedAt != 0 {
			f.requestedAt = now
		}
		return 0
	}
	fresh := int(end - f.sent)
	f.sent, f.advancedAt = end, now
	if f.requestedAt == 0 {
		f.backend.pending++
		f.requestBytes = 0
		f.beginRequest(now)
		e.awaited = append(e.awaited, awaitedRequest{p.Flow, now})
	}
	f.requestBytes += p.Payload
	f.requestedAt = now
	return fresh
}

// RecordSent records that a packet of the flow has left that had waited for the link.
func (e *Engine) RecordSent(key catkinrail.FlowKey, now int64) {
	if f := e.flows[key]; f != nil && f.requestedAt != 0 {
		f.requestedAt = now
	}
}

// recordHandshake records that the caller has completed the handshake.
func (e *Engine) recordHandshake(f *flow, ack uint32, now int64) {
	f.open, f.acked = true, ack
	f.backend.pendingHandshakes--
	f.backend.misses = 0
	took := time.Duration(now - f.openedAt)
	e.recordOpen(f, took, now)
	if e.observer != nil {
		e.observer.Handshake(took)
	}
	if e.meanHandshake == 0 {
		e.meanHandshake = took
		return
	}
	e.meanHandshake += (took - e.meanHandshake) >> latencyShift
}

// adopt tracks a flow that another instance opened, or that turned out to be on
// another backend server than assumed.
func (e *Engine) adopt(p *catkinrail.TokenPacket, b *Backend, old *flow, now int64) *flow {
	if old != nil {
		if old.previous == b {
			// It answered after all, but only after the caller had retransmitted.
			b.misses = 0
		}
		e.untrack(p.Flow, old)
	}
	if len(e.flows) >= maxFlows || p.Closing || p.Reset {
		return nil
	}
	f := &flow{backend: b, open: true, seq: p.Seq, sent: p.Seq, acked: p.Ack, lastSeen: now}
	r := e.route(&p.Flow)
	f.route = e.cost(r, b.Service, now)
	// Without a payload the packet may be the last one of a flow that has ended.
	if r != nil && r.Kind == catkinrail.KindUpload && p.Payload > 0 {
		f.body = e.uploads.Adopt(e.sizes(r))
	}
	e.flows[p.Flow] = f
	b.flows++
	e.recordOpen(f, 0, now)
	return f
}

// recordAnswer records the answer to the pending request, if there is one.
func (e *Engine) recordAnswer(f *flow, now int64) {
	if f.requestedAt == 0 {
		return
	}
	b := f.backend
	took := time.Duration(now - f.requestedAt)
	if e.observer != nil {
		e.observer.Answer(took)
	}
	f.endRequest(now)
	e.uploads.Complete(&f.body)
	f.requestedAt = 0
	b.pending--
	if b.latency == 0 {
		b.latency = took
		return
	}
	b.latency += (took - b.latency) >> latencyShift
}

// Tick expires flows, requests and incarnations. It should be called about once a
// second.
func (e *Engine) Tick(now int64) {
	e.expireBackends(now)
	e.expireMoved(now)
	for key, f := range e.flows {
		if now-f.lastSeen > int64(flowIdleTimeout) || (!f.open && now-f.openedAt > int64(openTimeout)) {
			e.untrack(key, f)
			continue
		}
		if now-f.lastSeen > int64(upload.Timeout) {
			e.uploads.Drop(&f.body)
		}
		if f.requestedAt != 0 && now-f.requestedAt > int64(answerTimeout) {
			f.dropRequest(now)
			f.requestedAt = 0
			f.backend.pending--
		}
	}
}

// expireHandshakes records a miss for backend servers that have left a handshake
// unanswered.
func (e *Engine) expireHandshakes(now int64) {
	limit := min(max(handshakeFactor*e.meanHandshake, minHandshakeTimeout), maxHandshakeTimeout)
	if e.meanHandshake == 0 {
		limit = maxHandshakeTimeout
	}
	n := 0
	for _, h := range e.handshakes {
		if now-h.openedAt < int64(limit) {
			break
		}
		n++
		if f := e.flows[h.key]; f != nil && !f.open && f.openedAt == h.openedAt {
			e.recordMiss(f, now)
		}
	}
	if n > 0 {
		e.handshakes = append(e.handshakes[:0], e.handshakes[n:]...)
	}
}

// expireMoved drops the pending requests of flows whose packets have moved to another instance,
// which sees their answers. A caller that waits for an answer sends its request again.
func (e *Engine) expireMoved(now int64) {
	n := 0
	for _, a := range e.awaited {
		if now-a.at < int64(retransmitTime) {
			break
		}
		n++
		f := e.flows[a.key]
		if f == nil || f.requestedAt == 0 {
			continue
		}
		if now-f.lastSeen <= f.lastSeen-f.requestedAt+int64(retransmitTime) {
			e.awaited = append(e.awaited, awaitedRequest{a.key, now})
			continue
		}
		f.dropRequest(now)
		f.requestedAt = 0
		f.backend.pending--
	}
	if n > 0 {
		e.awaited = append(e.awaited[:0], e.awaited[n:]...)
	}
}

// recordMiss records that a backend server left a flow's opening packet unanswered.
// Of several that were pending at the same time, one counts.
func (e *Engine) recordMiss(f *flow, now int64) {
	if f.missed {
		return
	}
	f.missed = true
	b := f.backend
	if b.misses > 0 && f.openedAt <= b.lastMiss {
		return
	}
	b.misses++
	b.lastMiss = now
}

// detach removes the flow from its backend server's load.
func (e *Engine) detach(f *flow) {
	b := f.backend
	b.flows--
	f.close()
	if !f.open {
		b.pendingHandshakes--
	}
	if f.requestedAt != 0 {
		b.pending--
	}
}
