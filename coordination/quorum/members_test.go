package quorum_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail/coordination/quorum"
)

// addLearner adds a node and makes the leader propose it as a learner.
func (g *testGroup) addLearner(id quorum.NodeID) {
	g.add(id, nil)
	next := g.leader().node.Members()
	next.Nodes[id], next.Learners[id] = quorum.Peer{Name: "new"}, true
	require.NoError(g.t, g.leader().node.ChangeMembers(next))
}

// TestFollowersSucceedLeaderThatLeft guards against an election timeout without a leader at each
// planned stop of one: it has taken itself from the members and ends once that is committed.
func TestFollowersSucceedLeaderThatLeft(t *testing.T) {
	tests := []struct {
		name    string
		voters  int
		learner bool
	}{
		{"removed, two left", 3, false},
		{"removed, three left", 4, false},
		{"removed, seven left", 8, false},
		{"replaced by a learner", 3, true},
		{"replaced by a learner, of eight", 8, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(20) {
				g := newTestGroupWithTiming(t, tt.voters, seed, 0, noLease)
				g.run(3 * time.Second)
				if tt.learner {
					g.addLearner(99)
					g.run(time.Second)
				}
				old := g.leader()
				next := old.node.Members()
				delete(next.Nodes, old.id)
				delete(next.Learners, 99)
				require.NoError(t, old.node.ChangeMembers(next))
				for old.node.Role() == quorum.Leader {
					g.run(time.Duration(tickInterval))
				}
				g.crash(old)
				g.run(noLease.ElectionTimeout / 2)
				require.NotNil(t, g.leader(), "seed %d", seed)
				require.Equal(t, len(next.Nodes), g.leader().node.Members().Voters())
			}
		})
	}
}

// TestVoteOfLaggingMember guards against a group without a leader whose majority needs a node that
// has a vote but lacks the entry which gave it.
func TestVoteOfLaggingMember(t *testing.T) {
	tests := []struct {
		name string
		// added is set if the node knows that it is a learner.
		added bool
		// replaces is set if the node takes the place of a voter.
		replaces bool
	}{
		{"further voter, a learner in its own log", true, false},
		{"further voter, no member in its own log", false, false},
		{"in place of another, a learner in its own log", true, true},
		{"in place of another, no member in its own log", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGroupWithTiming(t, 3, 1, 0, noLease)
			g.run(3 * time.Second)
			g.addLearner(9)
			if tt.added {
				g.run(time.Second)
			}
			g.isolate(9, true)
			g.run(time.Second)
			lead := g.leader()
			next := lead.node.Members()
			delete(next.Learners, 9)
			if tt.replaces {
				gone := lead.id%3 + 1
				delete(next.Nodes, gone)
				g.crash(g.members[gone])
			}
			require.NoError(t, lead.node.ChangeMembers(next))
			g.run(time.Second)
			require.True(t, lead.node.Members().Voter(9))
			require.False(t, g.members[9].node.Members().Voter(9))
			g.isolate(9, false)
			g.inFlight = nil
			g.crash(lead)
			g.run(3 * time.Second)
			require.NotNil(t, g.leader())
			require.NotEqual(t, lead.id, g.leader().id)
			require.True(t, g.members[9].node.Members().Voter(9))
		})
	}
}

// TestLeaderEndsWithItsRemovalUncommitted guards against a group without a leader after one ended
// between the proposal to remove it and its commit: it has the longest log, so that the others need
// its vote and don't get it, and doesn't campaign, since it has no vote in its own log.
func TestLeaderEndsWithItsRemovalUncommitted(t *testing.T) {
	g := newTestGroupWithTiming(t, 4, 1, 0, noLease)
	g.run(3 * time.Second)
	old := g.leader()
	lost := g.members[old.id%4+1]
	next := old.node.Members()
	delete(next.Nodes, old.id)
	require.NoError(t, old.node.ChangeMembers(next))
	g.processReady(old)
	g.inFlight = nil
	for _, id := range g.order {
		g.members[id].down = true
	}
	for _, id := range g.order {
		if id != lost.id {
			g.start(g.members[id])
		}
	}
	g.run(4 * time.Second)
	require.NotNil(t, g.leader())
	require.False(t, g.leader().node.Members().Voter(old.id))
}

// TestAgreementDuringChanges guards against two leaders in a term, different entries at an index, and a
// missing leader, while members are added, demoted, removed and replaced, the leader among them.
func TestAgreementDuringChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "nodes")
		timing := quorum.DefaultTiming
		timing.NoLease = rapid.Bool().Draw(t, "no lease")
		g := newTestGroupWithTiming(t, n, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.2).Draw(t, "loss"), timing)
		pick := func() *member {
			return g.members[g.order[rapid.IntRange(0, n-1).Draw(t, "node")]]
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			m := pick()
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				g.crash(m)
			case 1:
				g.split(rapid.IntRange(0, 1<<n-1).Draw(t, "side"))
			case 2:
				if m.down {
					g.start(m)
				}
			default:
				for _, id := range g.order {
					lead := g.members[id]
					if lead.down || lead.node.Role() != quorum.Leader {
						continue
					}
					if rapid.Bool().Draw(t, "leader") {
						m = lead
					}
					next := changed(lead.node.Members(), m.id, pick().id, rapid.Bool().Draw(t, "demote"))
					if err := lead.node.ChangeMembers(next); err != nil {
						require.ErrorIs(t, err, quorum.ErrMembersChange)
					}
				}
			}
			limit := rapid.SampledFrom([]int{20, 1000}).Draw(t, "limit")
			g.run(time.Duration(rapid.IntRange(1, limit).Draw(t, "millis")) * time.Millisecond)
		}
		g.endFaults()
	})
}

// split cuts the nodes whose bits are set in side off from the others.
func (g *testGroup) split(side int) {
	for i, a := range g.order {
		for k, b := range g.order {
			g.partitioned[[2]quorum.NodeID{a, b}] = side>>i&1 != side>>k&1
		}
	}
}

// changed returns members in which a node gets a vote or, unless it is the only one, loses it. If the
// other one has none, it takes its place.
func changed(m *quorum.Members, id, other quorum.NodeID, demote bool) *quorum.Members {
	next := m.Clone()
	if !m.Voter(id) {
		other = id
	} else if m.Voters() > 1 {
		if next.Learners[id] = true; !demote {
			next = m.Without(id)
		}
	}
	if id == other && m.Voter(id) {
		return next
	}
	next.Nodes[other] = quorum.Peer{}
	delete(next.Learners, other)
	return next
}

// TestNoMessagesWhileSnapshotIsPending guards against a leader that answers each rejection, ever more at
// a time, while a snapshot that it has sent is lost or on its way.
func TestNoMessagesWhileSnapshotIsPending(t *testing.T) {
	g := newTestGroup(t, 3, 1, 0)
	g.run(3 * time.Second)
	lead := g.leader()
	s := lead.node.Snapshot(nil)
	require.NoError(t, lead.journal.SaveSnapshot(s, lead.node.EntriesAfter(s.Index)))
	lead.node.Compact(s)
	g.addLearner(9)
	sent := 0
	for end := g.now + int64(time.Second); g.now < end; {
		g.run(time.Duration(tickInterval))
		g.inFlight = slices.DeleteFunc(g.inFlight, func(m quorum.Message) bool { return m.Kind == quorum.Install })
		for _, m := range g.inFlight {
			if m.To == 9 {
				sent++
			}
		}
	}
	require.Equal(t, uint64(0), lead.node.MatchIndex(9))
	require.Less(t, sent, 2*int(time.Second/quorum.DefaultTiming.HeartbeatInterval))
}
