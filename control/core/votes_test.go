package core

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/logs"
)

type nodes = map[quorum.NodeID]bool

// membersOf returns members with the identifiers from 1 to n.
func membersOf(n int, learners nodes) *quorum.Members {
	m := &quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{}, Learners: learners}
	for i := 1; i <= n; i++ {
		m.Nodes[quorum.NodeID(i)] = quorum.Peer{Name: fmt.Sprint("control-", i)}
	}
	return m
}

// TestVoteReport guards against a missing leader whose cause the log doesn't show: too few voters
// are heard, the instance has no vote, or it hears instances that it has no addresses of.
func TestVoteReport(t *testing.T) {
	joint := membersOf(5, nil)
	joint.Joining, joint.Leaving = nodes{5: true}, nodes{1: true}
	tests := []struct {
		name         string
		members      *quorum.Members
		self, leader quorum.NodeID
		// heard holds the milliseconds since the latest messages; quiet are those since a leader's.
		heard     map[quorum.NodeID]int64
		quiet     int64
		silent    int
		left      int
		strangers int
		summary   string
	}{
		{"leads, one is silent", membersOf(4, nil), 4, 4, map[quorum.NodeID]int64{1: 60, 2: 60, 3: 3000}, 0, 1, 0, 0, "0 ms without one"},
		{"follows and hears the leader alone", membersOf(4, nil), 4, 1, map[quorum.NodeID]int64{1: 60}, 60, 0, 1, 0, "0 ms without one"},
		{"election is due", membersOf(4, nil), 4, 0, map[quorum.NodeID]int64{1: 900}, 900, 0, 1, 0, "900 ms without one"},
		{
			"four of eight have gone", membersOf(8, nil), 8, 0,
			map[quorum.NodeID]int64{1: 2100, 2: 9000, 5: 10, 6: 300, 7: 500},
			2100,
			4, -1, 0, "4 of 8 voters heard, 1 more needed",
		},
		{"all are heard", membersOf(3, nil), 3, 0, map[quorum.NodeID]int64{1: 10, 2: 20}, 60_000, 0, 1, 0, "3 of 3 voters heard, a majority"},
		{"one of two majorities is lost", joint, 5, 0, map[quorum.NodeID]int64{3: 10, 4: 20}, 5000, 2, -1, 0, "3 of 5 voters heard, 1 more needed"},
		{"learner", membersOf(4, nodes{4: true}), 4, 1, map[quorum.NodeID]int64{1: 4000}, 4000, 3, -2, 0, "this instance is not one of the 3 voters that it knows"},
		{"is unknown to the others", membersOf(0, nil), 9, 0, nil, 4000, 0, -1, 0, "this instance is not one of the 0 voters that it knows"},
		{
			"asked by instances that it doesn't know", membersOf(4, nil), 4, 0,
			map[quorum.NodeID]int64{5: 10, 6: 20, 7: 3000},
			4000,
			3, -2, 2, "1 of 4 voters heard, 2 more needed",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := int64(time.Hour)
			k := contacts{heard: map[quorum.NodeID]int64{}, leaderAt: now - tt.quiet*1e6}
			for id, age := range tt.heard {
				k.heard[id] = now - age*1e6
			}
			r := k.report(tt.members, tt.self, tt.leader, now)
			require.Equal(t, tt.silent, r.Silent())
			require.Equal(t, tt.left, r.LossesLeft)
			require.Len(t, r.Strangers, tt.strangers)
			require.Equal(t, tt.summary, r.String())
			for _, v := range r.Voters {
				age, ok := tt.heard[v.Node]
				require.True(t, ok && v.HeardMillis == age || !ok && v.HeardMillis <= 0, v)
			}
		})
	}
}

// TestMissingLeaderIsLogged guards against a lost majority of which the log shows only that
// messages aren't delivered.
func TestMissingLeaderIsLogged(t *testing.T) {
	tc := newTestClusterWith(t, 4, noLease, 0)
	var buf bytes.Buffer
	c := tc.cores[4]
	c.cfg.Log = logs.New(&buf, logs.Settings{Level: "info"}, "", "")
	lines := func(message string) int { return strings.Count(buf.String(), fmt.Sprintf("%q", message)) }
	tc.down[1], tc.down[2] = true, true
	tc.run(12*time.Second + leaderTimeout)
	require.Equal(t, 2, lines("no leader is known"), buf.String())
	require.Contains(t, buf.String(), `"heard":2,"of":4,"votes-missing":1,"voters":[{"name":"control-1","node":1,"heard-ms":`)
	require.ErrorContains(t, c.NoLeaderError(), "2 of 4 voters heard, 1 more needed")
	tc.down[1] = false
	tc.run(2 * time.Second)
	require.Equal(t, 1, lines("leader is known again"), buf.String())
	require.Zero(t, c.Votes().Leaderless)
	require.Equal(t, 2, lines("no leader is known"))
}
