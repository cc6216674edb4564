package catkinrail

import "fmt"

// ServiceID identifies a service. Identifiers are never reused.
type ServiceID uint32

// BackendID identifies one incarnation of a backend server. Identifiers are
// never reused.
type BackendID uint32

// InstanceID identifies one incarnation of an entry instance. An instance that
// restarts loses its flow records and therefore gets a new identifier.
type InstanceID uint32

// Zone names an availability zone.
type Zone string

// SlotID identifies one slot of a backend server. Zero is NoSlot.
type SlotID uint32

// NoSlot is the zero SlotID, which refers to no backend server.
const NoSlot SlotID = 0

// MaxSlots is the largest number of slots that a backend server may announce.
const MaxSlots = 16

// slotBits is the number of bits of a SlotID that hold the slot number.
const slotBits = 4

// MakeSlotID returns the SlotID of a backend server's slot n, which must be below
// MaxSlots.
func MakeSlotID(b BackendID, n int) SlotID {
	return SlotID(uint32(b)<<slotBits | uint32(n)%MaxSlots)
}

// Backend returns the backend server that the slot belongs to.
func (s SlotID) Backend() BackendID {
	return BackendID(s >> slotBits)
}

// Index returns the slot number within its backend server.
func (s SlotID) Index() int {
	return int(s % MaxSlots)
}

// String formats the slot as "backend.index", or "none" for NoSlot.
func (s SlotID) String() string {
	if s == NoSlot {
		return "none"
	}
	return fmt.Sprintf("%d.%d", s.Backend(), s.Index())
}
