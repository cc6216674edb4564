package cluster

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Limits on the arrays and maps in decoded CBOR, above the sizes of the planned
// deployment.
const (
	maxArray = 1 << 20
	maxPairs = 1 << 20
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxArray,
		MaxMapPairs:      maxPairs,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		// One text that isn't valid UTF-8 must not make a whole message unreadable.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the deterministic CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Decode decodes the CBOR encoding b into v.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if s, ok := v.(*State); ok {
		s.ensureMaps()
	}
	return nil
}

// Clone returns a deep copy of the state.
func (s *State) Clone() (*State, error) {
	b, err := Encode(s)
	if err != nil {
		return nil, err
	}
	c := New()
	if err := Decode(b, c); err != nil {
		return nil, err
	}
	return c, nil
}

// Compression of large encodings, which contain many repetitions.
const (
	// compressedMark is the first byte of a compressed encoding; no CBOR map begins
	// with it.
	compressedMark = 0x00
	// minCompressSize is the size in bytes from which an encoding is compressed.
	minCompressSize = 512
	// maxDecompressed limits the size in bytes of a decompressed encoding.
	maxDecompressed = 64 << 20
)

// compressors holds unused compressors. A new one takes 1 ms and 600 KB, and control
// instances send compressed messages many times a second.
var compressors sync.Pool

// EncodeCompressed returns the encoding of v, compressed if it is large.
func EncodeCompressed(v any) ([]byte, error) {
	b, err := Encode(v)
	if err != nil || len(b) < minCompressSize {
		return b, err
	}
	var out bytes.Buffer
	out.WriteByte(compressedMark)
	w, ok := compressors.Get().(*flate.Writer)
	if !ok {
		if w, err = flate.NewWriter(nil, flate.BestSpeed); err != nil {
			return nil, fmt.Errorf("compress %T: %w", v, err)
		}
	}
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		return nil, fmt.Errorf("compress %T: %w", v, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress %T: %w", v, err)
	}
	return out.Bytes(), nil
}

// DecodeCompressed decodes an encoding, compressed or not, into v.
func DecodeCompressed(b []byte, v any) error {
	plain, err := decompress(b)
	if err != nil {
		return fmt.Errorf("decompress %T: %w", v, err)
	}
	return Decode(plain, v)
}

// DecodeChange decodes a change, and returns the size of its encoding before compression in
// bytes.
func DecodeChange(b []byte) (c Change, size int, err error) {
	plain, err := decompress(b)
	if err != nil {
		return c, 0, fmt.Errorf("decompress change: %w", err)
	}
	err = Decode(plain, &c)
	return c, len(plain), err
}

// decompress returns the encoding that b holds, compressed or not.
func decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != compressedMark {
		return b, nil
	}
	return io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxDecompressed))
}
