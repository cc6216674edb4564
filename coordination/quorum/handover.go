package quorum

import (
	"maps"
	"slices"
	"time"
)

// A node that stops while no leader is known can hand its vote to another voter, the heir. The majorities
// stay the same: the heir answers for both identities, to candidates and to the leader. The node offers its
// vote to all voters, chooses one of those that would take it, makes durable that it will never answer under
// its identity again, and only then hands the vote over. No vote is given twice in a term, since one heir is
// named at most, and the heir continues with the term and the vote of both. An heir needs a log at least as
// up to date as the other one, so what the node acknowledged stays in every log that the heir votes for.
//
// A lease of the leader may rely on a node that has handed its vote over, so this needs Timing.NoLease.

// Limits of handing a vote over.
const (
	// offerTime is the time for which answers to an offer are collected: a few round trips between
	// availability zones.
	offerTime = 200 * time.Millisecond
	// reservationTime is the time for which an answer to an offer keeps a place for its sender.
	reservationTime = 2 * offerTime
)

// Transfer describes the votes that a node offers or hands over.
type Transfer struct {
	// Term and Vote are those of the node. Message.Term is zero in these messages, since builds that
	// don't know them would adopt it.
	Term uint64 `cbor:"1,keyasint"`
	Vote NodeID `cbor:"2,keyasint,omitempty"`
	// Votes are the identities that the node answers for, its own among them.
	Votes []NodeID `cbor:"3,keyasint"`
	// Tolerated is the number of disks that may be lost.
	Tolerated int `cbor:"4,keyasint,omitempty"`
	// Age is the time, in nanoseconds, since the start of the node that answers an offer.
	Age int64 `cbor:"5,keyasint,omitempty"`
}

// offer is what a node that wants to hand its vote over knows.
type offer struct {
	tolerated int
	// since is the time of the first offer.
	since int64
	// answers holds the latest answers of those that would take the vote.
	answers map[NodeID]Transfer
	// accepted is set once the heir has stored the vote.
	accepted bool
}

// reservation keeps a place for votes that were offered.
type reservation struct {
	votes int
	until int64
}

// MaxVotes returns the number of votes that one disk may carry: with the tolerated number of such disks lost, a
// majority must be left. It is at least one, that of the disk's own node.
func (m *Members) MaxVotes(tolerated int) int {
	if tolerated == 0 {
		return m.Voters()
	}
	return max(1, (m.Voters()-1)/(2*tolerated))
}

// HandOver takes a step towards handing this node's vote to another voter, of which none may then carry
// more than MaxVotes votes. It must be called again, at an interval, until HandedOver returns true. A node
// whose removal may not be committed still has its vote.
func (n *Node) HandOver(tolerated int) {
	if !n.timing.NoLease || n.role == Leader || n.hard.Heir == 0 && !n.electable() {
		return
	}
	if n.offer == nil {
		n.offer = &offer{since: n.now, answers: map[NodeID]Transfer{}}
	}
	n.offer.tolerated = tolerated
	switch {
	case n.offer.accepted:
	case n.hard.Heir != 0:
		n.sendTransfer(Handover, n.hard.Heir)
	case n.now-n.offer.since >= int64(offerTime) && len(n.offer.answers) > 0:
		n.becomeFollower(n.hard.Term, 0)
		n.hard.Heir = n.offer.heir()
		n.sendTransfer(Handover, n.hard.Heir)
	default:
		for _, id := range n.members.sorted() {
			if n.members.Voter(id) && !n.carries(id) {
				n.sendTransfer(Offer, id)
			}
		}
	}
}

// HandedOver reports whether another node has stored this node's vote.
func (n *Node) HandedOver() bool {
	return n.offer != nil && n.offer.accepted
}

// Heir returns the node that answers for this one, or zero.
func (n *Node) Heir() NodeID { return n.hard.Heir }

// Held returns the identities that this node answers for beside its own.
func (n *Node) Held() []NodeID { return slices.Clone(n.hard.Held) }

// heir returns the voter with the fewest votes and, among equal ones, the one that was started last: it is
// the least likely to be exchanged next.
func (o *offer) heir() NodeID {
	return slices.MinFunc(slices.Sorted(maps.Keys(o.answers)), func(a, b NodeID) int {
		ta, tb := o.answers[a], o.answers[b]
		if d := len(ta.Votes) - len(tb.Votes); d != 0 {
			return d
		}
		return int(min(1, max(-1, ta.Age-tb.Age)))
	})
}

// carries reports whether this node answers for the identity.
func (n *Node) carries(id NodeID) bool {
	return id == n.id || slices.Contains(n.hard.Held, id)
}

