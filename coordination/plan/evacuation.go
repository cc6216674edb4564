package plan

import (
	"fmt"

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
	return []cluster.Event{{ZoneEvacuated: &cluster.ZoneEvacuated{Zone: o.Zone, Evacuated: o.Evacuated}}}, nil
}
