package journal

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/cluster"
)

// Names of files.
const (
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
	temporary      = ".tmp"
	identityFile   = "identity"
	nameDigits     = 16
)

// maxSegment is the size, in bytes, from which a new segment is begun.
const maxSegment = 8 << 20

// ErrFailed reports that an earlier write failed. What is on disk is unknown
// until the process starts again.
var ErrFailed = errors.New("journal failed earlier")

// batch is the payload of a segment's frame.
type batch struct {
	HardState *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []quorum.Entry    `cbor:"2,keyasint,omitempty"`
}

// Journal is an open log.
type Journal struct {
	dir     catkinrail.Dir
	file    catkinrail.File
	name    string
	size    int64
	next    uint64
	hard    quorum.HardState
	load    loading
	failed  error
	scratch []byte
}

// Open reads the folder and returns what it holds. It cuts off a torn frame at
// the end of the last segment; any other damage is a DamageError.
func Open(dir catkinrail.Dir) (*Journal, quorum.Stored, error) {
	var stored quorum.Stored
	j := &Journal{dir: dir, load: loading{Stored: &stored}}
	names, err := dir.List()
	if err != nil {
		return nil, stored, fmt.Errorf("list data folder: %w", err)
	}
	if err := j.removeTemporary(names); err != nil {
		return nil, stored, err
	}
	if err := loadSnapshot(dir, withPrefix(names, snapshotPrefix), &stored); err != nil {
		return nil, stored, err
	}
	segments := withPrefix(names, segmentPrefix)
	for i, name := range segments {
		if err := j.loadSegment(name, i == len(segments)-1); err != nil {
			return nil, stored, err
		}
	}
	if err := j.load.finish(); err != nil {
		return nil, stored, err
	}
	j.hard = stored.HardState
	return j, stored, j.startSegment(segments)
}

