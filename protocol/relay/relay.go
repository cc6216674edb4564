// Package relay encodes the messages between entry instances: packets of moving
// buckets that are relayed along the replicas, flow records, and probes.
package relay

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/dchest/siphash"

	"catkinrail.example/catkinrail"
)

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	// Lookup carries a packet to the bucket's first replica.
	Lookup Kind = iota + 1
	// Store carries an opening packet and its record along the replicas; the last
	// one forwards the packet.
	Store
	// Copy carries flow records to a replica.
	Copy
	// CopyAck confirms a Copy.
	CopyAck
	// Probe asks another instance, of any zone, for its lease and state version.
	Probe
	// ProbeAnswer answers a Probe.
	ProbeAnswer
	numKinds
)

// MaxChain is the largest number of replicas that a Store visits: three of the
// earlier view and three of the later one.
const MaxChain = 6

// MaxHops is the maximum number of times that a Lookup is forwarded.
const MaxHops = 3

// Message is the header of a message between entry instances.
type Message struct {
	Kind Kind
	// Hops counts how often a Lookup was forwarded.
	Hops uint8
	// Flags depends on the kind: FlagLeased for a ProbeAnswer, the state of the record
	// for a Store.
	Flags uint8
	// Sender is the instance that sent the message.
	Sender catkinrail.InstanceID
	// Version is the sender's state version.
	Version uint64
	// View is the sender's view version; for Copy, the view it serves.
	View  uint64
	Slot  catkinrail.SlotID
	Epoch uint64
	// Seq matches a CopyAck to its Copy.
	Seq uint32
	// Chain lists the replicas of a Store. ChainLength is their number, and ChainIndex
	// is the index of the receiver.
	Chain       [MaxChain]catkinrail.InstanceID
	ChainLength uint8
	ChainIndex  uint8
}

// FlagLeased is set in a ProbeAnswer if the sender holds a lease.
const FlagLeased uint8 = 1

// Sizes in bytes.
const (
	tagSize    = 8
	headerSize = 4 + 4 + 8 + 8 + 4 + 8 + 4 + 2 + 4*MaxChain
	// Overhead is the size that a message adds to its payload.
	Overhead = tagSize + headerSize
)

// Errors of Key.Parse. ParseRecords returns ErrTruncated, too.
var (
	ErrTruncated = errors.New("relay message is truncated")
	ErrTag       = errors.New("relay message has a wrong authentication tag")
	ErrKind      = errors.New("relay message is of an unknown kind")
	ErrChain     = errors.New("relay message has a bad chain")
)

// Key authenticates messages with a SipHash-2-4 tag. They are not encrypted.
type Key struct {
	k0, k1 uint64
}

// KeySize is the size of a key in bytes.
const KeySize = 16

// NewKey returns the key in b. It fails unless b is KeySize bytes long.
func NewKey(b []byte) (Key, error) {
	if len(b) != KeySize {
		return Key{}, fmt.Errorf("relay key has %d bytes, not %d", len(b), KeySize)
	}
	return Key{k0: binary.LittleEndian.Uint64(b), k1: binary.LittleEndian.Uint64(b[8:])}, nil
}

// Append appends the encoded message, with its tag and payload, to b.
func (k Key) Append(b []byte, m *Message, payload []byte) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0, 0, 0, 0, 0)
	b = append(b, byte(m.Kind), m.Hops, m.Flags, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(m.Sender))
	b = binary.BigEndian.AppendUint64(b, m.Version)
	b = binary.BigEndian.AppendUint64(b, m.View)
	b = binary.BigEndian.AppendUint32(b, uint32(m.Slot))
	b = binary.BigEndian.AppendUint64(b, m.Epoch)
	b = binary.BigEndian.AppendUint32(b, m.Seq)
	b = append(b, m.ChainLength, m.ChainIndex)
	for _, id := range m.Chain {
		b = binary.BigEndian.AppendUint32(b, uint32(id))
	}
	b = append(b, payload...)
	tag := siphash.Hash(k.k0, k.k1, b[start+tagSize:])
	binary.BigEndian.PutUint64(b[start:], tag)
	return b
}

// Parse verifies the message b, decodes its header into m and returns its payload,
// which is a slice of b.
func (k Key) Parse(b []byte, m *Message) ([]byte, error) {
	if len(b) < Overhead {
		return nil, ErrTruncated
	}
	if siphash.Hash(k.k0, k.k1, b[tagSize:]) != binary.BigEndian.Uint64(b) {
		return nil, ErrTag
	}
	h := b[tagSize:]
	*m = Message{
		Kind: Kind(h[0]), Hops: h[1], Flags: h[2],
		Sender:      catkinrail.InstanceID(binary.BigEndian.Uint32(h[4:])),
		Version:     binary.BigEndian.Uint64(h[8:]),
		View:        binary.BigEndian.Uint64(h[16:]),
		Slot:        catkinrail.SlotID(binary.BigEndian.Uint32(h[24:])),
		Epoch:       binary.BigEndian.Uint64(h[28:]),
		Seq:         binary.BigEndian.Uint32(h[36:]),
		ChainLength: h[40], ChainIndex: h[41],
	}
	if m.Kind == 0 || m.Kind >= numKinds {
		return nil, ErrKind
	}
	if m.ChainLength > MaxChain || m.ChainIndex > m.ChainLength {
		return nil, ErrChain
	}
	for i := range m.Chain {
		m.Chain[i] = catkinrail.InstanceID(binary.BigEndian.Uint32(h[42+4*i:]))
	}
	return b[Overhead:], nil
}
