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

// member is a node with its disk.
type member struct {
	id   quorum.NodeID
	node *quorum.Node
	disk *fake.Disk
	j    *journal.Journal
	// rate is the rate of the member's clock.
	rate    float64
	down    bool
	applied []quorum.Entry
	base    uint64
}

// group is a set of members on a network that loses, delays and reorders.
type group struct {
	t       require.TestingT
	rng     *rand.Rand
	now     int64
	members map[quorum.NodeID]*member
	order   []quorum.NodeID
	wire    []quorum.Message
	cut     map[[2]quorum.NodeID]bool
	// committed is what any member has reported as committed.
	committed map[uint64]quorum.Entry
	loss      float64
	seed      uint64
	timing    quorum.Timing
	// leaders gives the member that was first seen leading in each term.
	leaders map[uint64]quorum.NodeID
}

const step = int64(5 * time.Millisecond)

func newGroup(t require.TestingT, n int, seed uint64, loss float64) *group {
	return newGroupWith(t, n, seed, loss, quorum.DefaultTiming)
}

func newGroupWith(t require.TestingT, n int, seed uint64, loss float64, timing quorum.Timing) *group {
	g := &group{
		t: t, timing: timing, rng: rand.New(rand.NewPCG(seed, 7)), now: int64(time.Hour), members: map[quorum.NodeID]*member{},
		cut: map[[2]quorum.NodeID]bool{}, committed: map[uint64]quorum.Entry{}, loss: loss, seed: seed,
		leaders: map[uint64]quorum.NodeID{},
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

func (g *group) add(id quorum.NodeID, list *quorum.Members) {
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

// start starts a member from its disk. If the machine crashes again meanwhile, the
// member stays down.
func (g *group) start(m *member) {
	j, stored, err := journal.Open(m.disk)
	if errors.Is(err, fake.ErrCrashed) {
		g.crash(m)
		return
	}
	require.NoError(g.t, err)
	m.j, m.down = j, false
	m.node = quorum.New(m.id, g.timing, g.rng.Uint64(), stored, g.local(m))
	m.base = stored.Snapshot.Index
	m.applied = nil
}

func (g *group) local(m *member) int64 {
	return int64(float64(g.now) * m.rate)
}

func (g *group) crash(m *member) {
	m.down = true
	m.disk.Crash(g.rng)
}

// run advances the group.
func (g *group) run(d time.Duration) {
	for end := g.now + int64(d); g.now < end; g.now += step {
		for _, id := range g.order {
			if m := g.members[id]; !m.down {
				m.node.Tick(g.local(m))
				g.ready(m)
			}
		}
		g.deliver()
		g.checkLeaders()
	}
}

// deliver hands over a random part of the messages in a random order.
func (g *group) deliver() {
	g.rng.Shuffle(len(g.wire), func(i, j int) { g.wire[i], g.wire[j] = g.wire[j], g.wire[i] })
	n := len(g.wire) - len(g.wire)/4
	now := g.wire[:n]
	g.wire = append([]quorum.Message(nil), g.wire[n:]...)
	for _, msg := range now {
		to := g.members[msg.To]
		if to == nil || to.down || g.cut[[2]quorum.NodeID{msg.From, msg.To}] || g.rng.Float64() < g.loss {
			continue
		}
		to.node.Step(msg, g.local(to))
		g.ready(to)
	}
}

func (g *group) ready(m *member) {
	for {
		r := m.node.Ready()
		if r.Empty() {
			return
		}
		if !g.save(m, &r) {
			g.crash(m)
			return
		}
		g.wire = append(g.wire, r.Messages...)
		for _, e := range r.Committed {
			g.commit(m, e)
		}
	}
}

func (g *group) save(m *member, r *quorum.Ready) bool {
	if m.j.Save(r.HardState, nil) != nil {
		return false
	}
	if r.Snapshot != nil {
		if m.j.SaveSnapshot(r.Snapshot, nil) != nil {
			return false
		}
		m.base, m.applied = r.Snapshot.Index, nil
	}
	return m.j.Save(nil, r.Entries) == nil
}

// commit checks that no two members ever apply different entries.
func (g *group) commit(m *member, e quorum.Entry) {
	m.applied = append(m.applied, e)
	require.Equal(g.t, m.base+uint64(len(m.applied)), e.Index, "entries are applied in order")
	if old, ok := g.committed[e.Index]; ok {
		require.Equal(g.t, old, e, "entry %d was committed with another content", e.Index)
	}
	g.committed[e.Index] = e
}

// checkLeaders checks that at most one member believes that it leads.
func (g *group) checkLeaders() {
	var leading []quorum.NodeID
	for _, id := range g.order {
		m := g.members[id]
		if m.down || !m.node.Leading(g.local(m)) {
			continue
		}
		leading = append(leading, id)
		term := m.node.Term()
		if first, ok := g.leaders[term]; ok {
			require.Equal(g.t, first, id, "two leaders in term %d", term)
		}
		g.leaders[term] = id
	}
	if g.timing.NoLease {
		return
	}
	require.LessOrEqual(g.t, len(leading), 1, "leaders with a lease: %v", leading)
}

func (g *group) leader() *member {
	for _, id := range g.order {
		if m := g.members[id]; !m.down && m.node.Leading(g.local(m)) {
			return m
		}
	}
	return nil
}

func (g *group) isolate(id quorum.NodeID, on bool) {
	for _, other := range g.order {
		g.cut[[2]quorum.NodeID{id, other}] = on
		g.cut[[2]quorum.NodeID{other, id}] = on
	}
}

func TestElection(t *testing.T) {
	for _, n := range []int{1, 3, 5, 7} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := newGroup(t, n, 1, 0)
			g.run(3 * time.Second)
			require.NotNil(t, g.leader())
		})
	}
}

