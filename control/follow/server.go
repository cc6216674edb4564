// Package follow tells entry instances what control knows, as a stream of
// changes.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/clock"
)

// Timing of the stream.
const (
	// settleTime lets changes that come together travel together: a hundredth of
	// the usual bound on a draining server.
	settleTime = 30 * time.Millisecond
	// currentSpan is the time since the last word of a leader for which this
	// instance counts as current: a few heartbeats.
	currentSpan = time.Second
	// keepAlive is the longest time between two updates.
	keepAlive = 400 * time.Millisecond
)

// Server sends updates.
type Server struct {
	core  *core.Core
	dir   *gossip.Directory
	feed  *feed
	clock catkinrail.Clock
	log   *logs.Logger
	// process tells this process from earlier ones at the same address.
	process uint64

	mu      sync.Mutex
	streams map[*stream]Follower
}

// New returns a server.
func New(c *core.Core, dir *gossip.Directory, clock catkinrail.Clock, log *logs.Logger) *Server {
	return &Server{core: c, dir: dir, feed: newFeed(dir), clock: clock, log: log, process: rand.Uint64(), streams: map[*stream]Follower{}}
}

// stream is what one entry instance has been told.
type stream struct {
	*Server
	Follower
	send     func(body []byte) error
	revision uint64
	members  *quorum.Members
	current  bool
	complete bool
}

// Serve sends updates until ctx ends or send fails.
func (s *Server) Serve(ctx context.Context, req *message.FollowRequest, send func(body []byte) error) error {
	x := &stream{
		Server: s, send: send, revision: s.resume(req.Resume),
		Follower: Follower{Name: req.Name, Zone: req.Zone, Document: req.Document, Began: s.clock.Now()},
	}
	s.log.Info().Str("entry", req.Name).Str("zone", string(req.Zone)).Uint64("document", req.Document).
		Uint64("revision", x.revision).Msg("entry instance follows")
	x.note()
	defer x.end()
	if err := x.hello(); err != nil {
		return err
	}
	beat := time.NewTicker(keepAlive)
	defer beat.Stop()
	due := true
	for {
		advanced := s.core.Advanced()
		changed, err := x.update(due)
		if err != nil {
			s.log.Info().Str("entry", req.Name).Err(err).Msg("entry instance follows no more")
			return err
		}
		if due, err = x.wait(ctx, advanced, changed, beat.C); err != nil {
			return nil
		}
	}
}

// hello sends an empty update, so that the entry instance soon knows that someone is
// there, however long the first update takes on its link.
func (x *stream) hello() error {
	body, err := cluster.EncodeCompressed(&message.FollowUpdate{})
	if err != nil {
		return err
	}
	return x.send(body)
}

// resume returns the revision from which a stream goes on; zero for the beginning.
func (s *Server) resume(p message.ResumePoint) uint64 {
	if p.Process != s.process {
		return 0
	}
	return p.Revision
}

// wait returns when there may be something to tell, and whether a sign of life is
// due. An advance of the log that changes nothing for an entry instance is none.
func (x *stream) wait(ctx context.Context, advanced, changed <-chan struct{}, beat <-chan time.Time) (due bool, err error) {
	for {
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-beat:
			return true, nil
		case <-changed:
		case <-advanced:
			advanced = x.core.Advanced()
			snap := x.core.Snapshot()
			if version(snap) <= x.Document && snap.Members == x.members {
				continue
			}
		}
		clock.Sleep(ctx, settleTime)
		return false, ctx.Err()
	}
}

// InTouch reports whether this control instance knows all that its leader has
// committed.
func (s *Server) InTouch() bool {
	synced := s.core.Synced()
	return synced > 0 && s.clock.Now().UnixNano()-synced < int64(currentSpan)
}

func version(s *core.Snapshot) uint64 {
	if s.Document == nil {
		return 0
	}
	return s.Document.Version
}

// update tells what the stream hasn't told yet: first what is known, then the
// sender's own state, so that an entry instance that reads that it is complete
// has it all.
func (x *stream) update(due bool) (<-chan struct{}, error) {
	now := x.clock.Now().UnixNano()
	current := x.InTouch()
	snap := x.core.Snapshot()
	complete := x.dir.Complete()
	if v := version(snap); v > x.Document && current {
		body, err := x.feed.encodeDocument(snap.Document)
		if err != nil {
			return nil, err
		}
		if err := x.send(body); err != nil {
			return nil, err
		}
		x.Document = v
		x.note()
	}
	changed, err := x.sendBackends(now)
	if err != nil {
		return nil, err
	}
	if !due && current == x.current && complete == x.complete && snap.Members == x.members {
		return changed, nil
	}
	x.current, x.complete = current, complete
	return changed, x.sendState(snap)
}

// sendBackends sends the changes of the directory, up to the latest.
func (x *stream) sendBackends(now int64) (<-chan struct{}, error) {
	for {
		fr, changed, err := x.feed.next(x.revision, now)
		if err != nil || fr == nil {
			return changed, err
		}
		if err := x.send(fr.body); err != nil {
			return nil, err
		}
		x.revision = fr.to
	}
}

// sendState sends the sender's own state.
func (x *stream) sendState(snap *core.Snapshot) error {
	u := &message.FollowUpdate{Current: x.current, Complete: x.complete, State: true}
	u.Resume = message.ResumePoint{Process: x.process, Revision: x.revision}
	if snap.Members != x.members {
		x.members = snap.Members
		for _, id := range cluster.SortedKeys(snap.Members.Nodes) {
			u.Peers = append(u.Peers, snap.Members.Nodes[id])
		}
	}
	body, err := cluster.EncodeCompressed(u)
	if err != nil {
		return err
	}
	return x.send(body)
}
