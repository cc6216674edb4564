package quorum_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
	"catkinrail.example/catkinrail/state/journal"
)

// member is a simulated node with its disk.
type member struct {
	id      quorum.NodeID
	node    *quorum.Node
	disk    *fake.Disk
	journal *journal.Journal
	// rate is the rate of the member's clock.
	rate          float64
	down          bool
	applied       []quorum.Entry
	snapshotIndex uint64
}

// testGroup simulates a quorum whose network loses, delays and reorders messages.
type testGroup struct {
	t           require.TestingT
	rng         *rand.Rand
	now         int64
	members     map[quorum.NodeID]*member
	order       []quorum.NodeID
	inFlight    []quorum.Message
	partitioned map[[2]quorum.NodeID]bool
	// committed holds, by index, the entries that any member has reported as
	// committed.
	committed map[uint64]quorum.Entry
	// loss is the probability that a message is lost.
	loss   float64
	seed   uint64
	timing quorum.Timing
	// leaderByTerm holds the member that was first seen leading in each term.
	leaderByTerm map[uint64]quorum.NodeID
}

const tickInterval = int64(5 * time.Millisecond)

func newTestGroup(t require.TestingT, n int, seed uint64, loss float64) *testGroup {
	return newTestGroupWithTiming(t, n, seed, loss, quorum.DefaultTiming)
}

func newTestGroupWithTiming(t require.TestingT, n int, seed uint64, loss float64, timing quorum.Timing) *testGroup {
	g := &testGroup{
		t: t, timing: timing, rng: rand.New(rand.NewPCG(seed, 7)), now: int64(time.Hour), members: map[quorum.NodeID]*member{},
		partitioned: map[[2]quorum.NodeID]bool{}, committed: map[uint64]quorum.Entry{}, loss: loss, seed: seed,
		leaderByTerm: map[uint64]quorum.NodeID{},
	}
	list := quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{}}
	for i := 1; i <= n; i++ {
		list.Nodes[quorum.NodeID(i)] = quorum.Peer{Name: fmt.Sprint(i)}
	}
	for i := 1; i <= n; i++ {
		g.add(quorum.NodeID(i), &list)
	}
	return g
}

func (g *testGroup) add(id quorum.NodeID, list *quorum.Members) {
	m := &member{id: id, disk: fake.NewDisk(), rate: 1 + 0.04*(g.rng.Float64()-0.5)}
	g.members[id] = m
	g.order = append(g.order, id)
	j, _, err := journal.Open(m.disk)
	require.NoError(g.t, err)
	if list != nil {
		require.NoError(g.t, j.SaveSnapshot(&quorum.Snapshot{Members: *list}, nil))
	}
	g.start(m)
}

// start starts a member from its disk. If an injected crash interrupts it, the
// member stays down.
func (g *testGroup) start(m *member) {
	j, stored, err := journal.Open(m.disk)
	if errors.Is(err, fake.ErrCrashed) {
		g.crash(m)
		return
	}
	require.NoError(g.t, err)
	m.journal, m.down = j, false
	m.node = quorum.New(m.id, g.timing, g.rng.Uint64(), stored, g.localTime(m))
	m.snapshotIndex = stored.Snapshot.Index
	m.applied = nil
}

func (g *testGroup) localTime(m *member) int64 {
	return int64(float64(g.now) * m.rate)
}

func (g *testGroup) crash(m *member) {
	m.down = true
	m.disk.Crash(g.rng)
}

// run advances the simulated time by d.
func (g *testGroup) run(d time.Duration) {
	for end := g.now + int64(d); g.now < end; g.now += tickInterval {
		for _, id := range g.order {
			if m := g.members[id]; !m.down {
				m.node.Tick(g.localTime(m))
				g.processReady(m)
			}
		}
		g.deliver()
		g.checkLeaders()
	}
}

