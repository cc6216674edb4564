package token

import (
	"time"

	"catkinrail.example/catkinrail"
)

// remember notes a flow that was placed on a backend server.
func (e *Engine) remember(p *catkinrail.TokenPacket, b *Backend, now int64) {
	if old := e.flows[p.Flow]; old != nil {
		e.forget(p.Flow, old)
	}
	if len(e.flows) >= maxFlows {
		return
	}
	e.flows[p.Flow] = &flow{backend: b, seq: p.Seq, opened: now, sent: p.Seq, seen: now}
	b.flows++
	b.unopened++
	e.handshakes = append(e.handshakes, handshake{p.Flow, now})
}

func (e *Engine) forget(key catkinrail.FlowKey, f *flow) {
	e.detach(f)
	delete(e.flows, key)
}

// observe learns from a packet of an open flow how its backend server does.
func (e *Engine) observe(p *catkinrail.TokenPacket, b *Backend, now int64) {
	f := e.flows[p.Flow]
	if f == nil || f.backend != b {
		f = e.adopt(p, b, f, now)
		if f == nil {
			return
		}
	}
	f.seen = now
	if !f.open {
		e.opened(f, p.Ack, now)
	}
	if int32(p.Ack-f.acked) > 0 {
		f.acked = p.Ack
		b.misses = 0
		e.answered(f, now)
	}
	if end := p.Seq + uint32(p.Payload); p.Payload > 0 && int32(end-f.sent) > 0 {
		f.sent = end
		if f.asked == 0 {
			b.waiting++
		}
		f.asked = now
	}
	if p.Closing || p.Reset {
		e.forget(p.Flow, f)
	}
}

// opened notes that the caller has answered the handshake.
func (e *Engine) opened(f *flow, ack uint32, now int64) {
	f.open, f.acked = true, ack
	f.backend.unopened--
	f.backend.misses = 0
	took := time.Duration(now - f.opened)
	if e.observer != nil {
		e.observer.Handshake(took)
	}
	if e.usual == 0 {
		e.usual = took
		return
	}
	e.usual += (took - e.usual) >> latencyShift
}

// adopt remembers a flow that another instance opened, or that was found to be
// on another backend server than assumed.
func (e *Engine) adopt(p *catkinrail.TokenPacket, b *Backend, old *flow, now int64) *flow {
	if old != nil {
		if old.first == b {
			// Its answer came after all, later than the caller's copy.
			b.misses = 0
		}
		e.forget(p.Flow, old)
	}
	if len(e.flows) >= maxFlows || p.Closing || p.Reset {
		return nil
	}
	f := &flow{backend: b, open: true, seq: p.Seq, sent: p.Seq, acked: p.Ack, seen: now}
	e.flows[p.Flow] = f
	b.flows++
	return f
}

// answered notes that the request in flight got its answer.
func (e *Engine) answered(f *flow, now int64) {
	if f.asked == 0 {
		return
	}
	b := f.backend
	took := time.Duration(now - f.asked)
	if e.observer != nil {
		e.observer.Answer(took)
	}
	f.asked = 0
	b.waiting--
	if b.latency == 0 {
		b.latency = took
		return
	}
	b.latency += (took - b.latency) >> latencyShift
}

// Tick forgets flows and incarnations that are over. It should be called about
// once a second.
func (e *Engine) Tick(now int64) {
	e.forgetEnded(now)
	for key, f := range e.flows {
		if now-f.seen > int64(flowTimeout) || (!f.open && now-f.opened > int64(openTimeout)) {
			e.forget(key, f)
			continue
		}
		if f.asked != 0 && now-f.asked > int64(answerTimeout) {
			f.asked = 0
			f.backend.waiting--
		}
	}
}

// expireHandshakes notes the backend servers that have left a handshake
// unanswered.
func (e *Engine) expireHandshakes(now int64) {
	limit := min(max(handshakeFactor*e.usual, minHandshakeTimeout), maxHandshakeTimeout)
	if e.usual == 0 {
		limit = maxHandshakeTimeout
	}
	n := 0
	for _, h := range e.handshakes {
		if now-h.opened < int64(limit) {
			break
		}
		n++
		if f := e.flows[h.key]; f != nil && !f.open && f.opened == h.opened {
			e.miss(f, now)
		}
	}
	if n > 0 {
		e.handshakes = append(e.handshakes[:0], e.handshakes[n:]...)
	}
}

// miss notes that a backend server left a flow's opening packet unanswered. Of
// those that were under way at the same time, one counts.
func (e *Engine) miss(f *flow, now int64) {
	if f.missed {
		return
	}
	f.missed = true
	b := f.backend
	if b.misses > 0 && f.opened <= b.missed {
		return
	}
	b.misses++
	b.missed = now
}

// detach takes the flow off its backend server's load.
func (e *Engine) detach(f *flow) {
	b := f.backend
	b.flows--
	if !f.open {
		b.unopened--
	}
	if f.asked != 0 {
		b.waiting--
	}
}
