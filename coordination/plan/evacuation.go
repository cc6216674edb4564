package plan

import (
	"fmt"
	"slices"
	"strings"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

// EvacuationOrder is an operator's order to begin or end the evacuation of a zone.
type EvacuationOrder struct {
	Zone      catkinrail.Zone `cbor:"1,keyasint"`
	Evacuated bool            `cbor:"2,keyasint,omitempty"`
	// Since is the version of the last change of the zone's evacuation that was known
	// where and when the order was received.
	Since uint64 `cbor:"3,keyasint,omitempty"`
}

// Evacuate returns the events that carry out an order, none if the zone is in the requested
// state. It returns ErrConflict if the evacuation has changed since the order was received:
// the order may be a late copy of one that was carried out and reversed.
func Evacuate(s *cluster.State, o *EvacuationOrder) ([]cluster.Event, error) {
	if s.Evacuated(o.Zone) == o.Evacuated {
		return nil, nil
	}
	if changed := s.EvacuationChanges[o.Zone]; changed > o.Since {
		return nil, fmt.Errorf("evacuation of zone %q changed at version %d, after the order was received at version %d: %w",
			o.Zone, changed, o.Since, ErrConflict)
	}
	d := &draft{state: s}
	d.setEvacuated(&cluster.ZoneEvacuated{Zone: o.Zone, Evacuated: o.Evacuated})
	return d.events, nil
}

// evacuate carries out an operator's command, which its request identifier guards against late
// copies.
func (d *draft) evacuate(z *cluster.ZoneEvacuated) (string, error) {
	if z.Zone == "" {
		return "", &catkinrail.FieldError{Field: "zone", Reason: "is missing"}
	}
	switch was := d.state.Evacuated(z.Zone); {
	case was && z.Evacuated:
		return fmt.Sprintf("availability zone %s was evacuated already", z.Zone), nil
	case !was && !z.Evacuated:
		return fmt.Sprintf("availability zone %s was not evacuated", z.Zone), nil
	}
	stuck := d.setEvacuated(z)
	if !z.Evacuated {
		return fmt.Sprintf("evacuation of availability zone %s ended", z.Zone), nil
	}
	detail := fmt.Sprintf("availability zone %s evacuated", z.Zone)
	if len(stuck) > 0 {
		detail += "; no backend server elsewhere takes new flows of: " + strings.Join(stuck, ", ")
	}
	return detail, nil
}

// setEvacuated adds the events that begin or end an evacuation. The zone's active backend
// servers drain, and those that drained for no other reason are active again at its end. It
// returns the names of the services whose buckets stay in the zone because no active backend
// server is elsewhere.
func (d *draft) setEvacuated(z *cluster.ZoneEvacuated) (stuck []string) {
	d.add(cluster.Event{ZoneEvacuated: z})
	byService := map[catkinrail.ServiceID][]*catkinrail.Backend{}
	for _, id := range cluster.SortedKeys(d.state.Backends) {
		b := d.state.Backends[id]
		drains := z.Evacuated && b.State == catkinrail.BackendActive
		if b.Zone != z.Zone || (!drains && (z.Evacuated || !b.Evacuated)) {
			continue
		}
		put := *b
		put.Evacuated, put.State = z.Evacuated, catkinrail.BackendActive
		if z.Evacuated {
			put.State = catkinrail.BackendDraining
		}
		d.add(cluster.Event{BackendPut: &put})
		byService[b.Service] = append(byService[b.Service], &put)
	}
	d.rebalanceAll(byService)
	for _, id := range cluster.SortedKeys(byService) {
		svc := d.state.Services[id]
		if z.Evacuated && svc != nil && !slices.ContainsFunc(d.state.BackendsOf(id), func(b *catkinrail.Backend) bool {
			return b.Zone != z.Zone && b.State == catkinrail.BackendActive
		}) {
			stuck = append(stuck, svc.Config.Name)
		}
	}
	return stuck
}
