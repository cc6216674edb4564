package core

import (
	"context"
	"slices"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/cluster"
)

// PublishedState is the part of a core's state that can be read without waiting for its
// goroutine.
type PublishedState struct {
	// Document is the document at the applied index, nil before the first.
	Document *catkinrail.Document
	// Evacuations are those at the applied index, nil before the first order.
	Evacuations *catkinrail.Evacuations
	// Applied is the index of the last entry that was applied.
	Applied uint64
	Members *quorum.Members
	// Node is this instance.
	Node quorum.NodeID
	// Leader is the leader of the term, or zero if it isn't known.
	Leader quorum.NodeID
	Term   uint64
}

// publish makes the current state available to Published and Synced.
func (c *Core) publish() {
	defer c.answerApplied()
	// Synced must not run ahead of the published state, so its time is stored after it.
	defer c.synced.Store(c.node.Synced())
	old := c.published.Load()
	if old != nil && old.Applied == c.node.AppliedIndex() && old.Leader == c.node.LeaderID() &&
		old.Term == c.node.Term() && c.publishedMembersIndex == c.node.MembersIndex() {
		return
	}
	c.publishedMembersIndex = c.node.MembersIndex()
	s := &PublishedState{
		Document: c.state.Document, Evacuations: c.state.Evacuations, Applied: c.node.AppliedIndex(), Members: c.node.Members(),
		Node: c.node.ID(), Leader: c.node.LeaderID(), Term: c.node.Term(),
	}
	c.published.Store(s)
	if old != nil {
		c.logChange(old, s)
	} else {
		c.logMembers()
	}
	close(*c.advanced.Swap(newSignal()))
}

// logChange logs a change of the leader, the document, the evacuations or the members.
func (c *Core) logChange(old, s *PublishedState) {
	if old.Leader != s.Leader || old.Term != s.Term {
		c.cfg.Log.Info().Uint64("term", s.Term).Str("leader", s.Members.Nodes[s.Leader].Name).
			Uint64("applied", s.Applied).Msg("leader changed")
	}
	if old.Document != s.Document && s.Document != nil {
		c.cfg.Log.Info().Uint64("version", s.Document.Version).Uint64("applied", s.Applied).
			Int("routes", len(s.Document.Routes)).Msg("document in force")
	}
	if old.Evacuations != s.Evacuations && s.Evacuations != nil {
		c.cfg.Log.Info().Uint64("revision", s.Evacuations.Revision).Uint64("applied", s.Applied).
			Interface("zones", s.Evacuations.Zones).Msg("evacuations in force")
	}
	if list := memberChanges(old.Members, s.Members); len(list) > 0 {
		c.cfg.Log.Info().Strs("changes", list).Uint64("index", c.publishedMembersIndex).
			Int("voters", s.Members.Voters()).Int("members", len(s.Members.Nodes)).
			Uint64("applied", s.Applied).Msg("members changed")
	}
}

// logMembers logs the members that the instance has at its start.
func (c *Core) logMembers() {
	r := c.contacts.report(c.node.Members(), c.node.ID(), 0, c.now())
	c.cfg.Log.Info().Str("role", r.Role).Interface("voters", r.Voters).Strs("learners", r.Learners).
		Uint64("index", c.publishedMembersIndex).Msg("members at the start")
}

func newSignal() *chan struct{} {
	ch := make(chan struct{})
	return &ch
}

// Published returns the state that was published last. It never blocks, even while the
// core waits for its disk.
func (c *Core) Published() *PublishedState {
	return c.published.Load()
}

// Advanced returns a channel that is closed when the next state is published.
func (c *Core) Advanced() <-chan struct{} {
	return *c.advanced.Load()
}

// Synced returns the time at which this instance last had everything that its
// leader had committed, in nanoseconds of the clock; zero if there was no such
// time since its start.
func (c *Core) Synced() int64 {
	return c.synced.Load()
}

// PutDocument proposes a document on the leader and waits until it is applied. A
// document that is not newer than the one in force changes nothing.
func (c *Core) PutDocument(ctx context.Context, d *catkinrail.Document) error {
	_, err := c.Submit(ctx, putDocument(d))
	return err
}

// putDocument returns the evaluate function of a proposal that puts the document.
func putDocument(d *catkinrail.Document) evaluateFunc {
	return func(s *cluster.State) ([]cluster.Event, *cluster.Answer, error) {
		if s.Document != nil && s.Document.Version >= d.Version {
			return nil, nil, nil
		}
		return []cluster.Event{{DocumentPut: d}}, nil, nil
	}
}

// pendingRead is a read that waits for a majority to confirm the leader.
type pendingRead struct {
	// mark and term identify the read to the node.
	mark int64
	term uint64
	// finish receives nil once the leader is confirmed, or an error.
	finish func(error)
}

// ReadIndex returns, on the leader, the index that must be applied before a read
// is answered. It waits for answers from a majority, which show that no later
// leader had been elected when the call began.
func (c *Core) ReadIndex(ctx context.Context) (uint64, error) {
	done := make(chan error, 1)
	var index uint64
	if err := c.do(ctx, func() { index = c.beginRead(done) }); err != nil {
		return 0, err
	}
	select {
	case err := <-done:
		return index, err
	case <-c.stopped:
		return 0, ErrNotLeader
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// beginRead begins a read and returns the index that must be applied before it is
// answered. done receives nil once a majority has confirmed the leader, or an error
// if this instance doesn't lead.
func (c *Core) beginRead(done chan error) uint64 {
	return c.confirmLeader(func(err error) { done <- err })
}

// confirmLeader calls finish with nil once a majority has confirmed the leader, or with an
// error if this instance doesn't lead. It returns the index that is committed now.
func (c *Core) confirmLeader(finish func(error)) uint64 {
	mark, index, err := c.node.BeginRead(c.now())
	if err != nil {
		finish(c.leaderError())
		return 0
	}
	c.reads = append(c.reads, pendingRead{mark: mark, term: c.node.Term(), finish: finish})
	return index
}

// confirmReads finishes the reads that a majority has confirmed, and fails those
// that began before this instance lost the lead.
func (c *Core) confirmReads() {
	c.reads = slices.DeleteFunc(c.reads, func(r pendingRead) bool {
		switch {
		case c.node.Role() != quorum.Leader || c.node.Term() != r.term:
			r.finish(c.leaderError())
		case c.node.ReadConfirmed(r.mark):
			r.finish(nil)
		default:
			return false
		}
		return true
	})
}
