package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagRST = 2
	flagFIN = 4
	flagSYN = 8
	flagACK = 64
)

const headerSize = 31

// packet is a packet of a flow, see the section "Packets" of PROTOCOL.md.
type packet struct {
	sum            uint32
	flags          byte
	dst, src       netip.AddrPort
	seq, ack, echo uint32
	data           []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b, p.sum)
	b[4] = p.flags
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[5:], dst[:])
	copy(b[9:], src[:])
	binary.BigEndian.PutUint16(b[13:], p.dst.Port())
	binary.BigEndian.PutUint16(b[15:], p.src.Port())
	binary.BigEndian.PutUint32(b[17:], p.seq)
	binary.BigEndian.PutUint32(b[21:], p.ack)
	binary.BigEndian.PutUint32(b[25:], p.echo)
	binary.BigEndian.PutUint16(b[29:], uint16(len(p.data)))
	return append(b, p.data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[29:])) != len(b)-headerSize {
		return packet{}, false
	}
	addr := func(at int) netip.Addr { return netip.AddrFrom4([4]byte(b[at : at+4])) }
	return packet{
		sum: binary.BigEndian.Uint32(b), flags: b[4],
		dst: netip.AddrPortFrom(addr(5), binary.BigEndian.Uint16(b[13:])),
		src: netip.AddrPortFrom(addr(9), binary.BigEndian.Uint16(b[15:])),
		seq: binary.BigEndian.Uint32(b[17:]), ack: binary.BigEndian.Uint32(b[21:]), echo: binary.BigEndian.Uint32(b[25:]),
		data: append([]byte(nil), b[headerSize:]...),
	}, true
}

// sign sets the sum over all fields but the echo. Only clients and hosts know how it is made.
func (p *packet) sign() {
	p.sum = p.makeSum()
}

func (p *packet) makeSum() uint32 {
	q := *p
	q.sum, q.echo = 0, 0
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of clients and hosts"))
	_, _ = h.Write(q.encode())
	return max(1, h.Sum32())
}

// genuine reports whether the packet is as its sender wrote it.
func (p *packet) genuine() bool {
	return p.sum == p.makeSum()
}