func (n *Node) sendTransfer(kind Kind, to NodeID) {
	logTerm, _ := n.log.term(n.log.last())
	n.send(Message{
		Kind: kind, To: to, Index: n.log.last(), LogTerm: logTerm,
		Transfer: &Transfer{Term: n.hard.Term, Vote: n.hard.Vote, Votes: n.ownVotes(), Tolerated: n.offer.tolerated},
	})
}

// ownVotes returns the identities that this node answers for.
func (n *Node) ownVotes() []NodeID {
	return append([]NodeID{n.id}, n.hard.Held...)
}

// mayInherit reports whether this node may answer for the sender of an offer or a handover: its log must
// cover what the sender acknowledged. A leader needs no other's vote, and removes the sender instead.
func (n *Node) mayInherit(m *Message) bool {
	last, _ := n.log.term(n.log.last())
	covered := last > m.LogTerm || last == m.LogTerm && n.log.last() >= m.Index
	return n.timing.NoLease && n.role != Leader && n.members.Voter(n.id) && covered
}

// handleTransfer handles offers and handovers of votes, and reports whether the message is one.
func (n *Node) handleTransfer(m *Message) bool {
	switch {
	case m.Kind == HandoverAnswer:
		n.handleHandoverAnswer(m)
	case m.Kind != Offer && m.Kind != OfferAnswer && m.Kind != Handover:
		return false
	case m.Transfer == nil:
		// The sender is no build that knows the kind.
	case m.Kind == Offer:
		n.handleOffer(m)
	case m.Kind == OfferAnswer:
		n.handleOfferAnswer(m)
	default:
		n.handleHandover(m)
	}
	return true
}

// handleOffer answers whether this node would take the votes, and keeps a place for them for a while.
func (n *Node) handleOffer(m *Message) {
	votes := len(n.ownVotes())
	for id, r := range n.reservations {
		switch {
		case n.now >= r.until:
			delete(n.reservations, id)
		case id != m.From:
			votes += r.votes
		}
	}
	accept := n.offer == nil && n.mayInherit(m) && votes+len(m.Transfer.Votes) <= n.members.MaxVotes(m.Transfer.Tolerated)
	if accept {
		n.reservations[m.From] = reservation{votes: len(m.Transfer.Votes), until: n.now + int64(reservationTime)}
	}
	n.send(Message{
		Kind: OfferAnswer, To: m.From, Reject: !accept,
		Transfer: &Transfer{Votes: n.ownVotes(), Age: n.now - n.startedAt},
	})
}

func (n *Node) handleOfferAnswer(m *Message) {
	switch {
	case n.offer == nil || n.hard.Heir != 0:
	case m.Reject:
		delete(n.offer.answers, m.From)
	default:
		n.offer.answers[m.From] = *m.Transfer
	}
}

// handleHandover takes over votes. Their number is no reason to refuse: the sender can't name another
// heir any more, and without one its votes would be lost whatever happens to this node's disk.
func (n *Node) handleHandover(m *Message) {
	if !n.carries(m.From) {
		if !n.mayInherit(m) {
			return
		}
		n.inherit(m.Transfer)
	}
	delete(n.reservations, m.From)
	n.send(Message{Kind: HandoverAnswer, To: m.From})
}

// inherit makes this node answer for the votes from now on, in a term in which it can't give any of them to
// a second candidate.
func (n *Node) inherit(t *Transfer) {
	switch {
	case t.Term > n.hard.Term:
		n.becomeFollower(t.Term, 0)
		n.hard.Vote = t.Vote
	case t.Term < n.hard.Term || t.Vote == 0 || t.Vote == n.hard.Vote:
	case n.hard.Vote == 0:
		n.hard.Vote = t.Vote
	default:
		n.becomeFollower(n.hard.Term+1, 0)
	}
	held := slices.Clone(n.hard.Held)
	for _, id := range t.Votes {
		if !n.carries(id) {
			held = append(held, id)
		}
	}
	slices.Sort(held)
	n.hard.Held = held
}

func (n *Node) handleHandoverAnswer(m *Message) {
	if n.offer != nil && m.From == n.hard.Heir {
		n.offer.accepted = true
	}
}

// releaseHeld drops the identities that are no members any more.
func (n *Node) releaseHeld() {
	if len(n.hard.Held) == 0 || n.membersIndex > n.log.commit {
		return
	}
	n.hard.Held = slices.DeleteFunc(slices.Clone(n.hard.Held), func(id NodeID) bool {
		_, ok := n.members.Nodes[id]
		return !ok
	})
}

// Holder returns, on the leader, the node that answers for the identity, or zero if that hasn't handed its vote
// over, as far as this node knows.
func (n *Node) Holder(id NodeID) NodeID {
	if id != n.id && n.carries(id) {
		return n.id
	}
	if p := n.progress[id]; p != nil {
		return p.heldBy
	}
	return 0
}
