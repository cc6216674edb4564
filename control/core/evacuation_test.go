package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/cluster"
)

// newEvacuationCluster returns a cluster of n instances that have announced this build's
// features.
func newEvacuationCluster(t *testing.T, n int) *testCluster {
	t.Helper()
	tc := newTestClusterWith(t, n, noLease, 0)
	for i := 1; i <= n; i++ {
		tc.announce(quorum.NodeID(i), quorum.AllFeatures)
	}
	return tc
}

// announce makes an instance join with the given features.
func (tc *testCluster) announce(id quorum.NodeID, f quorum.Features) {
	p := tc.cores[id].Published().Members.Nodes[id]
	p.Features = f
	tc.awaitVote(&message.JoinRequest{Node: id, Peer: p})
	tc.run(100 * time.Millisecond)
}

// order returns an order as a control instance receives it now.
func (tc *testCluster) order(c *Core, zone catkinrail.Zone, evacuated bool) *plan.EvacuationOrder {
	o := &plan.EvacuationOrder{Zone: zone, Evacuated: evacuated}
	if e := c.Published().Evacuations; e != nil {
		o.Since = e.Revision
	}
	return o
}

// beginEvacuate submits an order to a core and returns the channel that receives the result.
func (tc *testCluster) beginEvacuate(c *Core, o *plan.EvacuationOrder) chan Result {
	p := evacuate(o)
	c.pending = append(c.pending, p)
	return p.done
}

// evacuate submits an order to the leader and returns its result.
func (tc *testCluster) evacuate(o *plan.EvacuationOrder) error {
	done := tc.beginEvacuate(tc.leader(), o)
	tc.run(200 * time.Millisecond)
	return (<-done).Err
}

// zones returns the evacuated zones that a core has published.
func zones(c *Core) []catkinrail.Zone {
	if e := c.Published().Evacuations; e != nil {
		return e.Zones
	}
	return nil
}

// TestLateCopyOfStart sends a copy of a start that was received before the evacuation began
// and is carried out only after it has ended. The zone must not be evacuated again.
func TestLateCopyOfStart(t *testing.T) {
	tc := newEvacuationCluster(t, 3)
	start := tc.order(tc.leader(), "a", true)
	require.NoError(t, tc.evacuate(start))
	require.NoError(t, tc.evacuate(tc.order(tc.leader(), "a", false)))
	require.ErrorIs(t, tc.evacuate(start), plan.ErrConflict)
	require.Empty(t, zones(tc.leader()))
	require.NoError(t, tc.evacuate(tc.order(tc.leader(), "a", true)), "a new order takes effect")
}

// TestTwoOperators submits a start and an end of an evacuated zone at once. If both took
// effect, one of two operators would have an acknowledgement of what isn't in force. Orders
// for different zones must not disturb each other.
func TestTwoOperators(t *testing.T) {
	tc := newEvacuationCluster(t, 3)
	c := tc.leader()
	first, second := tc.beginEvacuate(c, tc.order(c, "a", true)), tc.beginEvacuate(c, tc.order(c, "a", false))
	other := tc.beginEvacuate(c, tc.order(c, "b", true))
	tc.run(200 * time.Millisecond)
	require.NoError(t, (<-first).Err)
	require.ErrorIs(t, (<-second).Err, plan.ErrConflict)
	require.NoError(t, (<-other).Err)
	require.Equal(t, []catkinrail.Zone{"a", "b"}, zones(c))
}

// TestOrdersOnBothSidesOfACut orders the start at a majority's leader and then the end at the
// old leader, which doesn't know that it was cut off. The old leader has nothing to change and
// must not acknowledge: the zone is evacuated.
func TestOrdersOnBothSidesOfACut(t *testing.T) {
	tc := newEvacuationCluster(t, 3)
	old := tc.leader()
	for id := range tc.cores {
		tc.down[id] = id != old.cfg.ID
	}
	unchanged := tc.beginEvacuate(old, tc.order(old, "a", false))
	cut := tc.beginEvacuate(old, tc.order(old, "b", true))
	tc.run(100 * time.Millisecond)
	require.True(t, old.leader.active, "the old leader has not stepped down yet")
	require.Empty(t, unchanged)
	tc.run(2 * time.Second)
	require.ErrorIs(t, (<-unchanged).Err, ErrNotLeader)
	require.ErrorIs(t, (<-cut).Err, ErrUnknown)
	for id := range tc.cores {
		tc.down[id] = id == old.cfg.ID
	}
	tc.run(3 * time.Second)
	require.NoError(t, tc.evacuate(tc.order(tc.leader(), "a", true)))
	tc.down[old.cfg.ID] = false
	tc.run(3 * time.Second)
	for _, c := range tc.cores {
		require.Equal(t, []catkinrail.Zone{"a"}, zones(c), "the order to the minority was not acknowledged and has no effect")
	}
}

