// Package journal stores a control instance's log and snapshots on disk.
//
// A segment is a file of frames. Each frame is written and synced before the
// next one, so that a crash can tear only the last frame, which Open removes.
// Any other corruption is an error.
package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Layout of a frame: magic, length and checksum of the payload (4 bytes each,
// little-endian), then the payload.
const (
	frameMagic      = 0x6b6c6a66
	frameHeaderSize = 12
	// maxPayloadSize is the maximum size of a frame's payload in bytes.
	maxPayloadSize = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError reports a file whose content isn't what was written.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("file %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// appendFrame appends a frame with the payload to b.
func appendFrame(b, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, frameMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(payload, castagnoli))
	return append(b, payload...)
}

// parseFrame returns the payload of the frame at the start of b and the size of
// the frame. If b doesn't start with a valid frame, it returns the reason.
func parseFrame(b []byte) (payload []byte, size int, reason string) {
	if len(b) < frameHeaderSize {
		return nil, 0, "frame header is truncated"
	}
	if binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, 0, "frame magic doesn't match"
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > maxPayloadSize || n > len(b)-frameHeaderSize {
		return nil, 0, "frame length exceeds the limit or the rest of the file"
	}
	payload = b[frameHeaderSize : frameHeaderSize+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, "frame checksum doesn't match"
	}
	return payload, frameHeaderSize + n, ""
}

// frameFollows reports whether a valid frame begins anywhere after the start of b.
// The frame at the start was then synced earlier, and isn't a torn write.
func frameFollows(b []byte) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for at := 1; at < len(b); {
		i := bytes.Index(b[at:], magic)
		if i < 0 {
			return false
		}
		if _, _, reason := parseFrame(b[at+i:]); reason == "" {
			return true
		}
		at += i + 1
	}
	return false
}
