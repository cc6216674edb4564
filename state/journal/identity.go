package journal

import (
	"fmt"
	"slices"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/cluster"
)

// Identity identifies the instance that a data folder belongs to. It is created
// with the folder: an instance that lost its disk gets a new identity, so that it
// can't vote a second time in a term in which it has voted already.
type Identity struct {
	Node quorum.NodeID `cbor:"1,keyasint"`
	Name string        `cbor:"2,keyasint"`
}

// LoadIdentity returns the folder's identity, or nil if the folder is new.
func LoadIdentity(dir catkinrail.Dir) (*Identity, error) {
	names, err := dir.List()
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	if !slices.Contains(names, identityFile) {
		if len(withPrefix(names, segmentPrefix)) > 0 {
			return nil, &CorruptionError{File: identityFile, Reason: "missing although there are log segments"}
		}
		return nil, nil
	}
	id := &Identity{}
	if err := ReadRecord(dir, identityFile, id); err != nil {
		return nil, err
	}
	return id, nil
}

// ReadRecord reads a file that holds one record into v.
func ReadRecord(dir catkinrail.Dir, name string, v any) error {
	b, err := dir.Read(name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	payload, _, reason := parseFrame(b)
	if reason != "" {
		return &CorruptionError{File: name, Reason: reason}
	}
	if err := cluster.Decode(payload, v); err != nil {
		return &CorruptionError{File: name, Reason: err.Error()}
	}
	return nil
}

// WriteRecord writes a file that holds one record. After a crash the file holds
// either the earlier record or this one.
func WriteRecord(dir catkinrail.Dir, name string, v any) error {
	payload, err := cluster.Encode(v)
	if err != nil {
		return err
	}
	return writeFileAtomic(dir, name, appendFrame(nil, payload))
}

// SaveIdentity writes the identity of a new data folder.
func SaveIdentity(dir catkinrail.Dir, id *Identity) error {
	return WriteRecord(dir, identityFile, id)
}
