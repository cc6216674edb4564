package catkinrail

import "context"

// Evacuations are the availability zones whose backend servers get no new flows because
// an operator has ordered so. Their open flows continue.
type Evacuations struct {
	// Revision grows with every change.
	Revision uint64 `cbor:"1,keyasint"`
	Zones    []Zone `cbor:"2,keyasint,omitempty"`
}

// EvacuationStore keeps the evacuations of availability zones.
type EvacuationStore interface {
	// SetEvacuated begins or ends the evacuation of a zone and returns once that is
	// committed. An order that changes nothing succeeds. It returns a FieldError if no
	// such zone is known, and ErrUnavailable if the order may not have taken effect or
	// another order for the zone took effect since it was received.
	SetEvacuated(ctx context.Context, zone Zone, evacuated bool) error
}
