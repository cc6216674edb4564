package route

import (
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/state/flow"
)

// Busy returns, by move, what keeps open moves from settling as far as this instance
// knows. Moves that nothing keeps open are left out.
func (e *Engine) Busy(now int64) map[uint64]plan.Busy {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.table.Load()
	out := map[uint64]plan.Busy{}
	for _, id := range cluster.SortedKeys(e.state.Moves) {
		m := e.state.Moves[id]
		if m.Phase != catkinrail.Open {
			continue
		}
		if b, busy := e.busyMove(t, m, now); busy {
			out[id] = b
		}
	}
	return out
}

func (e *Engine) busyMove(t *table, m *catkinrail.Move, now int64) (plan.Busy, bool) {
	var b plan.Busy
	if at := t.moves[m.ID].unrecorded.Load(); at != 0 {
		b.SawUnrecorded = true
		b.UnrecordedAge = time.Duration(now - at)
	}
	buckets := t.byID[m.Service].buckets
	for _, n := range m.Buckets {
		id := flow.Bucket{Service: m.Service, Number: uint32(n)}
		if e.flows.HasOtherSlot(id, buckets[n].Next) {
			b.OtherSlot = true
			break
		}
	}
	return b, b.SawUnrecorded || b.OtherSlot
}
