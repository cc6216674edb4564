// Package follow streams the document, the directory of backend servers and the list
// of control instances to entry instances, and then their changes.
package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/coordination/warmup"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/clock"
)

// Timing of the streams.
const (
	// batchDelay is the time between a change and its sending, so that changes
	// that come together are sent together: a hundredth of the usual time within
	// which a draining backend server must stop getting new flows.
	batchDelay = 30 * time.Millisecond
	// syncTimeout is the time since the last sync with a leader after which this
	// instance no longer counts as in contact: a few of the leader's heartbeats.
	syncTimeout = time.Second
	// keepAliveInterval is the longest time between two updates.
	keepAliveInterval = 400 * time.Millisecond
)

// maxPart is the size in bytes from which an update is sent in parts. Each arrives well within
// the time without an update after which an entry instance gives up a stream, also over a link
// of 1 Mbit/s that carries other traffic.
const maxPart = 8 << 10

// Server sends updates to the entry instances that follow this control instance.
type Server struct {
	core  *core.Core
	dir   *gossip.Directory
	feed  *feed
	clock catkinrail.Clock
	log   *logs.Logger
	// process is a random number that tells this process from earlier ones at the
	// same address, whose revisions mean something else.
	process uint64

	mu      sync.Mutex
	streams map[*stream]Follower
}

// New returns a server that sends the core's document and members and the directory.
func New(c *core.Core, dir *gossip.Directory, clock catkinrail.Clock, log *logs.Logger) *Server {
	return &Server{core: c, dir: dir, feed: newFeed(dir), clock: clock, log: log, process: rand.Uint64(), streams: map[*stream]Follower{}}
}

// stream is a stream of updates to one entry instance, with what was last sent.
type stream struct {
	*Server
	Follower
	send func(body []byte) error
	// parts is set if the entry instance takes large updates in parts.
	parts bool
	// unsent is what is left of the document of version unsentVersion that is being sent; empty
	// if there is none.
	unsent        []byte
	unsentVersion uint64
	// revision is that of the directory.
	revision uint64
	members  *quorum.Members
	current  bool
	complete bool
}

// Serve sends updates to an entry instance until ctx ends or an update fails, and
// returns that error.
func (s *Server) Serve(ctx context.Context, req *message.FollowRequest, send func(body []byte) error) error {
	st := &stream{
		Server: s, send: send, parts: req.Parts, revision: s.resumeRevision(req.Resume),
		Follower: Follower{Name: req.Name, Zone: req.Zone, Document: req.Document, StartedAt: s.clock.Now()},
	}
	s.log.Info().Str("entry", req.Name).Str("zone", string(req.Zone)).Uint64("document", req.Document).
		Uint64("revision", st.revision).Msg("entry instance's stream started")
	st.record()
	defer st.remove()
	if err := st.sendEmpty(); err != nil {
		return err
	}
	keepAlive := time.NewTicker(keepAliveInterval)
	defer keepAlive.Stop()
	keepAliveDue := true
	for {
		advanced := s.core.Advanced()
		changed, err := st.update(keepAliveDue)
		if err != nil {
			s.log.Info().Str("entry", req.Name).Err(err).Msg("entry instance's stream failed")
			return err
		}
		if keepAliveDue, err = st.wait(ctx, advanced, changed, keepAlive.C); err != nil {
			return nil
		}
	}
}

// sendEmpty sends an empty update, so that the entry instance soon knows that this
// instance answers, however long the first update takes on a slow link.
func (st *stream) sendEmpty() error {
	body, err := cluster.EncodeCompressed(&message.FollowUpdate{})
	if err != nil {
		return err
	}
	return st.send(body)
}

// resumeRevision returns the revision of the directory from which a stream resumes,
// or zero if it must start with the whole directory.
func (s *Server) resumeRevision(p message.ResumePoint) uint64 {
	if p.Process != s.process {
		return 0
	}
	return p.Revision
}

// wait waits until there may be something to send, and reports whether a keep-alive
// is due. It ignores published states with neither a newer document nor new members.
func (st *stream) wait(ctx context.Context, advanced, changed <-chan struct{}, keepAlive <-chan time.Time) (keepAliveDue bool, err error) {
	if len(st.unsent) > 0 {
		select {
		case <-keepAlive:
			return true, ctx.Err()
		default:
			return false, ctx.Err()
		}
	}
	for {
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-keepAlive:
			return true, nil
		case <-changed:
		case <-advanced:
			advanced = st.core.Advanced()
			published := st.core.Published()
			if documentVersion(published) <= st.Document && published.Members == st.members &&
				evacuationsRevision(published) <= st.Evacuations {
				continue
			}
			if st.awaited() {
				return false, nil
			}
		}
		clock.Sleep(ctx, batchDelay)
		return false, ctx.Err()
	}
}

// awaited reports whether the entry instance can't serve before the next update: it has
// no document, or nobody has told it that its document is current.
func (st *stream) awaited() bool {
	return st.Document == 0 || !st.current
}

// InContact reports whether this control instance had, within syncTimeout, everything
// that its leader had committed.
func (s *Server) InContact() bool {
	synced := s.core.Synced()
	return synced > 0 && s.clock.Now().UnixNano()-synced < int64(syncTimeout)
}

