package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/coordination/quorum"
)

// TestMemberChanges guards against changes of members that the log tells in numbers only.
func TestMemberChanges(t *testing.T) {
	joint := membersOf(4, nil)
	joint.Joining, joint.Leaving = nodes{4: true}, nodes{1: true}
	after := joint.Clone()
	after.Joining, after.Leaving = nil, nil
	delete(after.Nodes, 1)
	moved := membersOf(3, nil)
	moved.Nodes[2] = quorum.Peer{Name: "control-2", Addr: "elsewhere"}
	tests := []struct {
		name     string
		old, now *quorum.Members
		want     []string
	}{
		{"none", membersOf(3, nil), membersOf(3, nil), nil},
		{"first members", &quorum.Members{}, membersOf(2, nodes{2: true}), []string{"control-1 added as voter", "control-2 added as learner"}},
		{"learner is added", membersOf(3, nil), membersOf(4, nodes{4: true}), []string{"control-4 added as learner"}},
		{"learner is promoted", membersOf(4, nodes{4: true}), membersOf(4, nil), []string{"control-4 became voter"}},
		{
			"learner takes a place", membersOf(4, nodes{4: true}), joint,
			[]string{"control-4 became voter in place of control-1", "control-1 marked as leaving"},
		},
		{"place is taken", joint, after, []string{"control-1 removed with its vote"}},
		{"step is taken back", joint, membersOf(4, nodes{4: true}), []string{"control-4 became learner and lost its vote", "control-1 no longer leaving"}},
		{"learner is removed", membersOf(4, nodes{4: true}), membersOf(3, nil), []string{"control-4 removed as learner"}},
		{"address", membersOf(3, nil), moved, []string{"control-2 updated"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, memberChanges(tt.old, tt.now))
		})
	}
}
