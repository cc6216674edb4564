package cluster

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Limits of decoded documents, above the sizes of the planned deployment.
const (
	maxArray = 1 << 20
	maxPairs = 1 << 18
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

// Decode reads the CBOR document b into v.
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

// Packing of large documents, which repeat themselves much.
const (
	// packedMark begins a packed document; no CBOR map begins with it.
	packedMark = 0x00
	// packFrom is the size in bytes from which a document is packed.
	packFrom = 512
	// maxUnpacked bounds a document in bytes once unpacked.
	maxUnpacked = 64 << 20
)

// EncodeCompressed returns the encoding of v, compressed if it is large.
func EncodeCompressed(v any) ([]byte, error) {
	b, err := Encode(v)
	if err != nil || len(b) < packFrom {
		return b, err
	}
	var out bytes.Buffer
	out.WriteByte(packedMark)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack %T: %w", v, err)
	}
	if _, err := w.Write(b); err != nil {
		return nil, fmt.Errorf("pack %T: %w", v, err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack %T: %w", v, err)
	}
	return out.Bytes(), nil
}

// DecodeCompressed reads what EncodePacked has written.
func DecodeCompressed(b []byte, v any) error {
	if len(b) == 0 || b[0] != packedMark {
		return Decode(b, v)
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), maxUnpacked))
	if err != nil {
		return fmt.Errorf("unpack %T: %w", v, err)
	}
	return Decode(plain, v)
}
