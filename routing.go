package catkinrail

import "net/netip"

// Phase is the phase of a bucket's move between slots, or of a change of view.
type Phase uint8

// Phases of a bucket.
const (
	// Settled means that no move is in progress: every flow belongs to Cur.
	Settled Phase = iota
	// Prepare means that packets already pass through the bucket's replicas, but
	// new flows still go to Cur.
	Prepare
	// Open means that new flows go to Next and get a record; flows without a
	// record belong to Cur.
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

// Bucket is one entry of a service's bucket table.
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

// BackendState says whether a backend server takes new flows.
type BackendState uint8

// States of a backend server.
const (
	// BackendActive servers take new flows.
	BackendActive BackendState = iota
	// BackendDraining servers keep their open flows but take no new ones.
	BackendDraining
	// BackendEjected servers failed their health checks or are silent, and take
	// no new flows.
	BackendEjected
	// BackendGone servers have ended and lost their flows: their announcements
	// stopped, or a new incarnation replaced them.
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
	// FullWeight is the weight that the backend server has once it has warmed up.
	FullWeight uint32 `cbor:"11,keyasint,omitempty"`
	// Drained is set while an operator's drain is in force; only an operator can
	// end it.
	Drained bool `cbor:"9,keyasint,omitempty"`
	// Silent is set if the backend server was ejected because its announcements
	// stopped.
	Silent bool `cbor:"10,keyasint,omitempty"`
	// Evacuated is set while the backend server drains only because its availability zone
	// is evacuated.
	Evacuated bool `cbor:"12,keyasint,omitempty"`
}

// Instance is one incarnation of an entry instance.
type Instance struct {
	ID          InstanceID     `cbor:"1,keyasint"`
	Name        string         `cbor:"2,keyasint"`
	Zone        Zone           `cbor:"3,keyasint"`
	Relay       netip.AddrPort `cbor:"4,keyasint"`
	Incarnation uint64         `cbor:"5,keyasint"`
	Leaving     bool           `cbor:"6,keyasint,omitempty"`
	// Silent is set while the instance has no lease but may continue to serve,
	// because its availability zone may be partitioned.
	Silent bool `cbor:"7,keyasint,omitempty"`
	// Since is the state version at which the instance was registered.
	Since uint64 `cbor:"8,keyasint,omitempty"`
}

// View says which entry instances hold the records of moving buckets.
//
// A view changes from Base to Target in three phases. In Prepare, members of Base
// still answer lookups and new records go to the members of both. In Open, members
// of Target answer. In Settled, Target has become the new Base.
type View struct {
	Version uint64       `cbor:"1,keyasint"`
	Phase   Phase        `cbor:"2,keyasint,omitempty"`
	Base    []InstanceID `cbor:"3,keyasint"`
	Target  []InstanceID `cbor:"4,keyasint,omitempty"`
	// Dead holds the members of Base that were lost before Target took over.
	Dead []InstanceID `cbor:"5,keyasint,omitempty"`
	// Zones maps every member, including those in Dead, to its zone, on which the
	// choice of replicas depends.
	Zones map[InstanceID]Zone `cbor:"6,keyasint,omitempty"`
}

// Service is a service's configuration and its bucket table.
type Service struct {
	ID      ServiceID     `cbor:"1,keyasint"`
	Config  ServiceConfig `cbor:"2,keyasint"`
	Seed    uint64        `cbor:"3,keyasint"`
	Buckets []Bucket      `cbor:"4,keyasint"`
}

// Move is a group of buckets of one service that change owner together.
type Move struct {
	// ID combines the state version at which the move began and the service.
	ID      uint64    `cbor:"1,keyasint"`
	Service ServiceID `cbor:"2,keyasint"`
	Phase   Phase     `cbor:"3,keyasint"`
	// Version is the state version at which the current phase began or, if later,
	// at which a bucket of the open move last got another slot.
	Version uint64   `cbor:"4,keyasint"`
	Buckets []uint16 `cbor:"5,keyasint"`
}