// deliver delivers about three quarters of the messages in flight, in random
// order.
func (g *testGroup) deliver() {
	g.rng.Shuffle(len(g.inFlight), func(i, j int) { g.inFlight[i], g.inFlight[j] = g.inFlight[j], g.inFlight[i] })
	n := len(g.inFlight) - len(g.inFlight)/4
	now := g.inFlight[:n]
	g.inFlight = append([]quorum.Message(nil), g.inFlight[n:]...)
	for _, msg := range now {
		to := g.members[msg.To]
		if to == nil || to.down || g.partitioned[[2]quorum.NodeID{msg.From, msg.To}] || g.rng.Float64() < g.loss {
			continue
		}
		to.node.Step(msg, g.localTime(to))
		g.processReady(to)
	}
}

func (g *testGroup) processReady(m *member) {
	for {
		r := m.node.Ready()
		if r.Empty() {
			return
		}
		if !g.saveReady(m, &r) {
			g.crash(m)
			return
		}
		g.inFlight = append(g.inFlight, r.Messages...)
		for _, e := range r.Committed {
			g.checkCommitted(m, e)
		}
	}
}

func (g *testGroup) saveReady(m *member, r *quorum.Ready) bool {
	if m.journal.Save(r.HardState, nil) != nil {
		return false
	}
	if r.Snapshot != nil {
		if m.journal.SaveSnapshot(r.Snapshot, nil) != nil {
			return false
		}
		m.snapshotIndex, m.applied = r.Snapshot.Index, nil
	}
	return m.journal.Save(nil, r.Entries) == nil
}

// checkCommitted checks that a member applies entries in order, and that no two
// members apply different entries at an index.
func (g *testGroup) checkCommitted(m *member, e quorum.Entry) {
	m.applied = append(m.applied, e)
	if e.Members != nil {
		// The journal doesn't tell an empty set of learners from none.
		e.Members = e.Members.Clone()
	}
	require.Equal(g.t, m.snapshotIndex+uint64(len(m.applied)), e.Index, "entries are applied in order")
	if old, ok := g.committed[e.Index]; ok {
		require.Equal(g.t, old, e, "entry %d was committed with different content", e.Index)
	}
	g.committed[e.Index] = e
}

// checkLeaders checks that at most one member leads in each term and, with leases,
// that at most one member leads at a time.
func (g *testGroup) checkLeaders() {
	var leading []quorum.NodeID
	for _, id := range g.order {
		m := g.members[id]
		if m.down || !m.node.Leading(g.localTime(m)) {
			continue
		}
		leading = append(leading, id)
		term := m.node.Term()
		if first, ok := g.leaderByTerm[term]; ok {
			require.Equal(g.t, first, id, "two leaders in term %d", term)
		}
		g.leaderByTerm[term] = id
	}
	if g.timing.NoLease {
		return
	}
	require.LessOrEqual(g.t, len(leading), 1, "leaders with a lease: %v", leading)
}

func (g *testGroup) leader() *member {
	for _, id := range g.order {
		if m := g.members[id]; !m.down && m.node.Leading(g.localTime(m)) {
			return m
		}
	}
	return nil
}

func (g *testGroup) isolate(id quorum.NodeID, on bool) {
	for _, other := range g.order {
		g.partitioned[[2]quorum.NodeID{id, other}] = on
		g.partitioned[[2]quorum.NodeID{other, id}] = on
	}
}

func TestElection(t *testing.T) {
	for _, n := range []int{1, 3, 5, 7} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := newTestGroup(t, n, 1, 0)
			g.run(3 * time.Second)
			require.NotNil(t, g.leader())
		})
	}
}

func TestIsolatedLeaderLosesLease(t *testing.T) {
	g := newTestGroup(t, 3, 2, 0)
	g.run(3 * time.Second)
	old := g.leader()
	require.NotNil(t, old)
	g.isolate(old.id, true)
	g.run(quorum.DefaultTiming.ElectionTimeout)
	require.False(t, old.node.Leading(g.localTime(old)))
	g.run(3 * time.Second)
	next := g.leader()
	require.NotNil(t, next)
	require.NotEqual(t, old.id, next.id)
	term := next.node.Term()
	g.isolate(old.id, false)
	g.run(2 * time.Second)
	require.Equal(t, term, g.leader().node.Term(), "a node that was partitioned must not force an election")
}

