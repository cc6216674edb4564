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

// File names.
const (
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
	identityFile   = "identity"
	nameDigits     = 16
)

// maxSegmentSize is the segment size, in bytes, at which a snapshot is due.
const maxSegmentSize = 8 << 20

// ErrFailed reports that an earlier Save or SaveSnapshot failed. What is on disk is
// unknown until the journal is opened again.
var ErrFailed = errors.New("journal is unusable after an earlier error")

// batch is the payload of a segment's frame.
type batch struct {
	HardState *quorum.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []quorum.Entry    `cbor:"2,keyasint,omitempty"`
}

// Journal is an open log.
type Journal struct {
	dir catkinrail.Dir
	// file, name, size (in bytes) and segmentNumber are those of the current segment.
	file          catkinrail.File
	name          string
	size          int64
	segmentNumber uint64
	hard          quorum.HardState
	load          loadState
	// failed is the error of the Save or SaveSnapshot that failed first.
	failed  error
	scratch []byte
}

// Open reads the data folder and returns the state that it holds. It truncates a
// torn frame at the end of the last segment; any other corruption is a
// CorruptionError.
func Open(dir catkinrail.Dir) (*Journal, quorum.Stored, error) {
	var stored quorum.Stored
	j := &Journal{dir: dir, load: loadState{Stored: &stored}}
	names, err := dir.List()
	if err != nil {
		return nil, stored, fmt.Errorf("list data folder: %w", err)
	}
	if err := j.removeTempFiles(names); err != nil {
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
	if err := j.startSegment(segments); err != nil {
		if j.file != nil {
			err = errors.Join(err, j.file.Close())
		}
		return nil, stored, err
	}
	return j, stored, nil
}

// withPrefix returns, sorted, the names that have the prefix and aren't those of
// temporary files.
func withPrefix(names []string, prefix string) []string {
	var list []string
	for _, name := range names {
		if strings.HasPrefix(name, prefix) && !strings.HasSuffix(name, tempSuffix) {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

func (j *Journal) removeTempFiles(names []string) error {
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if err := j.dir.Remove(name); err != nil {
			return fmt.Errorf("remove %s: %w", name, err)
		}
	}
	return nil
}

// loadSnapshot reads the latest snapshot. A snapshot gets its final name only once
// it is synced, so a corrupt one isn't a torn write.
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
		reason = "trailing data after the snapshot"
	}
	if reason != "" {
		return &CorruptionError{File: name, Reason: reason}
	}
	if err := cluster.Decode(payload, &stored.Snapshot); err != nil {
		return &CorruptionError{File: name, Offset: frameHeaderSize, Reason: err.Error()}
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
			return j.truncateTornFrame(name, b, offset, reason, last)
		}
		var rec batch
		if err := cluster.Decode(payload, &rec); err != nil {
			return &CorruptionError{File: name, Offset: int64(offset), Reason: err.Error()}
		}
		if err := j.load.addBatch(&rec); err != nil {
			return &CorruptionError{File: name, Offset: int64(offset), Reason: err.Error()}
		}
		offset += size
	}
	j.size = int64(len(b))
	return nil
}

// truncateTornFrame removes the frame at offset if it can only be the last write
// before a crash.
func (j *Journal) truncateTornFrame(name string, b []byte, offset int, reason string, last bool) error {
	if !last || frameFollows(b[offset:]) {
		return &CorruptionError{File: name, Offset: int64(offset), Reason: reason}
	}
	if err := j.dir.Truncate(name, int64(offset)); err != nil {
		return fmt.Errorf("truncate torn frame of %s at offset %d: %w", name, offset, err)
	}
	j.size = int64(offset)
	return nil
}

// loadState is the state read from the snapshot and segments so far.
type loadState struct {
	*quorum.Stored
	// coveredTerm is the term of the entry at the snapshot's index, if a segment
	// from before the snapshot still holds it, or else zero.
	coveredTerm uint64
}

