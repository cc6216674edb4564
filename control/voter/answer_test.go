package voter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/control/controltest"
	"catkinrail.example/catkinrail/coordination/quorum"
)

// TestInstanceWithPastMembersAnswers guards against an election that fails for good since one of
// the voters only has the addresses of members that are gone and can't answer the present ones.
func TestInstanceWithPastMembersAnswers(t *testing.T) {
	list := controltest.StartWithMembers(t, 2, quorum.AllFeatures, func(id quorum.NodeID, members quorum.Members) quorum.Members {
		if id == 1 {
			return members
		}
		return quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{
			id: members.Nodes[id], 8: {Name: "gone-8", Addr: "127.0.0.1:1"}, 9: {Name: "gone-9", Addr: "127.0.0.1:1"},
		}}
	})
	require.Eventually(t, func() bool { return list[1].Core.Published().Leader == 1 }, 20*time.Second, 10*time.Millisecond)
}