func TestIsolatedLeaderStopsWithinItsLease(t *testing.T) {
	g := newGroup(t, 3, 2, 0)
	g.run(3 * time.Second)
	old := g.leader()
	require.NotNil(t, old)
	g.isolate(old.id, true)
	g.run(quorum.DefaultTiming.ElectionTimeout)
	require.False(t, old.node.Leading(g.local(old)))
	g.run(3 * time.Second)
	next := g.leader()
	require.NotNil(t, next)
	require.NotEqual(t, old.id, next.id)
	term := next.node.Term()
	g.isolate(old.id, false)
	g.run(2 * time.Second)
	require.Equal(t, term, g.leader().node.Term(), "a node that was cut off must not disturb the others")
}

// TestLaggingCandidateRaisesNoTerm lets a node without the latest entries stand
// for election again and again. Its rejected attempts must raise no term, or it
// keeps the others from electing a leader.
func TestLaggingCandidateRaisesNoTerm(t *testing.T) {
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

func TestEqualHalvesElectNobody(t *testing.T) {
	g := newGroup(t, 4, 3, 0)
	for _, a := range []quorum.NodeID{1, 2} {
		for _, b := range []quorum.NodeID{3, 4} {
			g.cut[[2]quorum.NodeID{a, b}] = true
			g.cut[[2]quorum.NodeID{b, a}] = true
		}
	}
	g.run(10 * time.Second)
	require.Nil(t, g.leader())
	require.Empty(t, g.committed)
}

func TestCommittedSurvivesFullStop(t *testing.T) {
	g := newGroup(t, 3, 4, 0)
	g.run(3 * time.Second)
	for i := range 300 {
		_, _, err := g.leader().node.Propose([]byte(fmt.Sprint(i)))
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

// TestLostDisk replaces a member that lost its disk by a learner that catches up
// from a snapshot before it votes.
func TestLostDisk(t *testing.T) {
	g := newGroup(t, 3, 5, 0.01)
	g.run(3 * time.Second)
	for i := range 50 {
		_, _, err := g.leader().node.Propose([]byte(fmt.Sprint(i)))
		require.NoError(t, err)
		g.run(20 * time.Millisecond)
	}
	lead := g.leader()
	s := lead.node.Snapshot([]byte("state"))
	require.NoError(t, lead.j.SaveSnapshot(s, lead.node.EntriesAfter(s.Index)))
	lead.node.Compact(s)
	lost := g.order[0]
	if lost == lead.id {
		lost = g.order[1]
	}
	g.members[lost].down = true
	g.add(9, nil)
	g.run(2 * time.Second)
	require.Zero(t, g.members[9].node.CommitIndex(), "a node that nobody took in has no entries")
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

func TestMembersChangeOneAtATime(t *testing.T) {
	g := newGroup(t, 3, 6, 0)
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

// TestAgreement checks, under random crashes, cuts, losses and failed writes,
// that committed entries never differ, that at most one leader holds a lease,
// and that the group works again afterwards.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 5}).Draw(t, "nodes")
		g := newGroup(t, n, rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.2).Draw(t, "loss"))
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
					_, _, err := m.node.Propose([]byte(fmt.Sprint(g.now)))
					require.NoError(t, err)
				}
			}
			g.run(time.Duration(rapid.IntRange(5, 700).Draw(t, "millis")) * time.Millisecond)
		}
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
		require.NotNil(t, g.leader(), "the group works again")
		for index := uint64(1); index <= uint64(len(g.committed)); index++ {
			require.Contains(t, g.committed, index)
		}
	})
}
