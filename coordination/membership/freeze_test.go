package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail/coordination/membership"
)

// configApply is the platform's limit for applying a change.
const configApply = 3 * time.Second

// sizes are numbers of instances and of disks that may be lost.
var sizes = []struct{ instances, tolerated int }{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {8, 1}, {8, 2}}

// TestStopBesideFreeze guards against a stop that leaves its vote behind while the votes of frozen instances,
// which are back with their disks, are taken: once the stopped instance has ended, those that hold an acknowledged
// value lose their disks, and no leader is left.
func TestStopBesideFreeze(t *testing.T) {
	t.Parallel()
	for _, n := range sizes {
		for _, frozenFor := range []time.Duration{4 * time.Second, 8 * time.Second} {
			for count := 1; count <= n.instances/2; count++ {
				for offset := -200 * time.Millisecond; offset < frozenFor; offset += 300 * time.Millisecond {
					t.Run(fmt.Sprint(n, " ", count, " for ", frozenFor, " ", offset), func(t *testing.T) {
						t.Parallel()
						g := newGroup(t, n.instances, n.instances, 1, membership.Policy{Tolerated: n.tolerated, EvictAfter: evictAfter})
						others := g.followers()
						fresh := g.startSuccessors(others[:1])
						g.put()
						for _, in := range others[1 : 1+count] {
							g.freeze(in, time.Second, frozenFor)
						}
						g.after(time.Second+offset, func() { g.beginEnd(others[0]) })
						g.run(time.Second + max(0, offset))
						require.True(t, g.runUntil(recovery, func() bool { return !slices.Contains(g.instances, others[0]) }))
						require.Contains(t, g.instances, fresh[0])
						g.put()
						g.loseHolders(n.tolerated)
						g.run(frozenFor)
						g.recover()
					})
				}
			}
		}
	}
}

// TestLeaderKilledBesideReplacement guards against an acknowledgement that counts the vote of a removed instance: the
// leader is killed before that vote is taken, and loses its disk right after the acknowledgement, once the
// successor of the removed instance has had its time.
func TestLeaderKilledBesideReplacement(t *testing.T) {
	t.Parallel()
	const downFor = 3 * time.Second
	for _, n := range sizes {
		for _, lead := range []time.Duration{-time.Second, 100 * time.Millisecond, time.Second} {
			for kill := 200 * time.Millisecond; kill < catchUp; kill += 300 * time.Millisecond {
				t.Run(fmt.Sprint(n, " successor after ", lead, " kill ", kill), func(t *testing.T) {
					t.Parallel()
					g := newGroup(t, n.instances, n.instances, 1, membership.Policy{Tolerated: n.tolerated, EvictAfter: evictAfter})
					g.put()
					removed := g.followers()[0]
					successor := g.add(removed.peer.Zone)
					g.after(time.Second, func() { g.remove(removed) })
					g.after(time.Second+lead, func() { g.start(successor) })
					began := g.now + time.Second + max(0, lead)
					g.after(began-g.now+kill, func() { g.killLeaderFor(downFor) })
					g.run(began - g.now + catchUp)
					require.True(t, g.runUntil(recovery, g.allReachable))
					require.True(t, g.runUntil(configApply, g.tryPut))
					g.loseHolders(n.tolerated)
					g.recover()
				})
			}
		}
	}
}

// TestLeaderAfterFreezes draws freezes of instances that are back with their disks, beside planned stops and
// kills of the leader at any offset from each other, and the loss of the disks that hold an acknowledged value.
// "Losses may also overlap beyond it, as long as no more disks are lost than it allows. In that case, service may
// be suspended until recovery_s after all are back, but nothing acknowledged is lost" (DEPLOY.md, Losses).
func TestLeaderAfterFreezes(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 8).Draw(t, "instances")
		tolerated := rapid.IntRange(1, min(2, (n-1)/2)).Draw(t, "tolerated")
		x := overlaps{t: t, tolerated: tolerated}
		x.group = newGroup(t, n, n, rapid.Uint64().Draw(t, "seed"), membership.Policy{Tolerated: tolerated, EvictAfter: evictAfter})
		x.put()
		old := rapid.Permutation(slices.Clone(x.instances)).Draw(t, "old")[:rapid.IntRange(1, 2).Draw(t, "exchanged")]
		x.startSuccessors(old)
		x.put()
		const span = 8 * time.Second
		for range rapid.IntRange(1, n/2).Draw(t, "freezes") {
			in := x.instances[rapid.IntRange(0, len(x.instances)-1).Draw(t, "frozen")]
			x.freeze(in, x.draw("freeze", 0, span), x.draw("length", 100*time.Millisecond, span))
		}
		for _, in := range old {
			x.after(x.draw("stop", 0, span), func() { x.beginEnd(in) })
		}
		x.killLeaders(0, span)
		x.run(x.draw("value", 0, span))
		x.put()
		left := func() bool {
			return !slices.ContainsFunc(old, func(in *instance) bool { return slices.Contains(x.instances, in) })
		}
		require.True(t, x.runUntil(time.Minute, left))
		x.run(x.draw("pause", 0, 3*time.Second))
		x.put()
		x.loseHolders(tolerated)
		x.run(x.draw("rest", 0, 2*span))
		x.recover()
	})
}

// followers returns the instances that don't lead.
func (g *group) followers() []*instance {
	lead := g.leader()
	return slices.DeleteFunc(slices.Clone(g.instances), func(in *instance) bool { return in == lead })
}

// freeze plans a freeze of an instance after the offset.
func (g *group) freeze(in *instance, offset, length time.Duration) {
	g.after(offset, func() { in.frozen = true })
	g.after(offset+length, func() { in.frozen = false })
}

// tryPut proposes a value and reports whether it was acknowledged.
func (g *group) tryPut() bool {
	before := len(g.acked)
	g.put()
	return len(g.acked) > before
}

// loseHolders loses the disks of the leader and of others that hold the latest value, n in all.
func (g *group) loseHolders(n int) {
	lead := g.leader()
	list := slices.Clone(g.instances)
	slices.SortStableFunc(list, func(a, b *instance) int { return g.holds(b, lead) - g.holds(a, lead) })
	g.loseDisks(list[:n]...)
}

// holds returns 2 for the leader, 1 for another instance that has all that the leader has applied, and else 0.
func (g *group) holds(in, lead *instance) int {
	switch {
	case in == lead:
		return 2
	case lead != nil && !in.down && in.node.LastIndex() >= lead.node.AppliedIndex():
		return 1
	}
	return 0
}
