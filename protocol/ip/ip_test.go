package ip_test

import (
	"encoding/binary"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/protocol/ip"
)

func key(proto uint8, src, dst string) catkinrail.FlowKey {
	return catkinrail.FlowKey{
		Src: netip.MustParseAddr(src).As16(), Dst: netip.MustParseAddr(dst).As16(),
		SrcPort: 40000, DstPort: 443, Proto: proto,
	}
}

func packet(proto uint8, flags uint8) []byte {
	return ip.Append(nil, &ip.Segment{Key: key(proto, "10.0.0.1", "192.0.2.1"), Flags: flags, Payload: []byte("request")})
}

func TestParse(t *testing.T) {
	change := func(f func(b []byte) []byte) []byte { return f(packet(catkinrail.ProtoTCP, ip.FlagSYN)) }
	fixSum := func(b []byte) []byte {
		b[10], b[11] = 0, 0
		sum := uint32(0)
		for i := 0; i < 20; i += 2 {
			sum += uint32(binary.BigEndian.Uint16(b[i:]))
		}
		for sum > 0xffff {
			sum = sum>>16 + sum&0xffff
		}
		binary.BigEndian.PutUint16(b[10:], ^uint16(sum))
		return b
	}
	tests := []struct {
		name string
		b    []byte
		want ip.Fault
	}{
		{"tcp", packet(catkinrail.ProtoTCP, ip.FlagSYN), ip.FaultNone},
		{"udp", packet(catkinrail.ProtoUDP, 0), ip.FaultNone},
		{"empty", nil, ip.FaultTruncated},
		{"truncated", change(func(b []byte) []byte { return b[:30] }), ip.FaultLength},
		{"too large", make([]byte, ip.MaxPacket+1), ip.FaultOversized},
		{"version 5", change(func(b []byte) []byte { b[0] = 0x55; return b }), ip.FaultVersion},
		{"header length", change(func(b []byte) []byte { b[0] = 0x4f; return b[:40] }), ip.FaultLength},
		{"data after the packet", change(func(b []byte) []byte { return append(b, 0) }), ip.FaultLength},
		{"checksum", change(func(b []byte) []byte { b[8]--; return b }), ip.FaultChecksum},
		{"fragment", change(func(b []byte) []byte { b[6] = 0x20; return fixSum(b) }), ip.FaultFragment},
		{"later fragment", change(func(b []byte) []byte { b[7] = 9; return fixSum(b) }), ip.FaultFragment},
		{"unsupported protocol", change(func(b []byte) []byte { b[9] = 47; return fixSum(b) }), ip.FaultProtocol},
		{"tcp header length", change(func(b []byte) []byte { b[32] = 0xf0; return b }), ip.FaultLength},
		{"syn and fin", packet(catkinrail.ProtoTCP, ip.FlagSYN|ip.FlagFIN), ip.FaultFlags},
		{"udp length", func() []byte { b := packet(catkinrail.ProtoUDP, 0); b[25]++; return b }(), ip.FaultLength},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var h ip.Header
			require.Equal(t, tt.want.String(), ip.Parse(tt.b, &h).String())
		})
	}
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := catkinrail.FlowKey{
			SrcPort: rapid.Uint16().Draw(t, "src"), DstPort: rapid.Uint16().Draw(t, "dst"),
			Proto: rapid.SampledFrom([]uint8{catkinrail.ProtoTCP, catkinrail.ProtoUDP}).Draw(t, "proto"),
		}
		if rapid.Bool().Draw(t, "ipv6") {
			k.Src = [16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "source"))
			k.Dst = netip.MustParseAddr("2001:db8::1").As16()
		} else {
			k.Src = netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "source"))).As16()
			k.Dst = netip.MustParseAddr("192.0.2.1").As16()
		}
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		b := ip.Append(nil, &ip.Segment{Key: k, Flags: ip.FlagACK, Payload: payload})
		var h ip.Header
		require.Equal(t, ip.FaultNone, ip.Parse(b, &h))
		require.Equal(t, k, h.Key)
		require.Equal(t, string(payload), string(b[h.Payload:]))
	})
}

// TestQuoted checks that an ICMP error yields the same flow key as the caller's
// packets.
func TestQuoted(t *testing.T) {
	caller := key(catkinrail.ProtoTCP, "10.0.0.1", "192.0.2.1")
	answer := caller
	answer.Src, answer.Dst = caller.Dst, caller.Src
	answer.SrcPort, answer.DstPort = caller.DstPort, caller.SrcPort
	quoted := ip.Append(nil, &ip.Segment{Key: answer, Flags: ip.FlagACK})
	// Turn a UDP packet into an ICMP one: both have headers of 8 bytes.
	b := ip.Append(nil, &ip.Segment{Key: key(catkinrail.ProtoUDP, "10.9.9.9", "192.0.2.1"), Payload: quoted})
	b[9] = catkinrail.ProtoICMP
	sum := uint32(b[10])<<8 + uint32(b[11]) + uint32(catkinrail.ProtoUDP) - uint32(catkinrail.ProtoICMP)
	binary.BigEndian.PutUint16(b[10:], uint16(sum))
	b[20], b[21] = 3, 4
	var h ip.Header
	require.Equal(t, ip.FaultNone.String(), ip.Parse(b, &h).String())
	require.True(t, h.Quoted)
	require.Equal(t, caller, h.Key)
}

func TestRefusal(t *testing.T) {
	b := ip.Append(nil, &ip.Segment{Key: key(catkinrail.ProtoTCP, "10.0.0.1", "192.0.2.1"), Flags: ip.FlagSYN, Seq: 41})
	var h ip.Header
	require.Equal(t, ip.FaultNone, ip.Parse(b, &h))
	reset := ip.AppendRefusal(nil, b, &h)
	require.Equal(t, ip.FaultNone, ip.Parse(reset, &h))
	require.Equal(t, ip.FlagRST|ip.FlagACK, h.Flags)
	_, ack := ip.TCPSeq(reset)
	require.Equal(t, uint32(42), ack)
}

func FuzzParse(f *testing.F) {
	f.Add(packet(catkinrail.ProtoTCP, ip.FlagSYN))
	f.Add(packet(catkinrail.ProtoUDP, 0))
	f.Add(ip.Append(nil, &ip.Segment{Key: key(catkinrail.ProtoTCP, "2001:db8::2", "2001:db8::1"), Flags: ip.FlagACK}))
	f.Add([]byte{0x45, 0, 0, 28, 0, 0, 0, 0, 64, 1, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 3, 1, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		var h ip.Header
		if ip.Parse(b, &h) != ip.FaultNone {
			return
		}
		require.LessOrEqual(t, h.Payload, len(b))
		require.Contains(t, []uint8{catkinrail.ProtoTCP, catkinrail.ProtoUDP}, h.Key.Proto)
		if h.Opening() && !h.Quoted {
			reset := ip.AppendRefusal(nil, b, &h)
			require.Equal(t, ip.FaultNone, ip.Parse(reset, &h))
		}
	})
}
