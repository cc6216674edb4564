package message

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"catkinrail.example/catkinrail"
)

// ServerLoads is a list of loads. It is encoded as a byte string, in less than half of the
// bytes of a CBOR array, because entry instances exchange it several times a second over
// links of 1.4 Mbit/s. The encoding is smallest if the list is sorted by token.
type ServerLoads []ServerLoad

// loadColumns is the number of columns of a row that this version writes. A reader ignores
// further columns, and takes missing ones as zero.
const loadColumns = 3

// latencyUnit is the precision of encoded latencies: latencies up to 4 s then take at most
// two bytes.
const latencyUnit = 250 * time.Microsecond

// maxLoadValue limits decoded values, so that sums of them can't overflow.
const maxLoadValue = math.MaxInt32

// errLoads means that an encoded list of loads is malformed.
var errLoads = errors.New("malformed list of loads")

// MarshalBinary implements encoding.BinaryMarshaler. The encoding is the number of columns
// and then, for each row, the differences of token and start time from the previous row,
// and the columns; all are variable-length integers.
func (l ServerLoads) MarshalBinary() ([]byte, error) {
	b := make([]byte, 0, 1+13*len(l))
	b = append(b, loadColumns)
	var prev ServerLoad
	for i := range l {
		s := &l[i]
		b = binary.AppendVarint(b, int64(s.Token)-int64(prev.Token))
		b = binary.AppendVarint(b, s.StartedAt-prev.StartedAt)
		b = binary.AppendUvarint(b, uint64(max(0, s.Pending)))
		b = binary.AppendUvarint(b, uint64(max(0, s.Flows)))
		b = binary.AppendUvarint(b, uint64(max(0, s.Latency+latencyUnit-1)/latencyUnit))
		prev = *s
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
	var prev ServerLoad
	for len(b) > 0 {
		var s ServerLoad
		var token, startedAt int64
		if token, b, err = readVarint(b); err != nil {
			return err
		}
		if startedAt, b, err = readVarint(b); err != nil {
			return err
		}
		s.Token, s.StartedAt = prev.Token+catkinrail.Token(token), prev.StartedAt+startedAt
		for i := range columns {
			var v uint64
			if v, b, err = readUvarint(b); err != nil {
				return err
			}
			v = min(v, maxLoadValue)
			switch i {
			case 0:
				s.Pending = int(v)
			case 1:
				s.Flows = int(v)
			case 2:
				s.Latency = time.Duration(v) * latencyUnit
			}
		}
		*l = append(*l, s)
		prev = s
	}
	return nil
}

func readUvarint(b []byte) (uint64, []byte, error) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, errLoads
	}
	return v, b[n:], nil
}

func readVarint(b []byte) (int64, []byte, error) {
	v, n := binary.Varint(b)
	if n <= 0 {
		return 0, nil, errLoads
	}
	return v, b[n:], nil
}
