package follow

import (
	"sync"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/state/cluster"
)

// maxCachedFrames is the number of encoded changes that are kept for streams that
// lag behind the others.
const maxCachedFrames = 32

// maxSnapshotAge is the age, in nanoseconds, up to which the encoded whole directory
// is sent to further streams. After the loss of a control instance, many streams
// begin at about the same time.
const maxSnapshotAge = int64(500e6)

// feed encodes the directory and its changes once for all streams. Streams that
// have sent the same frame are at the same revision, so that they share the next
// frame as well.
type feed struct {
	dir *gossip.Directory

	mu sync.Mutex
	// frames holds the changes since a revision, by that revision.
	frames map[uint64]*frame
	// order lists the keys of frames, oldest first.
	order []uint64
	// snapshot is the latest frame with the whole directory; nil at the start.
	snapshot *frame
	// document is the latest encoded document.
	document frame
}

// frame is an encoded update.
type frame struct {
	body []byte
	// to is the revision of the directory, or the version of the document, that a
	// receiver of the frame has.
	to uint64
	// encodedAt is the time at which it was encoded, in nanoseconds of the clock.
	encodedAt int64
}

func newFeed(dir *gossip.Directory) *feed {
	return &feed{dir: dir, frames: map[uint64]*frame{}}
}

// next returns the frame with the changes since a revision, or the whole directory
// if the revision is zero. If nothing has changed, the frame is nil and the channel
// is closed at the next change.
func (f *feed) next(revision uint64, now int64) (*frame, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == 0 && f.snapshot != nil && now-f.snapshot.encodedAt < maxSnapshotAge {
		return f.snapshot, nil, nil
	}
	if fr := f.frames[revision]; fr != nil && revision != 0 {
		return fr, nil, nil
	}
	list, at, changed := f.dir.Since(revision)
	if len(list) == 0 {
		return nil, changed, nil
	}
	u := &message.FollowUpdate{Backends: make([]message.FollowedBackend, len(list))}
	for i := range list {
		u.Backends[i] = message.FollowedBackend{Incarnation: list[i].Incarnation, Silent: list[i].Silent, Superseded: list[i].Superseded}
	}
	body, err := cluster.EncodeCompressed(u)
	if err != nil {
		return nil, nil, err
	}
	fr := &frame{body: body, to: at, encodedAt: now}
	if revision == 0 {
		f.snapshot = fr
		return fr, nil, nil
	}
	f.cache(revision, fr)
	return fr, nil, nil
}

// cache keeps a frame and evicts the oldest beyond maxCachedFrames. The caller
// holds mu.
func (f *feed) cache(revision uint64, fr *frame) {
	f.frames[revision] = fr
	f.order = append(f.order, revision)
	if len(f.order) > maxCachedFrames {
		delete(f.frames, f.order[0])
		f.order = f.order[1:]
	}
}

// encodeDocument returns an encoded update with the document, without its source,
// which only operators read.
func (f *feed) encodeDocument(d *catkinrail.Document) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document.to == d.Version {
		return f.document.body, nil
	}
	withoutSource := *d
	withoutSource.Source = nil
	body, err := cluster.EncodeCompressed(&message.FollowUpdate{Document: &withoutSource})
	if err != nil {
		return nil, err
	}
	f.document = frame{body: body, to: d.Version}
	return body, nil
}
