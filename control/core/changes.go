package core

import (
	"slices"

	"catkinrail.example/catkinrail/state/cluster"
)

// Limits of the changes that are kept for entry instances and watchers that lag behind. Up to
// twice as many are held between two trims.
const (
	maxChanges = 4096
	// maxChangeBytes limits the encoded size of these changes.
	maxChangeBytes = 4 << 20
)

// changeLog holds the latest applied changes, in order. A document is kept only in the last
// change that puts one: it replaces those before it as a whole.
type changeLog struct {
	list []cluster.Change
	// sizes holds the encoded size in bytes of each change, total their sum.
	sizes []int
	total int
	// document is the version of the last change that puts a document; zero for none.
	document uint64
}

// add appends a change whose encoding has the given size in bytes.
func (l *changeLog) add(change cluster.Change, size int) {
	if slices.ContainsFunc(change.Events, putsDocument) {
		l.dropDocument()
		l.document = change.Version
	}
	l.list = append(l.list, change)
	l.sizes = append(l.sizes, size)
	l.total += size
	if len(l.list) > 2*maxChanges || l.total > 2*maxChangeBytes {
		l.trim()
	}
}

func putsDocument(e cluster.Event) bool {
	return e.DocumentPut != nil
}

// dropDocument removes the document from the change that puts it. Readers may still hold the
// change, so it is replaced.
func (l *changeLog) dropDocument() {
	if l.document == 0 || len(l.list) == 0 || l.document < l.list[0].Version {
		return
	}
	i := l.document - l.list[0].Version
	l.list[i].Events = slices.DeleteFunc(slices.Clone(l.list[i].Events), putsDocument)
	l.total -= l.sizes[i]
	l.sizes[i] = 0
}

// trim removes the oldest changes down to the limits, but not the last one.
func (l *changeLog) trim() {
	n := max(0, len(l.list)-maxChanges)
	for _, size := range l.sizes[:n] {
		l.total -= size
	}
	for ; n < len(l.list)-1 && l.total > maxChangeBytes; n++ {
		l.total -= l.sizes[n]
	}
	l.list, l.sizes = slices.Clone(l.list[n:]), slices.Clone(l.sizes[n:])
}

// since returns the changes after a version. It returns false if some of them are no longer
// kept.
func (l *changeLog) since(version uint64) ([]cluster.Change, bool) {
	if len(l.list) == 0 || l.list[0].Version > version+1 {
		return nil, false
	}
	from := min(version+1-l.list[0].Version, uint64(len(l.list)))
	return slices.Clone(l.list[from:]), true
}

// after returns the kept changes after a version, which may not be all of them.
func (l *changeLog) after(version uint64) []cluster.Change {
	if len(l.list) > 0 {
		version = max(version, l.list[0].Version-1)
	}
	list, _ := l.since(version)
	return list
}
