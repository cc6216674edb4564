package catkinrail

import "net/netip"

// Phase is the step that a bucket has reached in a move between slots.
type Phase uint8

// Phases of a bucket.
const (
	// Settled buckets have every flow on Cur.
	Settled Phase = iota
	// Prepare means that packets go through the bucket's replicas while new
	// flows still go to Cur.
	Prepare
	// Open means that new flows go to Next and get a record; a packet of a flow
	// without a record belongs to Cur.
	Open
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case Settled:
		return "settled"
	case Prepare:
		return "prepare"
	case Open:
		return "open"
	}
	return "unknown"
}

// Bucket is one entry of a service's table.
type Bucket struct {
	Cur   SlotID `cbor:"1,keyasint"`
	Next  SlotID `cbor:"2,keyasint,omitempty"`
	Phase Phase  `cbor:"3,keyasint,omitempty"`
}

// Owner returns the slot that new flows go to once the bucket's move, if any,
// is open.
func (b Bucket) Owner() SlotID {
	if b.Phase == Settled {
		return b.Cur
	}
	return b.Next
}

// BackendState is what a backend server may be given.
type BackendState uint8

// States of a backend server.
const (
	// BackendActive servers take new flows.
	BackendActive BackendState = iota
	// BackendDraining servers keep their flows and take no new ones.
	BackendDraining
	// BackendEjected servers failed their checks and take no new flows.
	BackendEjected
	// BackendGone servers have lost their flows: they stopped announcing
	// themselves or came back as a new incarnation.
	BackendGone
)

// String returns the name of the state.
func (s BackendState) String() string {
	switch s {
	case BackendActive:
		return "active"
	case BackendDraining:
		return "draining"
	case BackendEjected:
		return "ejected"
	case BackendGone:
		return "gone"
	}
	return "unknown"
}

// Backend is one incarnation of a backend server.
type Backend struct {
	ID          BackendID        `cbor:"1,keyasint"`
	Name        string           `cbor:"2,keyasint"`
	Service     ServiceID        `cbor:"3,keyasint"`
	Zone        Zone             `cbor:"4,keyasint"`
	Slots       []netip.AddrPort `cbor:"5,keyasint"`
	Incarnation uint64           `cbor:"6,keyasint"`
	State       BackendState     `cbor:"7,keyasint,omitempty"`
	// Weight scales the backend server's share of buckets, in percent.
	Weight uint32 `cbor:"8,keyasint"`
	// FullWeight is the weight that a cold backend server is on its way to.
	FullWeight uint32 `cbor:"11,keyasint,omitempty"`
	// Drained is set when an operator asked for the draining; only an operator
	// ends it.
	Drained bool `cbor:"9,keyasint,omitempty"`
	// Silent is set when the backend server was ejected because it stopped
	// announcing itself.
	Silent bool `cbor:"10,keyasint,omitempty"`
}

// Instance is one incarnation of an entry instance.
type Instance struct {
	ID          InstanceID     `cbor:"1,keyasint"`
	Name        string         `cbor:"2,keyasint"`
	Zone        Zone           `cbor:"3,keyasint"`
	Relay       netip.AddrPort `cbor:"4,keyasint"`
	Incarnation uint64         `cbor:"5,keyasint"`
	Leaving     bool           `cbor:"6,keyasint,omitempty"`
	// Silent is set while the instance has no lease but may go on serving,
	// because its availability zone may be cut off.
	Silent bool `cbor:"7,keyasint,omitempty"`
	// Since is the version at which the instance was registered.
	Since uint64 `cbor:"8,keyasint,omitempty"`
}

// View says which entry instances hold the records of moving buckets.
//
// A change of view has three steps. In Prepare the members of Base still
// answer, and new records go to the members of both. In Open the members of
// Target answer. Settled makes Target the new Base.
type View struct {
	Version uint64       `cbor:"1,keyasint"`
	Phase   Phase        `cbor:"2,keyasint,omitempty"`
	Base    []InstanceID `cbor:"3,keyasint"`
	Target  []InstanceID `cbor:"4,keyasint,omitempty"`
	// Dead are members of Base that were lost before Target took over.
	Dead []InstanceID `cbor:"5,keyasint,omitempty"`
	// Zones gives the zone of every member, the dead ones included: the choice
	// of replicas depends on it.
	Zones map[InstanceID]Zone `cbor:"6,keyasint,omitempty"`
}

// Service is a service with its bucket table.
type Service struct {
	ID      ServiceID     `cbor:"1,keyasint"`
	Config  ServiceConfig `cbor:"2,keyasint"`
	Seed    uint64        `cbor:"3,keyasint"`
	Buckets []Bucket      `cbor:"4,keyasint"`
}

// Move is a group of buckets that change owner together.
type Move struct {
	// ID is made of the version at which the move began and the service.
	ID      uint64    `cbor:"1,keyasint"`
	Service ServiceID `cbor:"2,keyasint"`
	Phase   Phase     `cbor:"3,keyasint"`
	// Version is the one at which the phase was entered.
	Version uint64   `cbor:"4,keyasint"`
	Buckets []uint16 `cbor:"5,keyasint"`
}
