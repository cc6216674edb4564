package membership

import "catkinrail.example/catkinrail/coordination/quorum"

// Leave returns the members to propose as the next step of an instance that is told to stop, or
// nil if none can be proposed yet. It gives up its vote if enough others are left and a majority of them
// answers, or passes it to a learner, if need be to one that is silent but may be back with its disk.
// Otherwise, or while it answers for others, it is marked, so that the next learner takes its place. It joins again
// if it comes back. done is set once the outcome is committed and nothing is left to wait for, such
// as a voter that may be silent for good, or a learner that may take a place.
func (p Policy) Leave(n *quorum.Node, id quorum.NodeID) (next *quorum.Members, done bool) {
	if p.EvictAfter <= 0 {
		return nil, true
	}
	m := n.Members()
	if _, member := m.Nodes[id]; !member {
		return nil, n.MembersIndex() <= n.CommitIndex()
	}
	if !m.Voter(id) {
		return m.Without(id), false
	}
	if gone := p.goneVoter(n, m); gone != 0 && gone != id {
		return m.Without(gone), false
	}
	spare := p.spare(m, id)
	if carried(n, m, id) == 1 {
		if p.removable(n, m.WithStopping(id, true), id) {
			return m.Without(id), false
		}
		heir := successor(n, m, id)
		if heir == 0 {
			heir = p.silentLearner(n, m, id)
		}
		if heir != 0 && !spare && majorityAnswers(n, promote(m, heir, id)) {
			return promote(m, heir, id), false
		}
	}
	if !m.Stopping[id] {
		return m.WithStopping(id, true), false
	}
	committed := n.MembersIndex() <= n.CommitIndex()
	return nil, committed && !spare && settled(n, m) && majorityWithout(n, m, id)
}

// settled reports whether nothing is under way that would give or take votes soon: no learner is
// about to become a voter, and no voter may stay silent.
func settled(n *quorum.Node, m *quorum.Members) bool {
	for id, peer := range m.Nodes {
		responding := n.Responding(id, respondWithin)
		joining := m.Learners[id] && !peer.Expendable && responding
		undecided := m.Voter(id) && !m.Stopping[id] && !responding && n.SinceLastContact(id) < int64(replaceAfter)
		if joining || undecided {
			return false
		}
	}
	return true
}

// majorityWithout reports whether a majority of the voters answers without the instance. Of several
// that are told to stop at the same time, those with lower identifiers go first.
func majorityWithout(n *quorum.Node, m *quorum.Members, id quorum.NodeID) bool {
	answering := 0
	for other := range m.Nodes {
		first := m.Stopping[other] && other < id
		if m.Voter(other) && other != id && !first && n.Responding(other, respondWithin) {
			answering++
		}
	}
	return answering > m.Voters()/2
}

// notResponding returns the number of voters that don't answer.
func notResponding(n *quorum.Node, m *quorum.Members) int {
	lost := 0
	for id := range m.Nodes {
		if m.Voter(id) && !n.Responding(id, respondWithin) {
			lost++
		}
	}
	return lost
}

// successor returns a learner that has caught up and may take the place of a voter that is told to
// stop, or zero if there is none. A learner that may be the successor of another voter, which fell
// silent before the learner was added, isn't one.
func successor(n *quorum.Node, m *quorum.Members, leaving quorum.NodeID) quorum.NodeID {
	for _, id := range sortedNodes(m) {
		ready := m.Learners[id] && n.Responding(id, respondWithin) && caughtUp(n, id)
		if ready && !m.Nodes[id].Expendable && !succeedsSilent(n, m, id, leaving) {
			return id
		}
	}
	return 0
}

// silentLearner returns the learner that fell silent last and may be back with its disk, while the voter whose place
// it takes may not, or zero if there is none. After EvictAfter only the zones tell: that of the voter has a further
// instance, its successor, and that of the learner has none.
func (p Policy) silentLearner(n *quorum.Node, m *quorum.Members, leaving quorum.NodeID) (last quorum.NodeID) {
	for _, id := range sortedNodes(m) {
		silence := n.PossibleSilence(id)
		if !m.Learners[id] || m.Nodes[id].Expendable || n.Responding(id, respondWithin) {
			continue
		}
		recent := silence < int64(p.EvictAfter)
		standsBy := recent || hasSuccessor(m, leaving) && !answersInZone(n, m, id, leaving)
		if standsBy && (last == 0 || silence < n.PossibleSilence(last)) {
			last = id
		}
	}
	return last
}

// hasSuccessor reports whether another member in the zone of an instance wasn't told to stop.
func hasSuccessor(m *quorum.Members, id quorum.NodeID) bool {
	for other, peer := range m.Nodes {
		if other != id && !m.Stopping[other] && peer.Zone == m.Nodes[id].Zone {
			return true
		}
	}
	return false
}

// answersInZone reports whether another member in the zone of an instance, beside the one that leaves, answers.
func answersInZone(n *quorum.Node, m *quorum.Members, id, leaving quorum.NodeID) bool {
	for other, peer := range m.Nodes {
		if other != id && other != leaving && peer.Zone == m.Nodes[id].Zone && n.Responding(other, respondWithin) {
			return true
		}
	}
	return false
}

// succeedsSilent reports whether a voter other than the one that leaves fell silent before the
// learner was added.
func succeedsSilent(n *quorum.Node, m *quorum.Members, learner, leaving quorum.NodeID) bool {
	for id := range m.Nodes {
		silent := m.Voter(id) && id != leaving && !n.Responding(id, respondWithin)
		if silent && n.SilentSinceBefore(id, learner) {
			return true
		}
	}
	return false
}