// TestLaggingCandidateDoesNotRaiseTerm makes a node without the latest entries
// campaign repeatedly. If its rejected pre-votes raised the term, it would keep the
// others from electing a leader.
func TestLaggingCandidateDoesNotRaiseTerm(t *testing.T) {
	stored := func(last uint64) quorum.Stored {
		list := quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{1: {}, 2: {}, 3: {}}}
		s := quorum.Stored{HardState: quorum.HardState{Term: 5}, Snapshot: quorum.Snapshot{Members: list}}
		for i := uint64(1); i <= last; i++ {
			s.Entries = append(s.Entries, quorum.Entry{Index: i, Term: 5})
		}
		return s
	}
	now := int64(time.Hour)
	behind := quorum.New(1, quorum.DefaultTiming, 1, stored(1), now)
	ahead := quorum.New(2, quorum.DefaultTiming, 2, stored(4), now)
	for range 200 {
		now += int64(100 * time.Millisecond)
		behind.Tick(now)
		for _, m := range behind.Ready().Messages {
			ahead.Step(m, now)
		}
		for _, m := range ahead.Ready().Messages {
			behind.Step(m, now)
		}
	}
	require.Equal(t, uint64(5), behind.Term())
}

func TestEvenSplitElectsNoLeader(t *testing.T) {
	g := newTestGroup(t, 4, 3, 0)
	for _, a := range []quorum.NodeID{1, 2} {
		for _, b := range []quorum.NodeID{3, 4} {
			g.partitioned[[2]quorum.NodeID{a, b}] = true
			g.partitioned[[2]quorum.NodeID{b, a}] = true
		}
	}
	g.run(10 * time.Second)
	require.Nil(t, g.leader())
	require.Empty(t, g.committed)
}

func TestCommittedEntriesSurviveFullRestart(t *testing.T) {
	g := newTestGroup(t, 3, 4, 0)
	g.run(3 * time.Second)
	for i := range 300 {
		_, _, err := g.leader().node.Propose([]byte(fmt.Sprint(i)), 0)
		require.NoError(t, err)
		g.run(20 * time.Millisecond)
	}
	before := len(g.committed)
	require.Greater(t, before, 300)
	for _, id := range g.order {
		g.crash(g.members[id])
	}
	for _, id := range g.order {
		g.start(g.members[id])
	}
	g.run(3 * time.Second)
	require.GreaterOrEqual(t, len(g.leader().applied), before)
}

// TestReplaceMemberWithLostDisk replaces a member that lost its disk by a learner,
// which catches up from a snapshot before it gets a vote.
func TestReplaceMemberWithLostDisk(t *testing.T) {
	g := newTestGroup(t, 3, 5, 0.01)
	g.run(3 * time.Second)
	for i := range 50 {
		_, _, err := g.leader().node.Propose([]byte(fmt.Sprint(i)), 0)
		require.NoError(t, err)
		g.run(20 * time.Millisecond)
	}
	lead := g.leader()
	s := lead.node.Snapshot([]byte("state"))
	require.NoError(t, lead.journal.SaveSnapshot(s, lead.node.EntriesAfter(s.Index)))
	lead.node.Compact(s)
	lost := g.order[0]
	if lost == lead.id {
		lost = g.order[1]
	}
	g.members[lost].down = true
	g.add(9, nil)
	g.run(2 * time.Second)
	require.Zero(t, g.members[9].node.CommitIndex(), "a node that isn't a member receives no entries")
	for _, change := range []func(*quorum.Members){
		func(m *quorum.Members) { m.Nodes[9] = quorum.Peer{Name: "again"}; m.Learners[9] = true },
		func(m *quorum.Members) { delete(m.Nodes, lost) },
		func(m *quorum.Members) { delete(m.Learners, 9) },
	} {
		next := g.leader().node.Members()
		change(next)
		require.NoError(t, g.leader().node.ChangeMembers(next))
		g.run(3 * time.Second)
	}
	require.Equal(t, g.leader().node.CommitIndex(), g.members[9].node.CommitIndex())
	require.True(t, g.leader().node.Members().Voter(9))
	require.Equal(t, 3, g.leader().node.Members().Voters())
}

