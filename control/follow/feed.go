package follow

import (
	"sync"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/state/cluster"
)

// maxFrames is the number of encoded changes that are kept for streams that lag
// behind the others.
const maxFrames = 32

// snapshotReuse is the age, in nanoseconds, up to which the encoded directory
// serves further streams: those that begin together, after a loss.
const snapshotReuse = int64(500e6)

// feed encodes the directory and its changes once for all streams. Streams that
// were told the same come to the same revision, so that they share the next
// frame as well.
type feed struct {
	dir *gossip.Directory

	mu sync.Mutex
	// frames are by the revision that they follow.
	frames map[uint64]*frame
	order  []uint64
	// whole is the latest frame that follows nothing.
	whole *frame
	// document is the encoded document of a version.
	document frame
}

// frame is an encoded update.
type frame struct {
	body []byte
	// to is the revision, or the version, that it leads to.
	to uint64
	// made is the time at which it was encoded.
	made int64
}

func newFeed(dir *gossip.Directory) *feed {
	return &feed{dir: dir, frames: map[uint64]*frame{}}
}

// next returns the frame that follows a revision, or nil if nothing has changed,
// and a channel that is closed at the next change.
func (f *feed) next(revision uint64, now int64) (*frame, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == 0 && f.whole != nil && now-f.whole.made < snapshotReuse {
		return f.whole, nil, nil
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
		u.Backends[i] = message.FollowedBackend{Incarnation: list[i].Incarnation, Silent: list[i].Silent}
	}
	body, err := cluster.EncodeCompressed(u)
	if err != nil {
		return nil, nil, err
	}
	fr := &frame{body: body, to: at, made: now}
	if revision == 0 {
		f.whole = fr
		return fr, nil, nil
	}
	f.keep(revision, fr)
	return fr, nil, nil
}

// keep remembers a frame and forgets the oldest. The caller holds mu.
func (f *feed) keep(revision uint64, fr *frame) {
	f.frames[revision] = fr
	f.order = append(f.order, revision)
	if len(f.order) > maxFrames {
		delete(f.frames, f.order[0])
		f.order = f.order[1:]
	}
}

// encodeDocument returns the encoded document, without its source, which only
// operators read.
func (f *feed) encodeDocument(d *catkinrail.Document) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.document.to == d.Version {
		return f.document.body, nil
	}
	bare := *d
	bare.Source = nil
	body, err := cluster.EncodeCompressed(&message.FollowUpdate{Document: &bare})
	if err != nil {
		return nil, err
	}
	f.document = frame{body: body, to: d.Version}
	return body, nil
}
