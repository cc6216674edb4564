package quorum_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail/coordination/quorum"
)

var noLease = quorum.Timing{
	HeartbeatInterval: quorum.DefaultTiming.HeartbeatInterval, ElectionTimeout: quorum.DefaultTiming.ElectionTimeout, NoLease: true,
}

// read is a linearizable read that has begun at a member.
type read struct {
	m     *member
	node  *quorum.Node
	term  uint64
	mark  int64
	index uint64
	// committed is the highest index that any member had committed when the read
	// began.
	committed uint64
}

// beginReads starts a read at every member whose role is Leader.
func (g *testGroup) beginReads() []read {
	var list []read
	for _, id := range g.order {
		m := g.members[id]
		if m.down || m.node.Role() != quorum.Leader {
			continue
		}
		mark, index, err := m.node.BeginRead(g.localTime(m))
		if err != nil {
			continue
		}
		g.processReady(m)
		list = append(list, read{m, m.node, m.node.Term(), mark, index, uint64(len(g.committed))})
	}
	return list
}

// TestReadsAreLinearizable begins reads under random crashes, partitions and
// message loss, without leases. A confirmed read must cover every entry that was
// committed when it began.
func TestReadsAreLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 4, 5}).Draw(t, "nodes")
		g := newTestGroupWithTiming(t, n, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.2).Draw(t, "loss"), noLease)
		pick := func() *member { return g.members[g.order[rapid.IntRange(0, n-1).Draw(t, "node")]] }
		g.run(time.Second)
		var reads []read
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				g.crash(pick())
			case 1:
				if m := pick(); m.down {
					g.start(m)
				}
			case 2:
				g.isolate(pick().id, true)
			case 3:
				g.isolate(pick().id, false)
			default:
				if m := g.leader(); m != nil {
					_, _, err := m.node.Propose([]byte(fmt.Sprint(g.now)), 0)
					require.NoError(t, err)
				}
			}
			reads = append(reads, g.beginReads()...)
			g.run(time.Duration(rapid.IntRange(5, 300).Draw(t, "millis")) * time.Millisecond)
			for _, r := range reads {
				if r.m.down || r.m.node != r.node || r.node.Term() != r.term {
					continue
				}
				if r.node.ReadConfirmed(r.mark) {
					require.GreaterOrEqual(t, r.index, r.committed)
				}
			}
		}
	})
}

// TestReadsAfterMembersHaveGone guards against reads and a time of the last sync that wait for members
// that were removed.
func TestReadsAfterMembersHaveGone(t *testing.T) {
	g := newTestGroupWithTiming(t, 4, 1, 0, noLease)
	g.run(3 * time.Second)
	lead := g.leader()
	for range 2 {
		id := lead.id
		for g.members[id].down || id == lead.id {
			id = id%4 + 1
		}
		g.crash(g.members[id])
		next := lead.node.Members()
		delete(next.Nodes, id)
		require.NoError(t, lead.node.ChangeMembers(next))
		g.run(time.Second)
	}
	require.Equal(t, 2, lead.node.Members().Voters())
	synced := lead.node.Synced()
	reads := g.beginReads()
	g.run(200 * time.Millisecond)
	require.Len(t, reads, 1)
	require.True(t, lead.node.ReadConfirmed(reads[0].mark))
	require.Greater(t, lead.node.Synced(), synced)
}

func TestReadsRequireLeader(t *testing.T) {
	g := newTestGroupWithTiming(t, 3, 1, 0, noLease)
	g.run(time.Second)
	lead := g.leader()
	for _, id := range g.order {
		m := g.members[id]
		_, _, err := m.node.BeginRead(g.localTime(m))
		if m == lead {
			require.NoError(t, err)
			continue
		}
		require.ErrorIs(t, err, quorum.ErrNotLeader)
	}
}

// TestElectionAfterFullRestart checks that, without leases, a leader can serve
// within a second of the start of all nodes.
func TestElectionAfterFullRestart(t *testing.T) {
	for _, n := range []int{3, 4, 5, 8} {
		g := newTestGroupWithTiming(t, n, uint64(n), 0, noLease)
		g.run(3 * time.Second)
		for _, id := range g.order {
			g.crash(g.members[id])
		}
		g.inFlight = nil
		for _, id := range g.order {
			g.start(g.members[id])
		}
		began := g.now
		for g.leader() == nil && g.now-began < int64(10*time.Second) {
			g.run(5 * time.Millisecond)
		}
		require.Less(t, g.now-began, int64(time.Second), n)
	}
}

// TestElectionWithMajority starts nodes one after the other, as machines come back after a
// loss of power: a leader must be elected soon after the start of the node that completes
// a majority, however long the others have waited for it.
func TestElectionWithMajority(t *testing.T) {
	const limit = 100 * time.Millisecond
	for _, n := range []int{3, 4, 6, 8} {
		for seed := range uint64(30) {
			g := newTestGroupWithTiming(t, n, seed, 0, noLease)
			g.run(3 * time.Second)
			for _, id := range g.order {
				g.crash(g.members[id])
			}
			g.inFlight = nil
			g.rng.Shuffle(n, func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
			for i, id := range g.order[:n/2+1] {
				if i > 0 {
					g.run(time.Duration(g.rng.IntN(300)) * time.Millisecond)
				}
				require.Nil(t, g.leader())
				g.start(g.members[id])
			}
			began := g.now
			for g.leader() == nil && g.now-began < int64(5*time.Second) {
				g.run(5 * time.Millisecond)
			}
			require.LessOrEqual(t, time.Duration(g.now-began), limit, "%d nodes, seed %d", n, seed)
		}
	}
}

// TestSyncedOnlyOnceCaughtUp checks that a member that missed entries isn't synced
// after a leader's message alone, but only once it has all committed entries.
func TestSyncedOnlyOnceCaughtUp(t *testing.T) {
	g := newTestGroupWithTiming(t, 3, 3, 0, noLease)
	g.run(time.Second)
	lead := g.leader()
	behind := g.members[lead.id%3+1]
	g.crash(behind)
	for i := range 400 {
		_, _, err := lead.node.Propose([]byte(fmt.Sprint(i)), 0)
		require.NoError(t, err)
	}
	g.run(time.Second)
	g.start(behind)
	require.Zero(t, behind.node.Synced())
	for behind.node.Synced() == 0 {
		g.run(5 * time.Millisecond)
	}
	require.GreaterOrEqual(t, behind.node.CommitIndex(), lead.node.CommitIndex())
}