// TestAppendsAreLimitedInBytes guards against a follower that is behind by many large entries and
// gets all of them in one message: sending that takes longer than a call may, again and again.
func TestAppendsAreLimitedInBytes(t *testing.T) {
	g := newTestGroup(t, 3, 9, 0)
	g.run(3 * time.Second)
	lead := g.leader()
	behind := g.members[lead.id%3+1]
	g.crash(behind)
	const large = 300_000
	for range 40 {
		_, _, err := lead.node.Propose(make([]byte, large), 0)
		require.NoError(t, err)
		g.run(20 * time.Millisecond)
	}
	g.start(behind)
	for range 600 {
		g.run(time.Duration(tickInterval))
		for _, m := range g.inFlight {
			size := 0
			for _, e := range m.Entries {
				size += len(e.Data)
			}
			require.Less(t, size, 2<<20)
		}
	}
	require.Equal(t, lead.node.CommitIndex(), behind.node.CommitIndex())
}

func TestMembersChangeOneAtATime(t *testing.T) {
	g := newTestGroup(t, 3, 6, 0)
	g.run(3 * time.Second)
	two := g.leader().node.Members()
	two.Nodes[8], two.Nodes[9] = quorum.Peer{}, quorum.Peer{}
	require.Error(t, g.leader().node.ChangeMembers(two))
	one := g.leader().node.Members()
	one.Nodes[9] = quorum.Peer{}
	require.NoError(t, g.leader().node.ChangeMembers(one))
	again := one.Clone()
	again.Nodes[10] = quorum.Peer{}
	require.ErrorIs(t, g.leader().node.ChangeMembers(again), quorum.ErrMembersChange)
}

// TestReplacementSurvivesChangeOfLeader guards against a replacement that stops halfway: the leader
// ends after it has proposed that a learner takes the place of a silent voter, and the next leader
// completes the step if the proposal reached it.
func TestReplacementSurvivesChangeOfLeader(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
	}{
		{"before the proposal is sent", 0},
		{"once it is committed", time.Duration(3 * tickInterval)},
		{"once it is completed", time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGroup(t, 5, 8, 0)
			g.run(3 * time.Second)
			lead := g.leader()
			silent := lead.id%5 + 1
			g.crash(g.members[silent])
			g.add(9, nil)
			learner := lead.node.Members()
			learner.Nodes[9], learner.Learners[9] = quorum.Peer{Name: "new"}, true
			require.NoError(t, lead.node.ChangeMembers(learner))
			g.run(time.Second)
			next := lead.node.Members()
			delete(next.Nodes, silent)
			delete(next.Learners, 9)
			require.NoError(t, lead.node.ChangeMembers(next))
			require.ErrorIs(t, lead.node.ChangeMembers(next), quorum.ErrMembersChange)
			g.run(tt.after)
			g.crash(lead)
			g.run(4 * time.Second)
			require.NotNil(t, g.leader())
			m := g.leader().node.Members()
			require.Empty(t, m.Joining)
			require.Empty(t, m.Leaving)
			require.Equal(t, 5, m.Voters())
			require.Equal(t, tt.after > 0, m.Voter(9))
			require.Equal(t, tt.after == 0, m.Voter(silent))
		})
	}
}

