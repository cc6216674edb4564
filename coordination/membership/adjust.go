package membership

import (
	"catkinrail.example/catkinrail/coordination/quorum"
)

// Evict returns a member whose vote is taken because it is silent, or which is removed, and the members
// afterwards, or nil if there is none. A voter that was told to stop is never back, so its vote goes first: at
// once if no other voter answers for it; if another one does, once the rest bears the tolerated losses. One that
// is only silent may be back with its disk, see silentVoter and withoutVote.
// So an acknowledgement always stands for more copies than disks may be lost, however long an outage
// lasts, and instances that never come back don't lower the tolerance for good.
func (p Policy) Evict(n *quorum.Node) (id quorum.NodeID, next *quorum.Members) {
	if p.EvictAfter <= 0 {
		return 0, nil
	}
	m := n.Members()
	if gone := p.goneVoter(n, m); gone != 0 {
		return gone, m.Without(gone)
	}
	if silent := p.silentVoter(n, m, n.SinceLastContact); silent != 0 {
		return silent, withoutVote(n, m, silent)
	}
	if gone := p.goneLearner(n, m); gone != 0 {
		return gone, m.Without(gone)
	}
	return 0, nil
}

// silentVoter returns the voter that loses its vote because it has been silent the longest, or zero if there is
// none. Only votes beyond those that bear the tolerated losses, without the voters that were told to stop, are
// taken, and only if, counting those that don't answer as lost, the quorum would not survive a further removal
// and the loss of the tolerated number of disks. The last vote of an even number adds none to the losses that
// are borne, so that of a silent voter is taken after replaceAfter; the others after EvictAfter.
func (p Policy) silentVoter(n *quorum.Node, m *quorum.Members, silence func(quorum.NodeID) int64) quorum.NodeID {
	voters := m.Voters()
	if voters-notResponding(n, m)-p.Tolerated-removalsAtOnce > voters/2 {
		return 0
	}
	limit := p.EvictAfter
	if lasting(m)%2 == 0 {
		limit = min(limit, replaceAfter)
	}
	var oldest quorum.NodeID
	for _, id := range sortedNodes(m) {
		candidate := m.Voter(id) && !m.Stopping[id] && id != n.ID() && !n.Responding(id, respondWithin) && silence(id) >= int64(limit)
		if candidate && (oldest == 0 || silence(id) > silence(oldest)) && carried(n, m, id) == 1 && p.removable(n, m, id) {
			oldest = id
		}
	}
	return oldest
}

// withoutVote returns the members without the vote of a silent voter. It stays as a learner, which may be back
// with its disk, unless another member was added since it fell silent: that is taken for its successor.
func withoutVote(n *quorum.Node, m *quorum.Members, silent quorum.NodeID) *quorum.Members {
	for id := range m.Nodes {
		if id != silent && n.AddedSince(id, silent) {
			return m.Without(silent)
		}
	}
	return m.WithLearner(silent)
}

// Undecided reports whether it is still to be confirmed that a voter, silent under the last leader already, is to
// lose its vote. An acknowledgement would count that vote until then, and stand for fewer copies than it should.
func (p Policy) Undecided(n *quorum.Node) bool {
	if p.EvictAfter <= 0 || n.SinceElection() > maxUndecided {
		return false
	}
	m := n.Members()
	return p.silentVoter(n, m, n.PossibleSilence) != 0 || unconfirmedPlace(n, m)
}

// unconfirmedPlace reports whether a learner will take the place of a voter once the voter's silence is confirmed.
func unconfirmedPlace(n *quorum.Node, m *quorum.Members) bool {
	waiting, silent := false, false
	for id, peer := range m.Nodes {
		responding := n.Responding(id, respondWithin)
		switch {
		case m.Learners[id]:
			waiting = waiting || responding && !peer.Expendable && caughtUp(n, id)
		case !m.Stopping[id] && !responding && n.PossibleSilence(id) >= int64(replaceAfter):
			silent = true
		}
	}
	return waiting && silent
}

// goneLearner returns a learner to remove, or zero if there is none. One that is silent stays for standByTime: it may be
// back with its disk, and may take the place of a voter that is told to stop.
func (p Policy) goneLearner(n *quorum.Node, m *quorum.Members) quorum.NodeID {
	for _, id := range sortedNodes(m) {
		limit := standByTime
		if m.Nodes[id].Expendable {
			limit = p.EvictAfter
		}
		if m.Learners[id] && id != n.ID() && n.SinceLastContact(id) >= int64(limit) {
			return id
		}
	}
	return 0
}

// goneVoter returns a voter that is never back and can be removed, or zero if there is none: one that was told to
// stop and has ended, else one for which another one answers. Of the latter, those of an heir that was told to stop
// go first, then those of the heir with the most votes.
func (p Policy) goneVoter(n *quorum.Node, m *quorum.Members) quorum.NodeID {
	var best quorum.NodeID
	most := 0
	for _, id := range sortedNodes(m) {
		holder := n.Holder(id)
		gone := holder != 0 || m.Stopping[id] && !n.Responding(id, respondWithin)
		if !gone || !m.Voter(id) || !p.removable(n, m, id) {
			continue
		}
		if holder == 0 {
			return id
		}
		votes := carried(n, m, holder)
		if m.Stopping[holder] {
			votes += m.Voters()
		}
		if votes > most {
			best, most = id, votes
		}
	}
	return best
}

// Demote returns an expendable voter that becomes a learner, since there are enough voters without
// it, and the members with it as a learner, or nil if there is none.
func (p Policy) Demote(n *quorum.Node) (id quorum.NodeID, next *quorum.Members) {
	m := n.Members()
	for _, id := range sortedNodes(m) {
		if m.Voter(id) && m.Nodes[id].Expendable && p.enough(m, id) {
			return id, m.WithLearner(id)
		}
	}
	return 0, nil
}
