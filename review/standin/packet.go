package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagRST = 2
	flagFIN = 4
	flagSYN = 8
	flagACK = 64

	headerSize = 31
)

// packet is a packet of a flow as the users' pages describe it.
type packet struct {
	sum      uint32
	flags    byte
	src, dst netip.AddrPort
	seq, ack uint32
	echo     uint32
	data     []byte
}

// encode returns the packet. Its sum stands in for the keyed sum: it is never 0, and it
// covers all but the echo.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	b[4] = p.flags
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[5:], dst[:])
	copy(b[9:], src[:])
	binary.BigEndian.PutUint16(b[13:], p.dst.Port())
	binary.BigEndian.PutUint16(b[15:], p.src.Port())
	binary.BigEndian.PutUint32(b[17:], p.seq)
	binary.BigEndian.PutUint32(b[21:], p.ack)
	binary.BigEndian.PutUint16(b[29:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b, crc32.ChecksumIEEE(b[4:])|1)
	binary.BigEndian.PutUint32(b[25:], p.echo)
	return b
}

// decode returns the packet in b, and whether it is one.
func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[29:])) != len(b)-headerSize {
		return packet{}, false
	}
	addr := func(a, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[a:a+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		sum: binary.BigEndian.Uint32(b), flags: b[4], dst: addr(5, 13), src: addr(9, 15),
		seq: binary.BigEndian.Uint32(b[17:]), ack: binary.BigEndian.Uint32(b[21:]),
		echo: binary.BigEndian.Uint32(b[25:]), data: append([]byte(nil), b[headerSize:]...),
	}, true
}