// TestOrderThroughInstanceBehind receives an order at an instance that lacks the last change.
// The order must not undo what the instance doesn't know of.
func TestOrderThroughInstanceBehind(t *testing.T) {
	tc := newEvacuationCluster(t, 3)
	behind := tc.cores[tc.leader().cfg.ID%3+1]
	tc.down[behind.cfg.ID] = true
	require.NoError(t, tc.evacuate(tc.order(tc.leader(), "a", true)))
	require.ErrorIs(t, tc.evacuate(tc.order(behind, "a", false)), plan.ErrConflict)
	require.NoError(t, tc.evacuate(tc.order(behind, "a", true)), "the zone is in the requested state")
	tc.down[behind.cfg.ID] = false
	tc.run(time.Second)
	require.NoError(t, tc.evacuate(tc.order(behind, "a", false)), "it has caught up")
}

// TestAcknowledgedOrdersSurvive checks that acknowledged orders, and the versions that tell
// late copies, are in force after the loss of disks or power.
func TestAcknowledgedOrdersSurvive(t *testing.T) {
	tests := []struct {
		name string
		// lost is the number of instances whose disks are lost.
		lost    int
		compact bool
	}{
		{"power, from the log", 0, false},
		{"power, from snapshots", 0, true},
		{"two disks of six", 2, false},
		{"two disks of six, others from snapshots", 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const n = 6
			tc := newEvacuationCluster(t, n)
			start := tc.order(tc.leader(), "a", true)
			require.NoError(t, tc.evacuate(start))
			require.NoError(t, tc.evacuate(tc.order(tc.leader(), "b", true)))
			require.NoError(t, tc.evacuate(tc.order(tc.leader(), "a", false)))
			if tt.compact {
				for _, c := range tc.cores {
					data, err := cluster.Encode(c.state)
					require.NoError(t, err)
					s := c.node.Snapshot(data)
					require.NoError(t, c.cfg.Journal.SaveSnapshot(s, c.node.EntriesAfter(s.Index)))
				}
			}
			for i := quorum.NodeID(1); i <= n; i++ {
				tc.crash(i)
			}
			for i := quorum.NodeID(1); i <= n; i++ {
				if int(i) > tt.lost {
					tc.start(i)
				}
			}
			tc.run(3 * time.Second)
			for i := 1; i <= tt.lost; i++ {
				tc.awaitVote(tc.addInstance(quorum.NodeID(n+i), i))
			}
			tc.run(time.Second)
			for id, c := range tc.cores {
				if !tc.down[id] {
					require.Equal(t, []catkinrail.Zone{"b"}, zones(c))
				}
			}
			require.ErrorIs(t, tc.evacuate(start), plan.ErrConflict)
		})
	}
}

// TestStartNeedsAllVoters checks that no evacuation begins while a voter is of a build that
// would ignore it: its entry instances would go on placing flows in the zone. An evacuation
// that has begun can end.
func TestStartNeedsAllVoters(t *testing.T) {
	tc := newTestClusterWith(t, 3, noLease, 0)
	lead := tc.leader().cfg.ID
	older := lead%3 + 1
	for id := range tc.cores {
		if id != older {
			tc.announce(id, quorum.AllFeatures)
		}
	}
	require.ErrorIs(t, tc.evacuate(tc.order(tc.leader(), "a", true)), ErrFeatureMissing)
	tc.announce(older, quorum.AllFeatures)
	require.NoError(t, tc.evacuate(tc.order(tc.leader(), "a", true)))
	tc.announce(older, 0)
	require.ErrorIs(t, tc.evacuate(tc.order(tc.leader(), "b", true)), ErrFeatureMissing)
	require.NoError(t, tc.evacuate(tc.order(tc.leader(), "a", true)), "already so")
	require.NoError(t, tc.evacuate(tc.order(tc.leader(), "a", false)))
}

