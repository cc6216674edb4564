package plan

import (
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

// maxRemoved limits the number of backend servers that one change removes.
const maxRemoved = 64

// removeEnded removes backend servers that ended so long ago that no flow and no late
// announcement can refer to them, unless a bucket still does. The latest incarnation
// of a backend server that an operator drained is kept, so that the drain carries over
// to the next one.
func (p *Planner) removeEnded(d *draft, now time.Time) {
	var due []*catkinrail.Backend
	for _, id := range cluster.SortedKeys(d.state.Backends) {
		b := d.state.Backends[id]
		if b.State != catkinrail.BackendGone {
			delete(p.endedSince, id)
			continue
		}
		if p.endedSince[id].IsZero() {
			p.endedSince[id] = now
		}
		if now.Sub(p.endedSince[id]) > catkinrail.EndedRetention && len(due) < maxRemoved {
			due = append(due, b)
		}
	}
	if len(due) == 0 {
		return
	}
	referenced := referencedBackends(d.state)
	for _, b := range due {
		latest := d.state.BackendByName(b.Service, b.Name) == b
		if referenced[b.ID] || (b.Drained && latest) {
			// Check again after the same time, not at each step.
			p.endedSince[b.ID] = now
			continue
		}
		delete(p.endedSince, b.ID)
		d.add(cluster.Event{BackendRemoved: b.ID})
	}
}

// referencedBackends returns the backend servers that buckets refer to.
func referencedBackends(s *cluster.State) map[catkinrail.BackendID]bool {
	referenced := map[catkinrail.BackendID]bool{}
	for _, svc := range s.Services {
		for i := range svc.Buckets {
			referenced[svc.Buckets[i].Cur.Backend()] = true
			referenced[svc.Buckets[i].Next.Backend()] = true
		}
	}
	return referenced
}
