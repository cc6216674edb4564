package catkinrail

import (
	"net/netip"
	"time"
)

// Token is a routing token: it travels in the packets of a flow and names the
// backend server that the flow is on, so that any entry instance can forward any
// packet. Zero names none.
type Token uint32

// TokenPacket is what routing by token needs of a packet from a caller.
type TokenPacket struct {
	Flow FlowKey
	// Opening is set on the first packet of a flow and on its copies.
	Opening bool
	// Copy is the number of opening packets that the caller sent before this one.
	Copy uint32
	// Closing is set when the caller ends its direction.
	Closing bool
	// Reset is set when the caller aborts the flow.
	Reset bool
	// Payload is the length of the data in bytes.
	Payload int
	// Seq and Ack number the bytes of the two directions.
	Seq, Ack uint32
	Token    Token
}

// TokenCodec reads and writes packets that carry a routing token.
type TokenCodec interface {
	// Parse reads the header of b into p.
	Parse(b []byte, p *TokenPacket) error
	// Forward appends the datagram that brings the packet b to the backend server
	// of the given identity. If the packet opens a flow, the token is written
	// into it.
	Forward(dst, b []byte, identity uint64, token Token) []byte
	// Reset appends a packet that tells the caller that the flow of p does not
	// exist.
	Reset(dst []byte, p *TokenPacket) []byte
	// Caller returns where packets for the caller of p go.
	Caller(p *TokenPacket) netip.AddrPort
}

// Incarnation is one life of a backend server, as it reports itself.
type Incarnation struct {
	// Name is the name that the backend server reports under. Another
	// incarnation may have the same.
	Name string `cbor:"1,keyasint"`
	// Identity is the number that packets for it are addressed with.
	Identity uint64 `cbor:"2,keyasint"`
	// StartedAt is the start of this life, in milliseconds since the epoch. It orders
	// the incarnations of a name and of an address.
	StartedAt int64 `cbor:"3,keyasint"`
	// Sequence orders the reports of one incarnation.
	Sequence uint64         `cbor:"4,keyasint"`
	Service  string         `cbor:"5,keyasint"`
	Addr     netip.AddrPort `cbor:"6,keyasint"`
	Zone     Zone           `cbor:"7,keyasint,omitempty"`
	// Slots is the number of requests that it runs at the same time.
	Slots    int  `cbor:"8,keyasint,omitempty"`
	Draining bool `cbor:"9,keyasint,omitempty"`
	// Gone is set once the incarnation has left; nothing takes that back.
	Gone bool `cbor:"10,keyasint,omitempty"`
	// Warmup is how much longer it is slow after its start, counted from the
	// moment at which this value was passed on.
	Warmup time.Duration `cbor:"11,keyasint,omitempty"`
}

// Token returns the routing token of the incarnation. Identities of 32 bits are
// their own token; longer ones are folded, and may then share one.
func (i *Incarnation) Token() Token {
	t := Token(i.Identity ^ i.Identity>>32)
	if t == 0 {
		return 1
	}
	return t
}

// Newer reports whether i replaces o, which was reported under the same name.
func (i *Incarnation) Newer(o *Incarnation) bool {
	if i.StartedAt != o.StartedAt {
		return i.StartedAt > o.StartedAt
	}
	if i.Gone != o.Gone {
		return i.Gone
	}
	if i.Sequence != o.Sequence {
		return i.Sequence > o.Sequence
	}
	return i.Draining && !o.Draining
}

// EndedRetention is how long an incarnation that is gone or silent is kept in mind. It
// exceeds the age of any flow that may still name it.
const EndedRetention = 10 * time.Minute

// BackendRegistry takes what backend servers say of themselves.
type BackendRegistry interface {
	// Report takes a report. It returns the control instance that the backend
	// server should report to from now on; invalid if any will do.
	Report(inc *Incarnation) netip.AddrPort
	// Leave takes the end of an incarnation. Born is zero if the backend server
	// didn't say which.
	Leave(name string, born int64)
}
