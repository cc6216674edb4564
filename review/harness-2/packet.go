package main

import (
	"encoding/binary"
	"net"
)

// Flags of a packet.
const (
	flagRST = 2
	flagFIN = 4
	flagSYN = 8
	flagACK = 64
)

const headerSize = 31

// endpoint is one end of a flow.
type endpoint struct {
	ip   [4]byte
	port uint16
}

// packet is a packet of a flow. A sum of zero marks a reset of the system; the ends of a flow
// write another one.
type packet struct {
	sum, seq, ack, echo uint32
	flags               byte
	dst, src            endpoint
	data                []byte
}

// endSum stands for the keyed sum of the ends, which the system can't compute.
const endSum = 0x5eed5eed

func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b, p.sum)
	b[4] = p.flags
	copy(b[5:], p.dst.ip[:])
	copy(b[9:], p.src.ip[:])
	binary.BigEndian.PutUint16(b[13:], p.dst.port)
	binary.BigEndian.PutUint16(b[15:], p.src.port)
	binary.BigEndian.PutUint32(b[17:], p.seq)
	binary.BigEndian.PutUint32(b[21:], p.ack)
	binary.BigEndian.PutUint32(b[25:], p.echo)
	binary.BigEndian.PutUint16(b[29:], uint16(len(p.data)))
	return append(b, p.data...)
}

func decode(b []byte) (p packet, ok bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[29:])) != len(b)-headerSize {
		return p, false
	}
	p = packet{
		sum: binary.BigEndian.Uint32(b), flags: b[4], seq: binary.BigEndian.Uint32(b[17:]), ack: binary.BigEndian.Uint32(b[21:]),
		echo: binary.BigEndian.Uint32(b[25:]), data: append([]byte(nil), b[headerSize:]...),
		dst: endpoint{port: binary.BigEndian.Uint16(b[13:])}, src: endpoint{port: binary.BigEndian.Uint16(b[15:])},
	}
	copy(p.dst.ip[:], b[5:9])
	copy(p.src.ip[:], b[9:13])
	return p, true
}

func ip4(s string) (a [4]byte) {
	copy(a[:], net.ParseIP(s).To4())
	return a
}

func (e endpoint) udp(port int) *net.UDPAddr {
	return &net.UDPAddr{IP: net.IP(e.ip[:]), Port: port}
}
