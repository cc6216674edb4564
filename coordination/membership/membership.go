// Package membership decides which control instances are voters of the quorum, as
// instances are added, stop, lose their disks, are replaced, and fall silent for a while or
// for good. It proposes one change at a time, from what the leader's node knows.
//
// Every instance in use that has caught up is a voter. While n voters are in force, an
// acknowledgement stands for a majority of them, and any majority that is left elects a leader
// that has it. So the tolerated number of disks may be lost as long as no vote belongs to an
// instance that will never be back. An instance that is told to stop may never be back: it gives
// up its vote at every stop, whatever the number of voters, or is marked so that the next
// learner takes its place. Silence alone lowers the number of voters only as far as the tolerated
// number of lost disks allows.
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
	// longer than the restart of a killed process. A voter that is back later has lost nothing: the
	// new instance has all entries, and the voter becomes a further one. With two elections before,
	// it is shorter than the 4 s that a successor has on the platform until it counts.
	replaceAfter = time.Second
	// respondWithin is the age of a voter's last answer up to which it isn't silent.
	respondWithin = quorum.AnswerTime
	// removalsAtOnce is the number of instances that may be removed for good, without a word,
	// within the time that it takes to notice one.
	removalsAtOnce = 1
	// standByTime is the time after which a silent learner is removed. It is longer than an outage of an instance
	// that is back by itself.
	standByTime = time.Minute
	// maxUndecided is the longest time after an election for which changes wait for Undecided. It is longer than
	// a new leader takes to confirm silence, and shorter than the platform's limit for applying a change.
	maxUndecided = 2 * time.Second
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
// leaves no majority. Neither silence nor stops lower the number of voters below it.
func (p Policy) minVoters() int {
	return 2*p.Tolerated + 1
}

// spare reports whether the quorum bears the tolerated losses without the vote of the instance,
// and without those that may be lost at any time.
func (p Policy) spare(m *quorum.Members, id quorum.NodeID) bool {
	return lasting(m.Without(id)) >= p.minVoters()
}

// lasting returns the number of voters without those that were told to stop or may be lost at any time.
func lasting(m *quorum.Members) int {
	n := 0
	for id, peer := range m.Nodes {
		if m.Voter(id) && !m.Stopping[id] && !peer.Expendable {
			n++
		}
	}
	return n
}

// enough reports whether enough voters that aren't expendable have votes without the instance, with
// those that were told to stop: these may be back at once.
func (p Policy) enough(m *quorum.Members, id quorum.NodeID) bool {
	n := 0
	for other, peer := range m.Nodes {
		if other != id && m.Voter(other) && !peer.Expendable {
			n++
		}
	}
	return n >= p.minVoters()
}

// Join returns the members to propose as the next step towards a vote for an instance, or
// nil if none can be proposed yet. An instance is added as a learner and becomes a voter once
// it has caught up: in place of an earlier member with its name or address, or in place of a
// voter that was told to stop or has been silent for replaceAfter, or else as a further voter. A silent
// voter whose place was taken may stay a learner, see withoutVote. An
// expendable instance stays a learner while there are enough voters without it. A voter whose name
// or addresses changed is updated, and one that is back after a stop is no longer marked. done is
// set if nothing is left to do.
func (p Policy) Join(n *quorum.Node, id quorum.NodeID, peer quorum.Peer) (next *quorum.Members, done bool) {
	m := n.Members()
	_, member := m.Nodes[id]
	switch {
	case member && m.Nodes[id] != peer:
		next = m.Clone()
		next.Nodes[id] = peer
		return next, false
	case m.Stopping[id]:
		return m.WithStopping(id, false), false
	case m.Voter(id):
		return nil, true
	case !member:
		next = m.Clone()
		next.Nodes[id] = peer
		next.Learners[id] = true
		return next, false
	}
	old := predecessor(m, id, peer)
	switch {
	case m.Learners[old]:
		return m.Without(old), false
	case !caughtUp(n, id):
		return nil, false
	case peer.Expendable && p.enough(m, old):
		if old != 0 {
			return m.Without(old), false
		}
		return nil, true
	case old == 0:
		var wait bool
		old, wait = vacantPlace(n, m, id, peer.Zone)
		switch {
		case wait && p.bearsFurther(n, m):
			old = 0
		case wait:
			return nil, false
		}
		if old != 0 && !m.Stopping[old] {
			m, old = withoutVote(n, m, old), 0
		}
	}
	return promote(m, id, old), false
}

// promote returns the members with a learner as a voter, without another one unless that is zero.
func promote(m *quorum.Members, id, old quorum.NodeID) *quorum.Members {
	next := m.Without(old)
	delete(next.Learners, id)
	return next
}

// bearsFurther reports whether a quorum with a further voter survives the tolerated losses even if none of
// the voters that don't answer is back. Then a learner needn't wait until it is known whose place it takes.
func (p Policy) bearsFurther(n *quorum.Node, m *quorum.Members) bool {
	voters := m.Voters() + 1
	return voters-notResponding(n, m)-p.Tolerated > voters/2
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

// vacantPlace returns the voter whose place passes to a learner, or zero if there is none: one that
// was told to stop, or has been silent for replaceAfter. wait is set if the decision must wait
// until it is known whether a voter that fell silent before the learner was added stays silent.
func vacantPlace(n *quorum.Node, m *quorum.Members, learner quorum.NodeID, zone string) (old quorum.NodeID, wait bool) {
	var best place
	for _, id := range sortedNodes(m) {
		responding := n.Responding(id, respondWithin)
		if !m.Voter(id) || !m.Stopping[id] && responding {
			continue
		}
		c := place{
			before: !responding && n.SilentSinceBefore(id, learner), stopping: m.Stopping[id],
			inZone: m.Nodes[id].Zone == zone, silence: n.SinceLastContact(id),
		}
		if !c.stopping && c.silence < int64(replaceAfter) {
			wait = wait || c.before
			continue
		}
		if old == 0 || c.precedes(best) {
			old, best = id, c
		}
	}
	return old, wait && (!best.before || !best.stopping)
}

// place is what is known of a voter whose place may pass to a learner.
type place struct {
	// before is set if the voter fell silent before the learner was added.
	before           bool
	stopping, inZone bool
	// silence is the time since the voter's last answer, in nanoseconds.
	silence int64
}

// precedes reports whether the place passes to a learner before another does: the learner may be
// the successor of a voter that fell silent before, most likely of one that was told to stop, of
// one in its zone, and of the one that fell silent last, since a successor starts soon after the
// removal. If the guess is wrong, the others' votes follow as they come back.
func (p place) precedes(other place) bool {
	switch {
	case p.before != other.before:
		return p.before
	case p.stopping != other.stopping:
		return p.stopping
	case p.inZone != other.inZone:
		return p.inZone
	}
	return p.silence < other.silence
}

func sortedNodes(m *quorum.Members) []quorum.NodeID {
	list := make([]quorum.NodeID, 0, len(m.Nodes))
	for id := range m.Nodes {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}
