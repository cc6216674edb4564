// Package fabric receives packets from the fabric and from other entry
// instances, and sends them on as the routing engine decides.
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

// Stats counts what the workers did.
type Stats struct {
	received, forwarded, relayed, refused metrics.Counter
	lost, retried                         metrics.Counter
	reasons                               []metrics.Counter
	faults                                []metrics.Counter
	relayErrors                           metrics.Counter
	// last is the time of the last packet, in nanoseconds of the clock.
	last atomic.Int64

	mu     sync.Mutex
	counts map[catkinrail.ServiceID]message.FlowCounts
}

// NewStats returns counters that are registered with reg.
func NewStats(reg metrics.Registry) *Stats {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, reg) }
	s := &Stats{
		received: counter("packets-received"), forwarded: counter("packets-forwarded"),
		relayed: counter("packets-relayed"), refused: counter("packets-refused"),
		lost: counter("packets-send-failed"), retried: counter("batches-decided-again"),
		relayErrors: counter("relay-messages-bad"),
		counts:      map[catkinrail.ServiceID]message.FlowCounts{},
	}
	for _, r := range route.Reasons() {
		s.reasons = append(s.reasons, counter("packets-dropped-"+r.String()))
	}
	for _, f := range ip.Faults() {
		s.faults = append(s.faults, counter("packets-bad-"+f.String()))
	}
	return s
}

// Last returns the time of the last packet, in nanoseconds of the clock.
func (s *Stats) Last() int64 {
	return s.last.Load()
}

// TakeCounts returns what was counted for each service since the last call.
func (s *Stats) TakeCounts() map[catkinrail.ServiceID]message.FlowCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.counts
	s.counts = map[catkinrail.ServiceID]message.FlowCounts{}
	return taken
}

// Restore adds counts back that could not be delivered.
func (s *Stats) Restore(counts map[catkinrail.ServiceID]message.FlowCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range counts {
		c := s.counts[id]
		c.Opened += n.Opened
		c.Refused += n.Refused
		c.Unrecorded += n.Unrecorded
		for slot, k := range n.BySlot {
			if c.BySlot == nil {
				c.BySlot = map[catkinrail.SlotID]uint64{}
			}
			c.BySlot[slot] += k
		}
		s.counts[id] = c
	}
}

// count notes a verdict that matters to a service's report.
func (s *Stats) count(v *route.Verdict) {
	opened := v.Action == route.Forward && v.Opening
	broken := v.Action == route.Drop && v.Reason == route.ReasonNoRecord
	refused := v.Action == route.Refuse
	if !opened && !broken && !refused {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts[v.Service]
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
	s.counts[v.Service] = c
}

// tally collects the counts of one batch, so that the shared counters are
// touched once a batch.
type tally struct {
	received, forwarded, relayed, refused int64
}

func (t *tally) flush(s *Stats) {
	s.received.Inc(t.received)
	s.forwarded.Inc(t.forwarded)
	s.relayed.Inc(t.relayed)
	s.refused.Inc(t.refused)
	*t = tally{}
}
