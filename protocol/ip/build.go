package ip

import (
	"encoding/binary"

	"catkinrail.example/catkinrail"
)

// defaultTTL is the time to live, in hops, of the packets that Append builds.
const defaultTTL = 64

// tcpWindow is the receive window, in bytes, in the TCP segments that Append builds.
const tcpWindow = 0xffff

// Segment describes a TCP segment or UDP datagram to build.
type Segment struct {
	Key      catkinrail.FlowKey
	Flags    uint8
	Seq, Ack uint32
	Payload  []byte
}

// Append appends the IP packet with the segment, including its checksums, to b.
func Append(b []byte, s *Segment) []byte {
	size := udpSize
	if s.Key.Proto == catkinrail.ProtoTCP {
		size = minTCP
	}
	size += len(s.Payload)
	b, sum := appendIP(b, &s.Key, size)
	start := len(b)
	b = binary.BigEndian.AppendUint16(b, s.Key.SrcPort)
	b = binary.BigEndian.AppendUint16(b, s.Key.DstPort)
	at := start + 6
	if s.Key.Proto == catkinrail.ProtoTCP {
		b = binary.BigEndian.AppendUint32(b, s.Seq)
		b = binary.BigEndian.AppendUint32(b, s.Ack)
		b = append(b, minTCP/4<<4, s.Flags)
		b = binary.BigEndian.AppendUint16(b, tcpWindow)
		at = start + 16
		b = append(b, 0, 0, 0, 0)
	} else {
		b = binary.BigEndian.AppendUint16(b, uint16(size))
		b = append(b, 0, 0)
	}
	b = append(b, s.Payload...)
	binary.BigEndian.PutUint16(b[at:], checksum(b[start:], sum))
	return b
}

// appendIP appends the IP header for a payload of the given size in bytes. It also
// returns the sum of the pseudo header, which starts the transport checksum.
func appendIP(b []byte, k *catkinrail.FlowKey, size int) ([]byte, uint32) {
	sum := uint32(k.Proto) + uint32(size)
	if !isIPv4(&k.Dst) {
		b = append(b, 6<<4, 0, 0, 0)
		b = binary.BigEndian.AppendUint16(b, uint16(size))
		b = append(b, k.Proto, defaultTTL)
		b = append(b, k.Src[:]...)
		b = append(b, k.Dst[:]...)
		return b, sum + partialSum(k.Src[:]) + partialSum(k.Dst[:])
	}
	start := len(b)
	b = append(b, 4<<4|minIPv4/4, 0)
	b = binary.BigEndian.AppendUint16(b, uint16(size+minIPv4))
	b = append(b, 0, 0, 0x40, 0, defaultTTL, k.Proto, 0, 0)
	b = append(b, k.Src[12:]...)
	b = append(b, k.Dst[12:]...)
	binary.BigEndian.PutUint16(b[start+10:], checksum(b[start:], 0))
	return b, sum + partialSum(k.Src[12:]) + partialSum(k.Dst[12:])
}

func partialSum(b []byte) uint32 {
	sum := uint32(0)
	for ; len(b) >= 2; b = b[2:] {
		sum += uint32(binary.BigEndian.Uint16(b))
	}
	return sum
}

// TCPSeq returns the sequence and acknowledgement numbers of a TCP packet that
// Parse accepted.
func TCPSeq(b []byte) (seq, ack uint32) {
	at := ipv6Size
	if b[0]>>4 == 4 {
		at = int(b[0]&0x0f) * 4
	}
	return binary.BigEndian.Uint32(b[at+4:]), binary.BigEndian.Uint32(b[at+8:])
}

// AppendRefusal appends the TCP reset that refuses the opening packet b.
func AppendRefusal(dst, b []byte, h *Header) []byte {
	seq, _ := TCPSeq(b)
	k := h.Key
	k.Src, k.Dst = k.Dst, k.Src
	k.SrcPort, k.DstPort = k.DstPort, k.SrcPort
	return Append(dst, &Segment{Key: k, Flags: FlagRST | FlagACK, Ack: seq + 1})
}
