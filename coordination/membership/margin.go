package membership

import (
	"maps"
	"slices"

	"catkinrail.example/catkinrail/coordination/quorum"
)

// removable reports whether a voter can be removed: enough voters last without it, a majority of the others answers,
// and the tolerated losses are borne afterwards as far as before.
func (p Policy) removable(n *quorum.Node, m *quorum.Members, id quorum.NodeID) bool {
	next := m.Without(id)
	return p.spare(m, id) && majorityAnswers(n, next) && p.margin(n, next) >= min(1, p.margin(n, m))
}

// margin returns by how much twice the votes that are left exceed the number of voters, once all instances in use
// run and the tolerated number of disks is lost, those with the most votes. Voters that were told to stop and those
// that may be lost at any time count as gone, silent ones as back with their disks. Without a positive margin there
// may be no leader then.
func (p Policy) margin(n *quorum.Node, m *quorum.Members) int {
	list := slices.Sorted(maps.Values(votesByDisk(n, m)))
	left := 0
	for _, v := range list[:max(0, len(list)-p.Tolerated)] {
		left += v
	}
	return 2*left - m.Voters()
}

// votesByDisk returns the number of votes on the disk of each instance that lasts: its own and those that were
// handed to it.
func votesByDisk(n *quorum.Node, m *quorum.Members) map[quorum.NodeID]int {
	votes := map[quorum.NodeID]int{}
	for id := range m.Nodes {
		holder := holderOf(n, id)
		peer, member := m.Nodes[holder]
		if m.Voter(id) && member && !m.Stopping[holder] && !peer.Expendable {
			votes[holder]++
		}
	}
	return votes
}

// majorityAnswers reports whether a majority of the votes answers, those that were handed over among them.
func majorityAnswers(n *quorum.Node, m *quorum.Members) bool {
	answering := 0
	for id := range m.Nodes {
		if m.Voter(id) && n.Responding(holderOf(n, id), respondWithin) {
			answering++
		}
	}
	return 2*answering > m.Voters()
}

// carried returns the number of voters that an instance answers for, itself among them.
func carried(n *quorum.Node, m *quorum.Members, id quorum.NodeID) int {
	votes := 0
	for other := range m.Nodes {
		if m.Voter(other) && holderOf(n, other) == id {
			votes++
		}
	}
	return votes
}

// holderOf returns the instance that answers for a node, the node itself unless it has handed its vote over.
func holderOf(n *quorum.Node, id quorum.NodeID) quorum.NodeID {
	if holder := n.Holder(id); holder != 0 {
		return holder
	}
	return id
}
