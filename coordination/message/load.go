package message

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"catkinrail.example/catkinrail"
)

// ServerKey identifies an incarnation of a backend server in reports of load. It is a hash
// of token and start time, which alone would take more than half of a report. Of 4,800
// incarnations, two have the same key with a probability of 4 %; an entry instance leaves
// those out.
type ServerKey uint32

// keyBits is the number of bits of a key. With 28 bits, the differences of the sorted keys
// of a thousand backend servers take three bytes.
const keyBits = 28

// NewServerKey returns the key of the incarnation with the given token and start time.
func NewServerKey(t catkinrail.Token, startedAt int64) ServerKey {
	var b [12]byte
	binary.LittleEndian.PutUint32(b[:], uint32(t))
	binary.LittleEndian.PutUint64(b[4:], uint64(startedAt))
	return ServerKey(xxh3.Hash(b[:]) >> (64 - keyBits))
}

// ServerLoads is a list of loads, sorted by key. It is encoded as a byte string of six bytes
// a row, a fifth of a CBOR array, because entry instances exchange it several times a
// second over links of 1.4 Mbit/s.
type ServerLoads []ServerLoad

// loadColumns is the number of columns of a row that this version writes. A reader ignores
// further columns, and takes missing ones as zero.
const loadColumns = 3

// Precision of encoded latencies: steps of 9 %, so that one byte reaches from 250 µs to
// 13 s.
const (
	minLatency     = 250 * time.Microsecond
	stepsPerDouble = 8
	maxLatencyStep = 127
)

// maxLoadValue limits decoded values, so that sums of them can't overflow.
const maxLoadValue = math.MaxInt32

// errLoads means that an encoded list of loads is malformed.
var errLoads = errors.New("malformed list of loads")

// MarshalBinary implements encoding.BinaryMarshaler. The encoding is the number of columns
// and then, for each row, the difference from the key of the previous row, and the
// columns; all are variable-length integers.
func (l ServerLoads) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, 1+8*len(l))
	b = append(b, loadColumns)
	prev := ServerKey(0)
	for i := range l {
		s := &l[i]
		b = binary.AppendUvarint(b, uint64(s.Server-prev))
		b = binary.AppendUvarint(b, uint64(max(0, s.Pending)))
		b = binary.AppendUvarint(b, uint64(max(0, s.Flows)))
		b = binary.AppendUvarint(b, latencyStep(s.Latency))
		prev = s.Server
	}
	return b, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (l *ServerLoads) UnmarshalBinary(b []byte) error {
	*l = (*l)[:0]
	columns, b, err := readUvarint(b)
	if err != nil {
		return err
	}
	prev := ServerKey(0)
	for len(b) > 0 {
		var key uint64
		if key, b, err = readUvarint(b); err != nil {
			return err
		}
		s := ServerLoad{Server: prev + ServerKey(key)}
		for i := range columns {
			var v uint64
			if v, b, err = readUvarint(b); err != nil {
				return err
			}
			switch i {
			case 0:
				s.Pending = int(min(v, maxLoadValue))
			case 1:
				s.Flows = int(min(v, maxLoadValue))
			case 2:
				s.Latency = stepLatency(v)
			}
		}
		*l = append(*l, s)
		prev = s.Server
	}
	return nil
}

// latencyStep returns the encoding of a latency, zero if it is unknown.
func latencyStep(d time.Duration) uint64 {
	if d <= 0 {
		return 0
	}
	step := math.Round(stepsPerDouble * math.Log2(float64(d)/float64(minLatency)))
	return uint64(min(max(0, step), maxLatencyStep-1)) + 1
}

// stepLatency returns the latency of an encoding.
func stepLatency(step uint64) time.Duration {
	if step == 0 {
		return 0
	}
	return time.Duration(float64(minLatency) * math.Exp2(float64(min(step, maxLatencyStep)-1)/stepsPerDouble))
}

func readUvarint(b []byte) (uint64, []byte, error) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, errLoads
	}
	return v, b[n:], nil
}
