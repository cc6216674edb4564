package catkinrail

import (
	"fmt"
	"net/netip"
)

// Transport protocol numbers as assigned by IANA.
const (
	ProtoICMP   uint8 = 1
	ProtoTCP    uint8 = 6
	ProtoUDP    uint8 = 17
	ProtoICMPv6 uint8 = 58
)

// FlowKey identifies a flow by its 5-tuple. IPv4 addresses are stored in their
// IPv4-mapped IPv6 form. Src is the caller, Dst the service.
type FlowKey struct {
	Src, Dst         [16]byte
	SrcPort, DstPort uint16
	Proto            uint8
}

// Endpoint is the address, port and protocol that a service listens on.
type Endpoint struct {
	Addr  [16]byte
	Port  uint16
	Proto uint8
}

// String formats the flow for logs.
func (k *FlowKey) String() string {
	src := netip.AddrPortFrom(netip.AddrFrom16(k.Src).Unmap(), k.SrcPort)
	dst := netip.AddrPortFrom(netip.AddrFrom16(k.Dst).Unmap(), k.DstPort)
	return fmt.Sprintf("%s>%s/%d", src, dst, k.Proto)
}

// Record pins a flow to a slot, overriding the slot of its bucket.
type Record struct {
	Key  FlowKey
	Slot SlotID
	// Epoch is the state version under which the slot was chosen. Of two records for
	// one flow the lower epoch wins, because packets may already have been forwarded
	// by it.
	Epoch uint64
	// Established is set once the caller has completed the handshake.
	Established bool
	// Closing is set once the end of either direction has been seen.
	Closing bool
	// Seen is the time of the last packet, in nanoseconds of the clock.
	Seen int64
}