// TestReplacementNeedsBothMajorities guards against a commit by a majority of the voters with the
// new one alone, which may have no voter in common with a majority of those before.
func TestReplacementNeedsBothMajorities(t *testing.T) {
	members := quorum.Members{
		Nodes:   map[quorum.NodeID]quorum.Peer{1: {}, 2: {}, 3: {}, 4: {}},
		Joining: map[quorum.NodeID]bool{4: true}, Leaving: map[quorum.NodeID]bool{3: true},
	}
	tests := []struct {
		name    string
		answers []quorum.NodeID
		elected bool
	}{
		{"the joining one", []quorum.NodeID{4}, false},
		{"the leaving one", []quorum.NodeID{3}, false},
		{"both", []quorum.NodeID{3, 4}, true},
		{"one that stays", []quorum.NodeID{2}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := int64(time.Hour)
			n := quorum.New(1, quorum.DefaultTiming, 1, quorum.Stored{Snapshot: quorum.Snapshot{Members: members}}, now)
			n.Tick(now + int64(time.Second))
			for range 2 {
				for _, m := range n.Ready().Messages {
					for _, from := range tt.answers {
						if m.To == from {
							n.Step(quorum.Message{Kind: m.Kind + 1, From: from, To: 1, Term: m.Term}, now+int64(time.Second))
						}
					}
				}
			}
			require.Equal(t, tt.elected, n.Role() == quorum.Leader)
		})
	}
}

// TestAgreement checks, under random crashes, partitions, message loss and failed
// writes, that committed entries never differ, that at most one leader holds a
// lease, and that the group elects a leader once the faults end.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "nodes")
		g := newTestGroup(t, n, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.2).Draw(t, "loss"))
		pick := func() *member {
			return g.members[g.order[rapid.IntRange(0, n-1).Draw(t, "node")]]
		}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				g.crash(pick())
			case 1:
				pick().disk.FailAfter(rapid.IntRange(0, 10).Draw(t, "left"), fake.ErrCrashed)
			case 2:
				g.isolate(pick().id, true)
			case 3:
				g.isolate(pick().id, false)
			case 4:
				if m := pick(); m.down {
					g.start(m)
				}
			default:
				if m := g.leader(); m != nil {
					_, _, err := m.node.Propose([]byte(fmt.Sprint(g.now)), 0)
					require.NoError(t, err)
				}
			}
			g.run(time.Duration(rapid.IntRange(5, 700).Draw(t, "millis")) * time.Millisecond)
		}
		g.endFaults()
	})
}

// endFaults ends all faults and checks that a leader is elected and no committed entry is missing.
func (g *testGroup) endFaults() {
	for _, id := range g.order {
		g.isolate(id, false)
		m := g.members[id]
		m.disk.FailAfter(-1, nil)
		if m.down {
			g.start(m)
		}
	}
	g.loss = 0
	g.run(4 * time.Second)
	require.NotNil(g.t, g.leader(), "no leader after the faults ended")
	for index := uint64(1); index <= uint64(len(g.committed)); index++ {
		require.Contains(g.t, g.committed, index)
	}
}

// TestLeaderRemovesItself guards against a leader that ends when the members without it are
// committed, and against followers that wait for a leader that has left.
func TestLeaderRemovesItself(t *testing.T) {
	for _, n := range []int{2, 3, 4, 5, 8} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := newTestGroupWithTiming(t, n, uint64(n), 0, noLease)
			g.run(3 * time.Second)
			old := g.leader()
			require.NoError(t, old.node.ChangeMembers(old.node.Members().Without(old.id)))
			began := g.now
			for (g.leader() == nil || g.leader() == old) && g.now-began < int64(5*time.Second) {
				g.run(time.Duration(tickInterval))
			}
			require.Less(t, time.Duration(g.now-began), noLease.ElectionTimeout/2)
			require.NotEqual(t, old.id, g.leader().id)
			require.Equal(t, n-1, g.leader().node.Members().Voters())
		})
	}
}
