package relay

import (
	"encoding/binary"

	"catkinrail.example/catkinrail"
)

// recordSize is the size of an encoded record in bytes.
const recordSize = 16 + 16 + 2 + 2 + 1 + 1 + 4 + 8 + 4

// MaxRecords is the number of records that fit into one Copy within the smallest IPv6
// MTU (1280 bytes, of which the IPv6 and UDP headers take 48).
const MaxRecords = (1280 - 48 - Overhead) / recordSize

// Flags of an encoded record.
const (
	recordEstablished = 1 << 0
	recordClosing     = 1 << 1
)

// AppendRecord appends an encoded record to b. The time of the flow's last packet is
// sent as an age, in milliseconds before now, since instances don't share a clock; now
// is in nanoseconds.
func AppendRecord(b []byte, r *catkinrail.Record, now int64) []byte {
	b = append(b, r.Key.Src[:]...)
	b = append(b, r.Key.Dst[:]...)
	b = binary.BigEndian.AppendUint16(b, r.Key.SrcPort)
	b = binary.BigEndian.AppendUint16(b, r.Key.DstPort)
	flags := byte(0)
	if r.Established {
		flags |= recordEstablished
	}
	if r.Closing {
		flags |= recordClosing
	}
	b = append(b, r.Key.Proto, flags)
	b = binary.BigEndian.AppendUint32(b, uint32(r.Slot))
	b = binary.BigEndian.AppendUint64(b, r.Epoch)
	return binary.BigEndian.AppendUint32(b, ageMillis(now-r.Seen))
}

const nanosPerMilli = 1_000_000

func ageMillis(age int64) uint32 {
	return uint32(min(max(age/nanosPerMilli, 0), 1<<32-1))
}

// ParseRecords decodes the records of a Copy's payload and computes their times from
// now, in nanoseconds. It returns ErrTruncated if b does not hold whole records.
func ParseRecords(b []byte, now int64) ([]catkinrail.Record, error) {
	if len(b)%recordSize != 0 {
		return nil, ErrTruncated
	}
	list := make([]catkinrail.Record, 0, len(b)/recordSize)
	for ; len(b) > 0; b = b[recordSize:] {
		r := catkinrail.Record{
			Key: catkinrail.FlowKey{
				Src: [16]byte(b[:16]), Dst: [16]byte(b[16:32]),
				SrcPort: binary.BigEndian.Uint16(b[32:]),
				DstPort: binary.BigEndian.Uint16(b[34:]),
				Proto:   b[36],
			},
			Established: b[37]&recordEstablished != 0,
			Closing:     b[37]&recordClosing != 0,
			Slot:        catkinrail.SlotID(binary.BigEndian.Uint32(b[38:])),
			Epoch:       binary.BigEndian.Uint64(b[42:]),
			Seen:        now - int64(binary.BigEndian.Uint32(b[50:]))*nanosPerMilli,
		}
		list = append(list, r)
	}
	return list, nil
}
