// Package ip parses the headers of IP packets far enough to identify their flow, and
// builds the few packets that an entry instance originates itself.
package ip

import (
	"encoding/binary"

	"catkinrail.example/catkinrail"
)

// Header sizes in bytes.
const (
	minIPv4  = 20
	ipv6Size = 40
	minTCP   = 20
	udpSize  = 8
	icmpSize = 8
)

// MaxPacket is the size in bytes of the largest packet that Parse accepts.
const MaxPacket = 9216

// TCP flags.
const (
	FlagFIN uint8 = 1 << 0
	FlagSYN uint8 = 1 << 1
	FlagRST uint8 = 1 << 2
	FlagACK uint8 = 1 << 4
)

// Fault is the reason why Parse rejected a packet, or FaultNone.
type Fault uint8

// Reasons to reject a packet.
const (
	FaultNone Fault = iota
	FaultTruncated
	FaultOversized
	FaultVersion
	FaultLength
	FaultChecksum
	FaultFragment
	FaultProtocol
	FaultFlags
	numFaults
)

var faultNames = [numFaults]string{
	"none", "truncated", "oversized", "version", "length", "checksum", "fragment", "protocol", "flags",
}

// String returns the fault's name in metrics.
func (f Fault) String() string {
	if f >= numFaults {
		return "unknown"
	}
	return faultNames[f]
}

// Faults returns all faults, including FaultNone.
func Faults() []Fault {
	list := make([]Fault, numFaults)
	for i := range list {
		list[i] = Fault(i)
	}
	return list
}

// Header holds the fields of a packet that routing uses.
type Header struct {
	Key   catkinrail.FlowKey
	Flags uint8
	// Quoted is set for an ICMP error. Key is then the flow of the packet that the
	// error quotes.
	Quoted bool
	// Payload is the offset of the transport payload in the packet.
	Payload int
}

// Opening reports whether the packet opens a TCP flow.
func (h *Header) Opening() bool {
	return h.Key.Proto == catkinrail.ProtoTCP && h.Flags&(FlagSYN|FlagACK|FlagRST) == FlagSYN
}

// Parse parses the headers of the packet b into h and returns FaultNone if it accepts
// the packet. It does not allocate memory and never reads past b.
func Parse(b []byte, h *Header) Fault {
	h.Flags = 0
	h.Quoted = false
	if len(b) > MaxPacket {
		return FaultOversized
	}
	if len(b) < minIPv4 {
		return FaultTruncated
	}
	switch b[0] >> 4 {
	case 4:
		return parseIPv4(b, h)
	case 6:
		return parseIPv6(b, h)
	}
	return FaultVersion
}

func parseIPv4(b []byte, h *Header) Fault {
	size := int(b[0]&0x0f) * 4
	if size < minIPv4 || size > len(b) {
		return FaultLength
	}
	if int(binary.BigEndian.Uint16(b[2:])) != len(b) {
		return FaultLength
	}
	if checksum(b[:size], 0) != 0 {
		return FaultChecksum
	}
	// The flag for more fragments or the fragment offset is set.
	if binary.BigEndian.Uint16(b[6:])&0x3fff != 0 {
		return FaultFragment
	}
	mapIPv4(&h.Key.Src, b[12:16])
	mapIPv4(&h.Key.Dst, b[16:20])
	if b[9] == catkinrail.ProtoICMP {
		return parseICMP(b[size:], h, size)
	}
	return parseTransport(b[size:], b[9], h, size)
}

func parseIPv6(b []byte, h *Header) Fault {
	if len(b) < ipv6Size {
		return FaultTruncated
	}
	if int(binary.BigEndian.Uint16(b[4:]))+ipv6Size != len(b) {
		return FaultLength
	}
	copy(h.Key.Src[:], b[8:24])
	copy(h.Key.Dst[:], b[24:40])
	const fragmentHeader = 44
	switch b[6] {
	case fragmentHeader:
		return FaultFragment
	case catkinrail.ProtoICMPv6:
		return parseICMP(b[ipv6Size:], h, ipv6Size)
	}
	return parseTransport(b[ipv6Size:], b[6], h, ipv6Size)
}