// addBatch applies a batch to the state. Its entries replace those of the same or
// a higher index.
func (l *loadState) addBatch(b *batch) error {
	if b.HardState != nil {
		l.HardState = *b.HardState
	}
	for _, e := range b.Entries {
		if e.Index == l.Snapshot.Index {
			l.coveredTerm = e.Term
		}
		if e.Index <= l.Snapshot.Index {
			l.Entries = l.Entries[:0]
			continue
		}
		next := l.Snapshot.Index + uint64(len(l.Entries)) + 1
		if e.Index > next {
			return fmt.Errorf("gap in the log: entry %d follows entry %d", e.Index, next-1)
		}
		l.Entries = append(l.Entries[:e.Index-l.Snapshot.Index-1], e)
	}
	return nil
}

// finish drops entries that a leader's snapshot has replaced but a crash kept from
// being removed, and checks the terms of the others.
func (l *loadState) finish() error {
	if l.coveredTerm != 0 && l.coveredTerm != l.Snapshot.Term {
		l.Entries = nil
	}
	prev := l.Snapshot.Term
	for _, e := range l.Entries {
		if e.Term < prev || e.Term > l.HardState.Term {
			return &CorruptionError{File: "log", Reason: fmt.Sprintf("entry %d has term %d: before the previous term %d or after the current term", e.Index, e.Term, prev)}
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
	if _, err := fmt.Sscanf(j.name, segmentPrefix+"%x", &j.segmentNumber); err != nil {
		return &CorruptionError{File: j.name, Reason: "segment name has no number"}
	}
	f, err := j.dir.Append(j.name)
	if err != nil {
		return fmt.Errorf("open %s: %w", j.name, err)
	}
	j.file = f
	// What was read may not have been synced, and must not be lost later.
	return f.Sync()
}

// createSegment starts segment n. Its first frame repeats the hard state, so that
// earlier segments can be removed.
func (j *Journal) createSegment(n uint64) error {
	name := fileName(segmentPrefix, n)
	f, err := j.dir.Create(name)
	if err != nil {
		return fmt.Errorf("create %s: %w", name, err)
	}
	j.file, j.name, j.size, j.segmentNumber = f, name, 0, n
	if err := j.writeBatch(&batch{HardState: &j.hard}); err != nil {
		return err
	}
	return j.dir.Sync()
}

// Save writes and syncs a hard state, if it isn't nil, and entries. After an error
// every further call returns ErrFailed: the journal must be opened again to read
// what is on disk.
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

// SaveSnapshot writes a snapshot, starts a new segment with the entries that
// follow it, and removes earlier segments and snapshots. After an error every
// further call returns ErrFailed.
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
	if err := writeFileAtomic(j.dir, name, appendFrame(nil, payload)); err != nil {
		return err
	}
	if err := j.file.Close(); err != nil {
		return fmt.Errorf("close %s: %w", j.name, err)
	}
	if err := j.createSegment(j.segmentNumber + 1); err != nil {
		return err
	}
	if len(following) > 0 {
		if err := j.writeBatch(&batch{Entries: following}); err != nil {
			return err
		}
	}
	return j.removeObsolete(name)
}

// writeFileAtomic writes a file that appears under its name only once it is
// complete and synced.
func writeFileAtomic(dir catkinrail.Dir, name string, b []byte) error {
	f, err := dir.Create(name + tempSuffix)
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
	if err := dir.Rename(name+tempSuffix, name); err != nil {
		return fmt.Errorf("rename %s: %w", name, err)
	}
	return dir.Sync()
}

// removeObsolete removes the segments and snapshots before the current ones.
// Segments are removed from the oldest on, so that a crash leaves no gap.
func (j *Journal) removeObsolete(snapshot string) error {
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

// NeedsSnapshot reports whether the current segment is large enough that a
// snapshot should replace the log.
func (j *Journal) NeedsSnapshot() bool {
	return j.size >= maxSegmentSize
}

// Close closes the current segment.
func (j *Journal) Close() error {
	return j.file.Close()
}
