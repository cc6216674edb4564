package core

import (
	"context"
	"errors"
	"time"

	"catkinrail.example/catkinrail/coordination/membership"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
)

// ErrRetryLater means that a join needs further steps: the request must be sent
// again later.
var ErrRetryLater = errors.New("retry later")

// Hello returns the identity of this instance and the index of its last entry.
func (c *Core) Hello(ctx context.Context) (*message.HelloReply, error) {
	reply := &message.HelloReply{}
	if err := c.do(ctx, func() {
		*reply = message.HelloReply{Node: c.node.ID(), Name: c.cfg.Name, LastIndex: c.node.LastIndex()}
	}); err != nil {
		return nil, err
	}
	return reply, nil
}

// memberTimeout is the time without being in sync with a leader after which an
// instance no longer relies on being a member: it may have been removed meanwhile.
// It is longer than several elections.
const memberTimeout = 2 * time.Second

// Joined reports whether this instance is a voter, or a learner that stands by since it is
// expendable, is known by the given name and addresses, and was in sync with a leader within
// memberTimeout.
func (c *Core) Joined(self quorum.Peer) bool {
	s := c.Published()
	known, member := s.Members.Nodes[s.Node]
	// A leader of an older build doesn't record these.
	known.Features, known.Expendable = self.Features, self.Expendable
	joined := s.Members.Voter(s.Node) && !s.Members.Stopping[s.Node] || member && self.Expendable
	return joined && known == self && c.InContact()
}

// InContact reports whether this instance was in sync with a leader within memberTimeout.
func (c *Core) InContact() bool {
	return c.now()-c.Synced() < int64(memberTimeout)
}

// Announced reports whether this instance's members hold its features. They may lack them although
// the leader has them: builds that don't know features drop them from the entries that they store,
// and a later build reads these entries.
func (c *Core) Announced(self quorum.Peer) bool {
	s := c.Published()
	return s.Members.Nodes[s.Node].Features == self.Features
}

// ContinueStop takes the next step of handing this instance's vote over, if one is due, and returns s with what
// the instance knows.
func (c *Core) ContinueStop(ctx context.Context, s membership.Stop) (membership.Stop, error) {
	var known membership.Stop
	err := c.do(ctx, func() {
		heir := c.node.Heir()
		next := s
		next.SinceLeader = c.node.SinceLeader()
		if next.Next() == membership.HandOver {
			c.node.HandOver(c.cfg.Membership.Tolerated)
		}
		next.HandedOver = c.node.HandedOver()
		if h := c.node.Heir(); h != heir {
			c.cfg.Log.Info().Str("heir", nameOf(c.node.Members(), h)).Uint64("term", c.node.Term()).Msg("handing the vote over")
		}
		known = next
	})
	if err != nil {
		return s, err
	}
	return known, nil
}

// Join takes one step towards a vote for an instance, see membership.Policy. The
// reply holds the members, which the instance needs in order to answer their
// messages, and the leader, which may be none of the instance's seeds. An instance
// that doesn't lead replies with these alone.
func (c *Core) Join(ctx context.Context, req *message.JoinRequest) (*message.JoinReply, error) {
	var answer joinResult
	if err := c.do(ctx, func() { answer = c.handleJoin(req) }); err != nil {
		return nil, err
	}
	return &answer.JoinReply, answer.err
}

// joinResult is the reply to a request to join, or its error.
type joinResult struct {
	message.JoinReply
	err error
}

func (c *Core) handleJoin(req *message.JoinRequest) joinResult {
	a := joinResult{JoinReply: message.JoinReply{RetryLater: true, Leader: c.node.LeaderID()}}
	if c.leader.active {
		a.err = c.joinStep(req)
		a.RetryLater = errors.Is(a.err, ErrRetryLater)
		if a.RetryLater {
			a.err = nil
		}
	}
	a.Members = *c.node.Members()
	return a
}

// joinStep takes the next step of a request. It returns nil if nothing is left to do,
// and ErrRetryLater if the request must be sent again.
func (c *Core) joinStep(req *message.JoinRequest) error {
	var next *quorum.Members
	var done bool
	if req.Stopping {
		next, done = c.cfg.Membership.Leave(c.node, req.Node)
	} else {
		next, done = c.cfg.Membership.Join(c.node, req.Node, req.Peer)
	}
	if done {
		return nil
	}
	if next == nil {
		return ErrRetryLater
	}
	if err := c.node.ChangeMembers(next); err != nil && !errors.Is(err, quorum.ErrMembersChange) {
		return err
	}
	return ErrRetryLater
}

// holdPending reports whether pending changes wait for a decision about a silent voter, and logs when they begin to.
func (c *Core) holdPending() bool {
	hold := len(c.pending) > 0 && c.cfg.Membership.Undecided(c.node)
	if hold && !c.leader.holding {
		c.cfg.Log.Info().Int("pending", len(c.pending)).Uint64("term", c.node.Term()).Dur("since-election-ms", c.node.SinceElection()).
			Msg("changes wait until a voter's silence is confirmed")
	}
	c.leader.holding = hold
	return hold
}

// adjustVoters takes, on the leader, a silent member's place or an expendable instance's vote.
// An instance that comes back joins again.
func (c *Core) adjustVoters() {
	if !c.leader.active {
		return
	}
	if next := membership.MarkHeld(c.node); next != nil {
		changes := memberChanges(c.node.Members(), next)
		err := c.node.ChangeMembers(next)
		if !errors.Is(err, quorum.ErrMembersChange) {
			c.cfg.Log.Info().Err(err).Strs("changes", changes).Msg("marking members that handed their votes over")
		}
		return
	}
	message := "removing silent member"
	id, next := c.cfg.Membership.Evict(c.node)
	if next == nil {
		message = "taking vote of expendable member"
		id, next = c.cfg.Membership.Demote(c.node)
	}
	if next == nil {
		return
	}
	silent, name := c.node.SinceLastContact(id), c.node.Members().Nodes[id].Name
	err := c.node.ChangeMembers(next)
	if errors.Is(err, quorum.ErrMembersChange) {
		return
	}
	c.cfg.Log.Info().Str("member", name).Uint64("node", uint64(id)).
		Int64("silent-ms", silent/1e6).Err(err).Msg(message)
}
