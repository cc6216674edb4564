package catkinrail

import (
	"net/netip"
	"time"
	"unicode/utf8"
)

// Token is a routing token: the packets of a flow carry it, and it identifies the
// backend server of the flow, so that any entry instance can forward any packet.
// Zero means that a packet carries no token.
type Token uint32

// TokenPacket holds the fields of a caller's packet that routing by token needs.
type TokenPacket struct {
	Flow FlowKey
	// Opening is set on the first packet of a flow and on its retransmissions.
	Opening bool
	// Copy is the number of opening packets that the caller sent before this one:
	// 0 for the first, 1 for its first retransmission.
	Copy uint32
	// Closing is set when the caller closes its direction of the flow.
	Closing bool
	// Reset is set when the caller aborts the flow.
	Reset bool
	// Payload is the length of the payload in bytes.
	Payload int
	// Seq and Ack are the sequence and acknowledgement numbers, as in TCP.
	Seq, Ack uint32
	Token    Token
}

// TokenCodec reads and writes packets that carry a routing token.
type TokenCodec interface {
	// Parse reads the header of b into p.
	Parse(b []byte, p *TokenPacket) error
	// Forward appends to dst the datagram that carries the packet b to the backend
	// server with the given identity. If the packet opens a flow, the token is
	// written into it.
	Forward(dst, b []byte, identity uint64, token Token) []byte
	// Reset appends to dst a packet that resets the flow of p at the caller, because
	// the flow does not exist.
	Reset(dst []byte, p *TokenPacket) []byte
	// Caller returns the address that packets for the caller of p are sent to.
	Caller(p *TokenPacket) netip.AddrPort
}

// Incarnation is one run of a backend server, as described by its own reports.
type Incarnation struct {
	// Name is the name that the backend server reports under. Several incarnations
	// may have the same name.
	Name string `cbor:"1,keyasint"`
	// Identity is the number that packets to the incarnation are addressed with.
	Identity uint64 `cbor:"2,keyasint"`
	// StartedAt is the time at which the incarnation started, in Unix milliseconds. It
	// orders the incarnations of one name and those of one address.
	StartedAt int64 `cbor:"3,keyasint"`
	// Sequence orders the reports of one incarnation.
	Sequence uint64         `cbor:"4,keyasint"`
	Service  string         `cbor:"5,keyasint"`
	Addr     netip.AddrPort `cbor:"6,keyasint"`
	Zone     Zone           `cbor:"7,keyasint,omitempty"`
	// Slots is the number of requests that it processes concurrently.
	Slots    int  `cbor:"8,keyasint,omitempty"`
	Draining bool `cbor:"9,keyasint,omitempty"`
	// Gone is set once the incarnation has ended. Unless Left is set, a newer report of the
	// incarnation unsets it.
	Gone bool `cbor:"10,keyasint,omitempty"`
	// Warmup is the time for which the incarnation is still warming up, counted from
	// when this value was sent.
	Warmup time.Duration `cbor:"11,keyasint,omitempty"`
	// Left is set, together with Gone, once the incarnation itself has said that it ends. It is
	// never unset: what comes from the incarnation later was sent before.
	Left bool `cbor:"12,keyasint,omitempty"`
}

// MaxNameLength is the maximum length of the name, the service and the zone of an incarnation, in bytes. It bounds the
// memory of a directory that is full of other writers' reports.
const MaxNameLength = 256

// Readable reports whether the incarnation has a name, and whether its texts are short enough and valid UTF-8, as every
// message that names it requires.
func (i *Incarnation) Readable() bool {
	for _, s := range []string{i.Name, i.Service, string(i.Zone)} {
		if len(s) > MaxNameLength || !utf8.ValidString(s) {
			return false
		}
	}
	return i.Name != ""
}

// Token returns the routing token of the incarnation. An identity of up to 32 bits
// is its own token; longer identities are folded and may share a token.
func (i *Incarnation) Token() Token {
	t := Token(i.Identity ^ i.Identity>>32)
	if t == 0 {
		return 1
	}
	return t
}

// Newer reports whether i supersedes o, which was reported under the same name.
func (i *Incarnation) Newer(o *Incarnation) bool {
	if i.StartedAt != o.StartedAt {
		return i.StartedAt > o.StartedAt
	}
	if i.Left != o.Left {
		return i.Left
	}
	if i.Sequence != o.Sequence {
		return i.Sequence > o.Sequence
	}
	if i.Gone != o.Gone {
		return i.Gone
	}
	return i.Draining && !o.Draining
}

// EndedRetention is how long incarnations that have ended or are silent are retained. It
// exceeds the age of any flow whose packets may still carry their token.
const EndedRetention = 10 * time.Minute

// BackendRegistry receives the reports of backend servers.
type BackendRegistry interface {
	// Report records a report. It returns the address of the control instance that
	// the backend server should report to from now on, or an invalid address if it
	// need not change.
	Report(inc *Incarnation) netip.AddrPort
	// Leave records that an incarnation has ended. If startedAt is zero, the backend
	// server didn't say which; the current incarnation of that name has ended.
	Leave(name string, startedAt int64)
}