func withPrefix(names []string, prefix string) []string {
	var list []string
	for _, name := range names {
		if strings.HasPrefix(name, prefix) && !strings.HasSuffix(name, temporary) {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

func (j *Journal) removeTemporary(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, temporary) {
			continue
		}
		if err := j.dir.Remove(name); err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
	}
	return nil
}

// loadSnapshot reads the latest snapshot. Snapshots get their name only once
// they are synced, so a damaged one is not a torn write.
func loadSnapshot(dir catkinrail.Dir, names []string, stored *quorum.Stored) error {
	if len(names) == 0 {
		return nil
	}
	name := names[len(names)-1]
	b, err := dir.Read(name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	payload, size, reason := parseFrame(b)
	if reason == "" && size != len(b) {
		reason = "data follows the snapshot"
	}
	if reason != "" {
		return &DamageError{File: name, Reason: reason}
	}
	if err := cluster.Decode(payload, &stored.Snapshot); err != nil {
		return &DamageError{File: name, Offset: frameHeader, Reason: err.Error()}
	}
	return nil
}

func (j *Journal) loadSegment(name string, last bool) error {
	b, err := j.dir.Read(name)
	if err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	offset := 0
	for offset < len(b) {
		payload, size, reason := parseFrame(b[offset:])
		if reason != "" {
			return j.cutTorn(name, b, offset, reason, last)
		}
		var rec batch
		if err := cluster.Decode(payload, &rec); err != nil {
			return &DamageError{File: name, Offset: int64(offset), Reason: err.Error()}
		}
		if err := j.load.addBatch(&rec); err != nil {
			return &DamageError{File: name, Offset: int64(offset), Reason: err.Error()}
		}
		offset += size
	}
	j.size = int64(len(b))
	return nil
}

// cutTorn cuts off the frame at offset if it can only be the last write before
// a crash.
func (j *Journal) cutTorn(name string, b []byte, offset int, reason string, last bool) error {
	if !last || frameFollows(b[offset:]) {
		return &DamageError{File: name, Offset: int64(offset), Reason: reason}
	}
	if err := j.dir.Truncate(name, int64(offset)); err != nil {
		return fmt.Errorf("cut torn end of %s at offset %d: %w", name, offset, err)
	}
	j.size = int64(offset)
	return nil
}

// loading is what was read of the segments so far.
type loading struct {
	*quorum.Stored
	// covered is the term of the entry at the snapshot's index, if a segment
	// from before the snapshot still holds it.
	covered uint64
}

// addBatch applies a batch to what was read before it.
func (l *loading) addBatch(b *batch) error {
	if b.HardState != nil {
		l.HardState = *b.HardState
	}
	for _, e := range b.Entries {
		if e.Index == l.Snapshot.Index {
			l.covered = e.Term
		}
		if e.Index <= l.Snapshot.Index {
			l.Entries = l.Entries[:0]
			continue
		}
		next := l.Snapshot.Index + uint64(len(l.Entries)) + 1
		if e.Index > next {
			return fmt.Errorf("entry %d follows entry %d", e.Index, next-1)
		}
		l.Entries = append(l.Entries[:e.Index-l.Snapshot.Index-1], e)
	}
	return nil
}

// finish drops entries that a snapshot from a leader has replaced, which a crash
// may have left behind, and checks the order of the others.
func (l *loading) finish() error {
	if l.covered != 0 && l.covered != l.Snapshot.Term {
		l.Entries = nil
	}
	prev := l.Snapshot.Term
	for _, e := range l.Entries {
		if e.Term < prev || e.Term > l.HardState.Term {
			return &DamageError{File: "log", Reason: fmt.Sprintf("entry %d has term %d after term %d", e.Index, e.Term, prev)}
		}
		prev = e.Term
	}
	return nil
}

func fileName(prefix string, n uint64) string {
	return fmt.Sprintf("%s%0*x", prefix, nameDigits, n)
}

// startSegment opens the last segment for appending, or creates the first.
func (j *Journal) startSegment(segments []string) error {
	if len(segments) == 0 {
		return j.createSegment(1)
	}
	j.name = segments[len(segments)-1]
	if _, err := fmt.Sscanf(j.name, segmentPrefix+"%x", &j.next); err != nil {
		return &DamageError{File: j.name, Reason: "name has no number"}
	}
	f, err := j.dir.Append(j.name)
	if err != nil {
		return fmt.Errorf("open %s: %w", j.name, err)
	}
	j.file = f
	// Nothing that was read may be lost later.
	return f.Sync()
}

// createSegment begins a segment. Its first frame repeats the hard state, so
// that earlier segments can be removed.
func (j *Journal) createSegment(n uint64) error {
	name := fileName(segmentPrefix, n)
	f, err := j.dir.Create(name)
	if err != nil {
		return fmt.Errorf("create %s: %w", name, err)
	}
	j.file, j.name, j.size, j.next = f, name, 0, n
	if err := j.writeBatch(&batch{HardState: &j.hard}); err != nil {
		return err
	}
	return j.dir.Sync()
}

// Save writes and syncs what a Ready asks for, except its snapshot. After an
// error every further call fails: the process must start again and read what
// the disk holds.
func (j *Journal) Save(hard *quorum.HardState, entries []quorum.Entry) error {
	if j.failed != nil {
		return errors.Join(ErrFailed, j.failed)
	}
	if hard == nil && len(entries) == 0 {
		return nil
	}
	if hard != nil {
		j.hard = *hard
	}
	if err := j.writeBatch(&batch{HardState: hard, Entries: entries}); err != nil {
		j.failed = err
		return err
	}
	return nil
}

func (j *Journal) writeBatch(rec *batch) error {
	payload, err := cluster.Encode(rec)
	if err != nil {
		return err
	}
	j.scratch = appendFrame(j.scratch[:0], payload)
	if _, err := j.file.Write(j.scratch); err != nil {
		return fmt.Errorf("write %s: %w", j.name, err)
	}
	if err := j.file.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", j.name, err)
	}
	j.size += int64(len(j.scratch))
	return nil
}

// SaveSnapshot writes a snapshot, begins a new segment with the entries that
// follow it, and removes what is no longer needed.
func (j *Journal) SaveSnapshot(s *quorum.Snapshot, following []quorum.Entry) error {
	if j.failed != nil {
		return errors.Join(ErrFailed, j.failed)
	}
	if err := j.replaceBySnapshot(s, following); err != nil {
		j.failed = err
		return err
	}
	return nil
}

func (j *Journal) replaceBySnapshot(s *quorum.Snapshot, following []quorum.Entry) error {
	payload, err := cluster.Encode(s)
	if err != nil {
		return err
	}
	name := fileName(snapshotPrefix, s.Index)
	if err := writeFile(j.dir, name, appendFrame(nil, payload)); err != nil {
		return err
	}
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("close %s: %w", j.name, err)
	}
	if err := j.createSegment(j.next + 1); err != nil {
		return err
	}
	if len(following) > 0 {
		if err := j.writeBatch(&batch{Entries: following}); err != nil {
			return err
		}
	}
	return j.removeOld(name)
}

// writeFile writes a file so that it appears under its name only when whole.
func writeFile(dir catkinrail.Dir, name string, b []byte) error {
	f, err := dir.Create(name + temporary)
	if err != nil {
		return fmt.Errorf("create %s: %w", name, err)
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := dir.Rename(name+temporary, name); err != nil {
		return fmt.Errorf("rename %s: %w", name, err)
	}
	return dir.Sync()
}

// removeOld removes the segments and snapshots before the current ones. The
// segments go from the oldest on, so that a crash leaves no gap.
func (j *Journal) removeOld(snapshot string) error {
	names, err := j.dir.List()
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	for _, name := range withPrefix(names, segmentPrefix) {
		if name < j.name {
			if err := j.dir.Remove(name); err != nil {
				return fmt.Errorf("remove %s: %w", name, err)
			}
		}
	}
	for _, name := range withPrefix(names, snapshotPrefix) {
		if name < snapshot {
			if err := j.dir.Remove(name); err != nil {
				return fmt.Errorf("remove %s: %w", name, err)
			}
		}
	}
	return j.dir.Sync()
}

// Size returns the size of the current segment in bytes.
func (j *Journal) Size() int64 {
	return j.size
}

// NeedsSnapshot reports whether the log should be replaced by a snapshot.
func (j *Journal) NeedsSnapshot() bool {
	return j.size >= maxSegment
}

// Close closes the current segment.
func (j *Journal) Close() error {
	return j.file.Close()
}
