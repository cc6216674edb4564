package quorum_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
