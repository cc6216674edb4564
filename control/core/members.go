package core

import (
	"context"
	"errors"
	"time"

	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
)

// ErrWait means that a change of members must be asked for again later.
var ErrWait = errors.New("try again later")

// promoteGap is the number of entries by which a learner may lag behind when it
// gets its vote.
const promoteGap = 16

// Greeting says who this instance is.
func (c *Core) Greeting(ctx context.Context) (*message.HelloReply, error) {
	g := &message.HelloReply{}
	err := c.do(ctx, func() {
		*g = message.HelloReply{Node: c.node.ID(), Name: c.cfg.Name, LastIndex: c.node.LastIndex()}
	})
	return g, err
}

// memberTimeout is the time without a leader's message after which an instance
// no longer counts on being a member: it may have been removed meanwhile. It
// exceeds several elections.
const memberTimeout = 2 * time.Second

// Joined reports whether this instance has a vote, is known by the given name and
// addresses, and hears of a leader.
func (c *Core) Joined(self quorum.Peer) bool {
	s := c.Snapshot()
	return s.Members.Voter(s.Node) && s.Members.Nodes[s.Node] == self && c.now()-c.Synced() < int64(memberTimeout)
}

// Join takes one step towards a vote for an instance with a new disk: it becomes
// a learner, an earlier member of its name or address is removed, and once it
// has caught up it gets its vote. The reply names the members, which the
// instance needs to answer them, and the leader, which may be none of the seeds;
// an instance that doesn't lead answers with these alone.
func (c *Core) Join(ctx context.Context, req *message.JoinRequest) (*message.JoinReply, error) {
	var answer joinAnswer
	err := c.do(ctx, func() { answer = c.answerJoin(req) })
	return &answer.JoinReply, errors.Join(err, answer.err)
}

// joinAnswer is the answer to a request to join.
type joinAnswer struct {
	message.JoinReply
	err error
}

func (c *Core) answerJoin(req *message.JoinRequest) joinAnswer {
	a := joinAnswer{JoinReply: message.JoinReply{RetryLater: true, Leader: c.node.LeaderID()}}
	if c.leader.active {
		a.err = c.joinStep(req)
		a.RetryLater = errors.Is(a.err, ErrWait)
		if a.RetryLater {
			a.err = nil
		}
	}
	a.Members = *c.node.Members()
	return a
}

func (c *Core) joinStep(req *message.JoinRequest) error {
	m := c.node.Members()
	if m.Voter(req.Node) && m.Nodes[req.Node] == req.Peer {
		return nil
	}
	next := m.Clone()
	switch {
	case m.Voter(req.Node):
		next.Nodes[req.Node] = req.Peer
	case !m.Learners[req.Node]:
		next.Nodes[req.Node] = req.Peer
		next.Learners[req.Node] = true
	case namesake(m, req) != 0:
		old := namesake(m, req)
		if m.Voter(old) && c.node.MatchIndex(req.Node)+promoteGap < c.node.LastIndex() {
			return ErrWait
		}
		delete(next.Nodes, old)
		delete(next.Learners, old)
	default:
		if c.node.MatchIndex(req.Node)+promoteGap < c.node.LastIndex() {
			return ErrWait
		}
		delete(next.Learners, req.Node)
	}
	if err := c.node.ChangeMembers(next); err != nil && !errors.Is(err, quorum.ErrMembersChange) {
		return err
	}
	return ErrWait
}

// namesake returns another member of the joining instance's name or address, or
// zero.
func namesake(m *quorum.Members, req *message.JoinRequest) quorum.NodeID {
	for id, p := range m.Nodes {
		if id != req.Node && (p.Name == req.Peer.Name || p.Addr == req.Peer.Addr) {
			return id
		}
	}
	return 0
}