// documentVersion returns the version of the document in force, or zero without one.
func documentVersion(s *core.PublishedState) uint64 {
	if s.Document == nil {
		return 0
	}
	return s.Document.Version
}

// evacuationsRevision returns the revision of the evacuations, or zero if there was no order.
func evacuationsRevision(s *core.PublishedState) uint64 {
	if s.Evacuations == nil {
		return 0
	}
	return s.Evacuations.Revision
}

// update sends what the stream hasn't sent yet, or at least the state if a keep-alive
// is due. The state comes last, so that an entry instance that receives Complete has
// everything. It returns a channel that is closed at the next change of the directory.
func (st *stream) update(keepAliveDue bool) (<-chan struct{}, error) {
	now := st.clock.Now().UnixNano()
	current := st.InContact()
	published := st.core.Published()
	if err := st.sendDocument(published, current); err != nil {
		return nil, err
	}
	// While a newer document is under way, an endpoint that the entry instance doesn't know may
	// be in it.
	complete := st.dir.Complete() && len(st.unsent) == 0
	if r := evacuationsRevision(published); r > st.Evacuations && current {
		body, err := cluster.EncodeCompressed(&message.FollowUpdate{Evacuations: published.Evacuations})
		if err != nil {
			return nil, err
		}
		if err := st.send(body); err != nil {
			return nil, err
		}
		st.Evacuations = r
		st.record()
	}
	changed, err := st.sendBackends(now)
	if err != nil {
		return nil, err
	}
	if !keepAliveDue && current == st.current && complete == st.complete && published.Members == st.members {
		return changed, nil
	}
	st.current, st.complete = current, complete
	return changed, st.sendState(published)
}

// sendDocument sends a newer document. One that is large is sent a part at each call, so that
// changes of the directory don't wait for all of it. Once begun it is sent whole, so that frequent
// changes don't keep all of them from arriving.
func (st *stream) sendDocument(published *core.PublishedState, current bool) error {
	if v := documentVersion(published); len(st.unsent) == 0 && v > st.Document && current {
		body, err := st.feed.encodeDocument(published.Document)
		if err != nil {
			return err
		}
		if !st.inParts(body) {
			if err := st.send(body); err != nil {
				return err
			}
			st.recordDocument(v)
			return nil
		}
		st.unsent, st.unsentVersion = body, v
	}
	if len(st.unsent) == 0 {
		return nil
	}
	var err error
	if st.unsent, err = st.sendPart(st.unsent, message.DocumentPart); err == nil && len(st.unsent) == 0 {
		st.recordDocument(st.unsentVersion)
	}
	return err
}

// recordDocument records that the document of a version was sent.
func (st *stream) recordDocument(version uint64) {
	st.Document = version
	st.record()
}

// inParts reports whether an encoded update is sent in parts.
func (st *stream) inParts(body []byte) bool {
	return st.parts && len(body) > maxPart
}

// sendPart sends the next part of an encoded update and returns the rest.
func (st *stream) sendPart(body []byte, of message.PartOf) (rest []byte, err error) {
	n := min(len(body), maxPart)
	part, err := cluster.Encode(&message.FollowUpdate{Part: body[:n], PartOf: of, Last: n == len(body)})
	if err != nil {
		return nil, err
	}
	return body[n:], st.send(part)
}

// sendDirectory sends an encoded update with the directory or its changes.
func (st *stream) sendDirectory(body []byte) (err error) {
	if !st.inParts(body) {
		return st.send(body)
	}
	for len(body) > 0 && err == nil {
		body, err = st.sendPart(body, message.DirectoryPart)
	}
	return err
}

// sendBackends sends all pending changes of the directory. It returns a channel that
// is closed at the next one.
func (st *stream) sendBackends(now int64) (<-chan struct{}, error) {
	for {
		fr, changed, err := st.feed.next(st.revision, now)
		if err != nil || fr == nil {
			return changed, err
		}
		if err := st.sendDirectory(fr.body); err != nil {
			return nil, err
		}
		st.revision = fr.to
	}
}

// sendState sends this instance's own state, and the control instances if they have
// changed.
func (st *stream) sendState(published *core.PublishedState) error {
	u := &message.FollowUpdate{Current: st.current, Complete: st.complete, State: true}
	u.Resume = message.ResumePoint{Process: st.process, Revision: st.revision}
	if published.Members != st.members {
		st.members = published.Members
		u.Peers, u.Passive = peers(published.Members)
	}
	body, err := cluster.EncodeCompressed(u)
	if err != nil {
		return err
	}
	return st.send(body)
}

// peers returns the control instances, and the addresses of those that lend no flows.
func peers(m *quorum.Members) (list []quorum.Peer, passive []string) {
	voters := warmup.Voters(m)
	for _, id := range cluster.SortedKeys(m.Nodes) {
		p := m.Nodes[id]
		list = append(list, p)
		if !slices.ContainsFunc(voters, func(v warmup.Voter) bool { return v.Addr == p.Addr }) {
			passive = append(passive, p.Addr)
		}
	}
	return list, passive
}
