// Package follow tells entry instances what control knows, as a stream of
// changes.
package follow

import (
	"context"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
)

// Timing of the stream.
const (
	// settleTime lets changes that come together travel together.
	settleTime = 10 * time.Millisecond
	// currentSpan is the time since the last word of a leader for which this
	// instance counts as current: a few heartbeats.
	currentSpan = time.Second
)

// KeepAlive is the longest time between two updates.
const KeepAlive = 400 * time.Millisecond

// Server sends updates.
type Server struct {
	core  *core.Core
	dir   *gossip.Directory
	clock catkinrail.Clock
	log   *logs.Logger
}

// New returns a server.
func New(c *core.Core, dir *gossip.Directory, clock catkinrail.Clock, log *logs.Logger) *Server {
	return &Server{core: c, dir: dir, clock: clock, log: log}
}

// position is how far a stream has come.
type position struct {
	document uint64
	revision uint64
	members  *quorum.Members
}

// Serve sends updates until ctx ends or send fails.
func (s *Server) Serve(ctx context.Context, req *control.FollowRequest, send func(*control.FollowUpdate) error) error {
	s.log.Info().Str("entry", req.Name).Str("zone", string(req.Zone)).Uint64("document", req.Document).Msg("entry instance follows")
	pos := position{document: req.Document}
	keepAlive := time.NewTicker(KeepAlive)
	defer keepAlive.Stop()
	for {
		c := s.core
		advanced := c.Advanced()
		u, changed := s.update(c, &pos)
		if err := send(u); err != nil {
			s.log.Info().Str("entry", req.Name).Err(err).Msg("entry instance follows no more")
			return err
		}
		if err := s.wait(ctx, advanced, changed, keepAlive.C, c, &pos); err != nil {
			return nil
		}
	}
}

// wait returns when there may be something to tell. An advance of the log that
// changes nothing for an entry instance is none.
func (s *Server) wait(ctx context.Context, advanced, changed <-chan struct{}, keepAlive <-chan time.Time, c *core.Core, pos *position) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-keepAlive:
			return nil
		case <-changed:
		case <-advanced:
			advanced = c.Advanced()
			snap := c.Snapshot()
			if version(snap) <= pos.document && snap.Members == pos.members {
				continue
			}
		}
		t := time.NewTimer(settleTime)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
		return ctx.Err()
	}
}

func version(s *core.Snapshot) uint64 {
	if s.Document == nil {
		return 0
	}
	return s.Document.Version
}

// update returns what the stream hasn't told yet.
func (s *Server) update(c *core.Core, pos *position) (*control.FollowUpdate, <-chan struct{}) {
	now := s.clock.Now().UnixNano()
	u := &control.FollowUpdate{}
	synced := c.Synced()
	snap := c.Snapshot()
	u.Current = synced > 0 && now-synced < int64(currentSpan)
	if v := version(snap); v > pos.document && u.Current {
		u.Document, pos.document = bare(snap.Document), v
	}
	if snap.Members != pos.members {
		pos.members = snap.Members
		for _, id := range cluster.SortedKeys(snap.Members.Nodes) {
			u.Peers = append(u.Peers, snap.Members.Nodes[id])
		}
	}
	views, at, changed := s.dir.Since(pos.revision)
	for i := range views {
		u.Backends = append(u.Backends, control.FollowedBackend{Incarnation: views[i].Incarnation, Silent: views[i].Silent})
	}
	pos.revision = at
	u.Complete = s.dir.Complete()
	return u, changed
}

// bare returns the document without its source, which only operators read.
func bare(d *catkinrail.Document) *catkinrail.Document {
	c := *d
	c.Source = nil
	return &c
}
