package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/coordination/place"
)

// group is a place.Group of candidates.
type group []place.WorkCandidate

func (g group) Len() int                     { return len(g) }
func (g group) At(i int) place.WorkCandidate { return g[i] }
func request(instances int) *place.Request {
	const work = 30 * time.Millisecond
	return &place.Request{Work: work, MeanWork: work, IdleWork: 3 * time.Millisecond, Unseen: float64(instances) / 10, Instances: instances}
}

// TestNoHerd guards against instances that all choose the same of several idle servers.
func TestNoHerd(t *testing.T) {
	g := make(group, 40)
	count := map[int]int{}
	for random := range uint64(4000) {
		count[place.ChooseByWork(g, request(42), random).Index]++
	}
	for _, n := range count {
		require.Less(t, n, 180)
	}
	require.Len(t, count, 40)
}

// TestSpillKeepsRoom guards against two crowded zones that both take the same room: all
// instances together send no more work than fits beside the zone's own.
func TestSpillKeepsRoom(t *testing.T) {
	const instances, slots, own = 42, 80, 16
	r := request(instances)
	sent := time.Duration(0)
	for range 2 {
		var s place.Spill
		for now := int64(0); now < int64(4*time.Second); now += int64(time.Millisecond) {
			if now%int64(250*time.Millisecond) == 0 {
				other := place.ZoneState{Slots: slots, Pending: own, Usable: true}
				crowded := place.ZoneState{Slots: slots, Pending: 5 * slots, Latency: 200 * time.Millisecond, Usable: true}
				s.Update(crowded, []place.ZoneState{other, crowded}, instances, r.MeanWork, now)
			}
			for s.Choose(r, place.Choice{Wait: 200 * time.Millisecond}, uint64(now), now) >= 0 {
				sent += instances * r.Work
			}
		}
	}
	require.Greater(t, sent.Seconds()/4, 0.2*slots)
	require.LessOrEqual(t, sent.Seconds()/4+own, 0.85*slots)
}

// BenchmarkChooseByWork must not depend on the number of servers.
func BenchmarkChooseByWork(b *testing.B) {
	for _, n := range []int{40, 400, 4800} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var g place.Group = make(group, n)
			r := request(42)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				place.ChooseByWork(g, r, uint64(i))
			}
		})
	}
}
