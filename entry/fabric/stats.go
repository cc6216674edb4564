// Package fabric receives packets from the fabric and from other entry
// instances, and forwards, relays, refuses or drops them as the routing engine
// decides.
package fabric

import (
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/protocol/ip"
)

// Stats holds the counters that workers share.
type Stats struct {
	received, forwarded, relayed, refused metrics.Counter
	sendFailed, decidedAgain              metrics.Counter
	dropped                               []metrics.Counter
	malformed                             []metrics.Counter
	relayErrors                           metrics.Counter
	// lastPacket is the time of the last packet, in nanoseconds of the clock.
	lastPacket atomic.Int64

	mu         sync.Mutex
	flowCounts map[catkinrail.ServiceID]message.FlowCounts
}

// NewStats returns counters that are registered with reg.
func NewStats(reg metrics.Registry) *Stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, reg) }
	s := &Stats{
		received: counter("packets-received"), forwarded: counter("packets-forwarded"),
		relayed: counter("packets-relayed"), refused: counter("packets-refused"),
		sendFailed: counter("packets-send-failed"), decidedAgain: counter("batches-decided-again"),
		relayErrors: counter("relay-messages-bad"),
		flowCounts:  map[catkinrail.ServiceID]message.FlowCounts{},
	}
	for _, r := range route.Reasons() {
		s.dropped = append(s.dropped, counter("packets-dropped-"+r.String()))
	}
	for _, f := range ip.Faults() {
		s.malformed = append(s.malformed, counter("packets-bad-"+f.String()))
	}
	return s
}

// LastPacket returns the time of the last packet, in nanoseconds of the clock.
func (s *Stats) LastPacket() int64 {
	return s.lastPacket.Load()
}

// TakeCounts returns the counts of each service since the last call.
func (s *Stats) TakeCounts() map[catkinrail.ServiceID]message.FlowCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.flowCounts
	s.flowCounts = map[catkinrail.ServiceID]message.FlowCounts{}
	return counts
}

// Restore adds back counts that could not be reported.
func (s *Stats) Restore(counts map[catkinrail.ServiceID]message.FlowCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range counts {
		c := s.flowCounts[id]
		c.Opened += n.Opened
		c.Refused += n.Refused
		c.Unrecorded += n.Unrecorded
		for slot, k := range n.BySlot {
			if c.BySlot == nil {
				c.BySlot = map[catkinrail.SlotID]uint64{}
			}
			c.BySlot[slot] += k
		}
		s.flowCounts[id] = c
	}
}

// count adds a verdict to the counts of its service if it opened or refused a flow, or
// dropped a packet because its flow has no record.
func (s *Stats) count(v *route.Verdict) {
	opened := v.Action == route.Forward && v.Opening
	broken := v.Action == route.Drop && v.Reason == route.ReasonNoRecord
	refused := v.Action == route.Refuse
	if !opened && !broken && !refused {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.flowCounts[v.Service]
	switch {
	case opened:
		c.Opened++
		if c.BySlot == nil {
			c.BySlot = map[catkinrail.SlotID]uint64{}
		}
		c.BySlot[v.Slot]++
	case broken:
		c.Unrecorded++
	case refused:
		c.Refused++
	}
	s.flowCounts[v.Service] = c
}

// batchCounts collects the counts of one batch, so that the shared counters are
// updated once per batch.
type batchCounts struct {
	received, forwarded, relayed, refused int64
}

func (c *batchCounts) flush(s *Stats) {
	s.received.Inc(c.received)
	s.forwarded.Inc(c.forwarded)
	s.relayed.Inc(c.relayed)
	s.refused.Inc(c.refused)
	*c = batchCounts{}
}
