package quorum

// log holds the entries after the last snapshot. entries[0] is a placeholder with
// the snapshot's index and term.
type log struct {
	entries []Entry
	// unstable is the index of the first entry that Ready has not returned yet.
	unstable uint64
	// stable is the index of the last entry on disk, including those that Ready
	// has returned for writing.
	stable  uint64
	commit  uint64
	applied uint64
}

func newLog(s *Snapshot, entries []Entry) log {
	l := log{entries: append([]Entry{{Index: s.Index, Term: s.Term}}, entries...)}
	l.unstable = l.last() + 1
	l.stable = l.last()
	l.commit, l.applied = s.Index, s.Index
	return l
}

// snapshotIndex returns the index of the last entry that the snapshot covers.
func (l *log) snapshotIndex() uint64 {
	return l.entries[0].Index
}

func (l *log) last() uint64 {
	return l.snapshotIndex() + uint64(len(l.entries)) - 1
}

// term returns the term of an entry, and whether the log still has it.
func (l *log) term(index uint64) (uint64, bool) {
	if index < l.snapshotIndex() || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.snapshotIndex()].Term, true
}

// slice returns a copy of up to limit entries, starting at index from.
func (l *log) slice(from uint64, limit int) []Entry {
	if from <= l.snapshotIndex() || from > l.last() {
		return nil
	}
	part := l.entries[from-l.snapshotIndex():]
	if len(part) > limit {
		part = part[:limit]
	}
	return append([]Entry(nil), part...)
}

// batch returns a copy of the entries for an Append, starting at index from.
func (l *log) batch(from uint64) []Entry {
	list := l.slice(from, maxAppendEntries)
	size := 0
	for i := range list {
		if size += len(list[i].Data); size >= maxAppendBytes {
			return list[:i+1]
		}
	}
	return list
}

// append adds consecutive entries and truncates the log at the first entry that
// conflicts with them. Entries that the log already has are kept.
func (l *log) append(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if t, ok := l.term(e.Index); ok && t == e.Term {
			continue
		}
		if e.Index <= l.snapshotIndex() {
			continue
		}
		l.entries = append(l.entries[:e.Index-l.snapshotIndex()], entries[i:]...)
		l.unstable = min(l.unstable, e.Index)
		l.stable = min(l.stable, e.Index-1)
		return
	}
}

// restore replaces the log by a snapshot.
func (l *log) restore(s *Snapshot) {
	*l = newLog(s, nil)
}

// compact drops the entries up to and including index.
func (l *log) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index == l.snapshotIndex() {
		return
	}
	rest := append([]Entry{{Index: index, Term: t}}, l.entries[index-l.snapshotIndex()+1:]...)
	l.entries = rest
}

// upToDate reports whether a log that ends with the given entry is at least as
// up to date as this one.
func (l *log) upToDate(index, term uint64) bool {
	own, _ := l.term(l.last())
	return term > own || (term == own && index >= l.last())
}