// TestFeaturesDroppedByOlderBuild upgrades an instance whose older build dropped the features of
// the others from the members that it stored, and makes it the leader. It must get to know them,
// or it would refuse every start.
func TestFeaturesDroppedByOlderBuild(t *testing.T) {
	for _, leads := range []bool{false, true} {
		tc := newEvacuationCluster(t, 3)
		older := tc.leader().cfg.ID%3 + 1
		tc.announce(older, 0)
		c := tc.cores[older]
		data, err := cluster.Encode(c.state)
		require.NoError(t, err)
		s := c.node.Snapshot(data)
		for id, p := range s.Members.Nodes {
			p.Features = 0
			s.Members.Nodes[id] = p
		}
		require.NoError(t, c.cfg.Journal.SaveSnapshot(s, c.node.EntriesAfter(s.Index)))
		tc.crash(older)
		tc.start(older)
		tc.run(3 * time.Second)
		for leads && tc.leader().cfg.ID != older {
			other := tc.leader().cfg.ID
			tc.crash(other)
			tc.run(3 * time.Second)
			tc.down[other] = false
			tc.run(time.Second)
		}
		self := func(id quorum.NodeID) quorum.Peer {
			p := tc.cores[id].Published().Members.Nodes[id]
			p.Features = quorum.AllFeatures
			return p
		}
		require.False(t, tc.cores[older].Announced(self(older)))
		for range 3 {
			for id := range tc.cores {
				if !tc.cores[id].Announced(self(id)) {
					tc.announce(id, quorum.AllFeatures)
				}
			}
		}
		for id, c := range tc.cores {
			require.True(t, c.Announced(self(id)))
			require.True(t, c.Published().Members.Announce(quorum.AllFeatures))
		}
		require.NoError(t, tc.evacuate(tc.order(tc.leader(), "a", true)))
	}
}

// TestAnyInterleavingOfOrders submits orders that were received at any instance at any time
// before, with losses of leaders in between. A zone must end in the state that its last
// acknowledged order asked for, unless an order whose outcome is unknown took effect later.
func TestAnyInterleavingOfOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tc := newEvacuationCluster(t, 3)
		type sent struct {
			order *plan.EvacuationOrder
			done  chan Result
		}
		var received []*plan.EvacuationOrder
		var open []sent
		// allowed holds the states that the zone may have.
		allowed := map[bool]bool{false: true}
		collect := func() {
			open = func() (rest []sent) {
				for _, s := range open {
					select {
					case r := <-s.done:
						if r.Err == nil {
							allowed = map[bool]bool{s.order.Evacuated: true}
						}
						for _, later := range open {
							allowed[later.order.Evacuated] = true
						}
					default:
						rest = append(rest, s)
					}
				}
				return rest
			}()
		}
		down := quorum.NodeID(0)
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"receive", "submit", "submit", "run", "cut"}).Draw(rt, "step") {
			case "receive":
				c := tc.cores[quorum.NodeID(rapid.IntRange(1, 3).Draw(rt, "at"))]
				received = append(received, tc.order(c, "a", rapid.Bool().Draw(rt, "evacuated")))
			case "submit":
				if c := tc.leader(); c != nil && len(received) > 0 {
					o := rapid.SampledFrom(received).Draw(rt, "order")
					open = append(open, sent{o, tc.beginEvacuate(c, o)})
				}
			case "cut":
				tc.down[down] = false
				if c := tc.leader(); c != nil {
					down = c.cfg.ID
					tc.down[down] = true
				}
			case "run":
				tc.run(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			}
			collect()
		}
		tc.down[down] = false
		tc.run(4 * time.Second)
		collect()
		require.Empty(rt, open, "every order is answered")
		lead := tc.leader()
		require.NotNil(rt, lead)
		require.True(rt, allowed[lead.state.Evacuated("a")])
		for _, c := range tc.cores {
			require.Equal(rt, zones(lead), zones(c))
		}
	})
}
