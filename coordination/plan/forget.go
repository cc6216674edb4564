package plan

import (
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

// maxForgotten bounds the backend servers that one change removes from the state.
const maxForgotten = 64

// forgetGone removes backend servers that are gone for so long that no flow and no
// late announcement can name them, unless a bucket still does. One that an operator
// has drained is kept for its next life, which the drain goes over to.
func (p *Planner) forgetGone(d *draft, now time.Time) {
	var due []*catkinrail.Backend
	for _, id := range cluster.SortedKeys(d.state.Backends) {
		b := d.state.Backends[id]
		if b.State != catkinrail.BackendGone {
			delete(p.gone, id)
			continue
		}
		if p.gone[id].IsZero() {
			p.gone[id] = now
		}
		if now.Sub(p.gone[id]) > catkinrail.EndedRetention && len(due) < maxForgotten {
			due = append(due, b)
		}
	}
	if len(due) == 0 {
		return
	}
	named := namedBackends(d.state)
	for _, b := range due {
		last := d.state.BackendByName(b.Service, b.Name) == b
		if named[b.ID] || (b.Drained && last) {
			// It is looked at again after as long, not at each step.
			p.gone[b.ID] = now
			continue
		}
		delete(p.gone, b.ID)
		d.add(cluster.Event{BackendRemoved: b.ID})
	}
}

// namedBackends returns the backend servers that buckets name.
func namedBackends(s *cluster.State) map[catkinrail.BackendID]bool {
	named := map[catkinrail.BackendID]bool{}
	for _, svc := range s.Services {
		for i := range svc.Buckets {
			named[svc.Buckets[i].Cur.Backend()] = true
			named[svc.Buckets[i].Next.Backend()] = true
		}
	}
	return named
}
