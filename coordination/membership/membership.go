// Package membership decides which control instances are voters of the quorum, as
// instances are added, lose their disks, are replaced, and fall silent for a while or for
// good. It proposes one change at a time, from what the leader's node knows.
//
// While n voters are in force, an acknowledgement stands for a majority of them, and any
// majority that is left elects a leader that has it. So the tolerated number of disks may be
// lost as long as no vote belongs to an instance that will never be back. A vote of such an
// instance passes to its successor in one step; silence alone lowers the number of voters
// only as far as the tolerated number of lost disks allows.
package membership

import (
	"slices"
	"time"

	"catkinrail.example/catkinrail/coordination/quorum"
)

// Limits of joining.
const (
	// maxPromotionLag is the number of entries by which a learner may lag behind when it
	// becomes a voter.
	maxPromotionLag = 16
	// replaceAfter is the silence after which a voter's place passes to a new instance. It is
	// longer than a restart. With an election before and the time to catch up after it, it is
	// shorter than the 4 s that a successor has on the platform until it counts.
	replaceAfter = 3 * time.Second
	// respondWithin is the age of a voter's last answer up to which it isn't silent: several
	// heartbeats.
	respondWithin = 500 * time.Millisecond
)

// Policy holds the limits of the decisions.
type Policy struct {
	// Tolerated is the number of voters that may lose their disks at the same time.
	Tolerated int
	// EvictAfter is the time without an answer after which a member may be removed; zero
	// disables removal, also of an instance that stops.
	EvictAfter time.Duration
}

// minVoters returns the number of voters below which losing the tolerated number of disks
// leaves no majority. Silence never lowers the number of voters below it.
func (p Policy) minVoters() int {
	return 2*p.Tolerated + 1
}

// Join returns the members to propose as the next step towards a vote for an instance, or
// nil if none can be proposed yet. An instance is added as a learner and becomes a voter once
// it has caught up: in place of an earlier member with its name or address, or in place of a
// voter that has been silent for replaceAfter, or else as a further voter. A voter whose name or
// addresses changed is updated. done is set if nothing is left to do.
func (p Policy) Join(n *quorum.Node, id quorum.NodeID, peer quorum.Peer) (next *quorum.Members, done bool) {
	m := n.Members()
	switch {
	case m.Voter(id) && m.Nodes[id] == peer:
		return nil, true
	case m.Voter(id):
		next = m.Clone()
		next.Nodes[id] = peer
		return next, false
	case !m.Learners[id]:
		next = m.Clone()
		next.Nodes[id] = peer
		next.Learners[id] = true
		return next, false
	}
	old := predecessor(m, id, peer)
	switch {
	case m.Learners[old]:
		return without(m, old), false
	case !caughtUp(n, id):
		return nil, false
	case old == 0:
		var wait bool
		if old, wait = silentVoter(n, m, id, peer.Zone); wait {
			return nil, false
		}
	}
	next = without(m, old)
	delete(next.Learners, id)
	return next, false
}

func caughtUp(n *quorum.Node, id quorum.NodeID) bool {
	return n.MatchIndex(id)+maxPromotionLag >= n.LastIndex()
}

// predecessor returns another member with the instance's name or address, or zero if there
// is none.
func predecessor(m *quorum.Members, id quorum.NodeID, peer quorum.Peer) quorum.NodeID {
	for other, p := range m.Nodes {
		if other != id && (p.Name == peer.Name || p.Addr == peer.Addr) {
			return other
		}
	}
	return 0
}

// silentVoter returns the voter whose place passes to a new instance in the given zone, or zero
// if there is none. It fell silent before the instance was added, and has been silent for
// replaceAfter. Of several it is one in the zone, if there is one, and the one that fell silent
// last, since a successor starts soon after the removal. wait is set if the decision must wait
// until it is known whether a voter stays silent.
func silentVoter(n *quorum.Node, m *quorum.Members, id quorum.NodeID, zone string) (old quorum.NodeID, wait bool) {
	for _, other := range sortedNodes(m) {
		silence := n.SinceLastContact(other)
		if !m.Voter(other) || n.Responding(other, respondWithin) || silence < n.SinceAdded(id) {
			continue
		}
		if silence < int64(replaceAfter) {
			return 0, true
		}
		better := m.Nodes[other].Zone == zone
		if better == (m.Nodes[old].Zone == zone) {
			better = silence < n.SinceLastContact(old)
		}
		if old == 0 || better {
			old = other
		}
	}
	return old, false
}

// Leave returns the members without an instance that is about to stop, or nil if it keeps its
// vote. It gives its vote up if the quorum then survives the loss of one more instance, which
// is so for an even number of voters, and if more than minVoters are left with theirs. It
// joins again if it comes back.
func (p Policy) Leave(n *quorum.Node, id quorum.NodeID) *quorum.Members {
	m := n.Members()
	voters := m.Voters()
	if p.EvictAfter <= 0 || !m.Voter(id) || voters%2 != 0 || voters <= p.minVoters() {
		return nil
	}
	return without(m, id)
}

// Evict returns a member to remove because it has been silent, and the members without it,
// or nil if there is none. A voter is removed only if, counting silent voters as lost, the
// quorum would not survive the loss of the tolerated number of disks, and only while there
// are more than minVoters. So an acknowledgement always stands for more copies than disks
// may be lost, however long an outage lasts, and instances that never come back don't lower
// the tolerance for good.
func (p Policy) Evict(n *quorum.Node) (id quorum.NodeID, next *quorum.Members) {
	if p.EvictAfter <= 0 {
		return 0, nil
	}
	m := n.Members()
	var silent []quorum.NodeID
	for _, id := range sortedNodes(m) {
		switch {
		case id == n.ID() || n.SinceLastContact(id) < int64(p.EvictAfter):
		case m.Voter(id):
			silent = append(silent, id)
		default:
			return id, without(m, id)
		}
	}
	voters := m.Voters()
	tolerant := voters-len(silent)-p.Tolerated > voters/2
	if len(silent) == 0 || tolerant || voters <= p.minVoters() {
		return 0, nil
	}
	return silent[0], without(m, silent[0])
}

func without(m *quorum.Members, id quorum.NodeID) *quorum.Members {
	next := m.Clone()
	delete(next.Nodes, id)
	delete(next.Learners, id)
	return next
}

func sortedNodes(m *quorum.Members) []quorum.NodeID {
	list := make([]quorum.NodeID, 0, len(m.Nodes))
	for id := range m.Nodes {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