func parseTransport(b []byte, proto uint8, h *Header, offset int) Fault {
	h.Key.Proto = proto
	switch proto {
	case catkinrail.ProtoTCP:
		return parseTCP(b, h, offset)
	case catkinrail.ProtoUDP:
		return parseUDP(b, h, offset)
	}
	return FaultProtocol
}

func parseTCP(b []byte, h *Header, offset int) Fault {
	if len(b) < minTCP {
		return FaultTruncated
	}
	size := int(b[12]>>4) * 4
	if size < minTCP || size > len(b) {
		return FaultLength
	}
	h.Flags = b[13]
	if h.Flags&(FlagSYN|FlagFIN) == FlagSYN|FlagFIN {
		return FaultFlags
	}
	parsePorts(b, h)
	h.Payload = offset + size
	return FaultNone
}

func parseUDP(b []byte, h *Header, offset int) Fault {
	if len(b) < udpSize {
		return FaultTruncated
	}
	if int(binary.BigEndian.Uint16(b[4:])) != len(b) {
		return FaultLength
	}
	parsePorts(b, h)
	h.Payload = offset + udpSize
	return FaultNone
}

func parsePorts(b []byte, h *Header) {
	h.Key.SrcPort = binary.BigEndian.Uint16(b)
	h.Key.DstPort = binary.BigEndian.Uint16(b[2:])
}

// parseICMP accepts only errors and parses the packet that they quote. That packet
// went from the backend server to the caller, so source and destination are swapped to
// get the same flow key as from the caller's packets.
func parseICMP(b []byte, h *Header, offset int) Fault {
	if len(b) < icmpSize {
		return FaultTruncated
	}
	if !isICMPError(b[0], h) {
		return FaultProtocol
	}
	quoted := b[icmpSize:]
	fault := parseQuoted(quoted, h)
	if fault != FaultNone {
		return fault
	}
	h.Quoted = true
	h.Payload = offset + icmpSize
	return FaultNone
}

func isICMPError(kind uint8, h *Header) bool {
	if isIPv4(&h.Key.Dst) {
		return kind == 3 || kind == 11 || kind == 12
	}
	return kind >= 1 && kind <= 4
}

func parseQuoted(b []byte, h *Header) Fault {
	if len(b) < minIPv4 {
		return FaultTruncated
	}
	var size int
	var proto uint8
	var src, dst [16]byte
	switch b[0] >> 4 {
	case 4:
		size, proto = int(b[0]&0x0f)*4, b[9]
		mapIPv4(&src, b[12:16])
		mapIPv4(&dst, b[16:20])
	case 6:
		if len(b) < ipv6Size {
			return FaultTruncated
		}
		size, proto = ipv6Size, b[6]
		copy(src[:], b[8:24])
		copy(dst[:], b[24:40])
	default:
		return FaultVersion
	}
	if proto != catkinrail.ProtoTCP && proto != catkinrail.ProtoUDP {
		return FaultProtocol
	}
	const quotedPorts = 4
	if size < minIPv4 || len(b) < size+quotedPorts {
		return FaultTruncated
	}
	if src != h.Key.Dst {
		return FaultProtocol
	}
	h.Key = catkinrail.FlowKey{
		Src: dst, Dst: src, Proto: proto,
		SrcPort: binary.BigEndian.Uint16(b[size+2:]),
		DstPort: binary.BigEndian.Uint16(b[size:]),
	}
	return FaultNone
}

func mapIPv4(dst *[16]byte, b []byte) {
	*dst = [16]byte{10: 0xff, 11: 0xff, 12: b[0], 13: b[1], 14: b[2], 15: b[3]}
}

func isIPv4(a *[16]byte) bool {
	return a[10] == 0xff && a[11] == 0xff && [10]byte(a[:10]) == [10]byte{}
}

// checksum returns the Internet checksum of b (RFC 1071) with an initial sum.
func checksum(b []byte, sum uint32) uint16 {
	for len(b) >= 2 {
		sum += uint32(binary.BigEndian.Uint16(b))
		b = b[2:]
	}
	if len(b) == 1 {
		sum += uint32(b[0]) << 8
	}
	for sum > 0xffff {
		sum = sum>>16 + sum&0xffff
	}
	return ^uint16(sum)
}
