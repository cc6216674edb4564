package place_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail/coordination/place"
)

const usual = 25 * time.Millisecond

func local() place.Candidate {
	return place.Candidate{Slots: 2, Latency: usual, Local: true}
}

// with returns a local candidate after f has changed it.
func with(f func(c *place.Candidate)) place.Candidate {
	c := local()
	f(&c)
	return c
}

func TestChoose(t *testing.T) {
	tests := []struct {
		name string
		list []place.Candidate
		want int
	}{
		{"nobody", nil, -1},
		{"all draining", []place.Candidate{with(func(c *place.Candidate) { c.Draining = true })}, -1},
		{"one", []place.Candidate{local()}, 0},
		{"fewer waiting", []place.Candidate{with(func(c *place.Candidate) { c.Waiting, c.Flows = 2, 2 }), local()}, 1},
		{"fewer idle flows", []place.Candidate{with(func(c *place.Candidate) { c.Flows = 2 }), local()}, 1},
		{"a waiting request counts more than an idle flow", []place.Candidate{
			with(func(c *place.Candidate) { c.Flows = 3 }), with(func(c *place.Candidate) { c.Flows, c.Waiting = 1, 1 }),
		}, 0},
		{"more slots", []place.Candidate{
			with(func(c *place.Candidate) { c.Waiting = 1 }), with(func(c *place.Candidate) { c.Waiting, c.Slots = 2, 8 }),
		}, 1},
		{"not the draining one", []place.Candidate{
			with(func(c *place.Candidate) { c.Draining = true }), with(func(c *place.Candidate) { c.Waiting = 50 }),
		}, 1},
		{"not the silent one", []place.Candidate{
			with(func(c *place.Candidate) { c.Silent = true }), with(func(c *place.Candidate) { c.Waiting = 50 }),
		}, 1},
		{"the silent one if nobody else", []place.Candidate{with(func(c *place.Candidate) { c.Silent = true })}, 0},
		{"not one that left an opening packet unanswered", []place.Candidate{
			with(func(c *place.Candidate) { c.Misses = 1 }), with(func(c *place.Candidate) { c.Waiting = 50 }),
		}, 1},
		{"one that did so long ago", []place.Candidate{
			with(func(c *place.Candidate) { c.Misses, c.SinceMiss = 1, 2*time.Second }), with(func(c *place.Candidate) { c.Waiting = 50 }),
		}, 0},
		{"silence that both tell weighs most", []place.Candidate{
			with(func(c *place.Candidate) { c.Silent, c.Misses = true, 1 }), with(func(c *place.Candidate) { c.Misses = 1 }),
		}, 1},
		{"own zone", []place.Candidate{with(func(c *place.Candidate) { c.Local = false }), with(func(c *place.Candidate) { c.Waiting = 3 })}, 1},
		{"another zone once the own one is overloaded", []place.Candidate{
			with(func(c *place.Candidate) { c.Local = false }), with(func(c *place.Candidate) { c.Waiting = 9 }),
		}, 0},
		{"a slow one gets less", []place.Candidate{
			with(func(c *place.Candidate) { c.Latency = 5 * usual }), with(func(c *place.Candidate) { c.Waiting = 1 }),
		}, 1},
		{"a cold one gets less", []place.Candidate{
			with(func(c *place.Candidate) { c.Warmup = time.Second }), with(func(c *place.Candidate) { c.Flows = 2 }),
		}, 1},
		{"an idle cold one comes after a warm one with a request waiting behind each slot", []place.Candidate{
			with(func(c *place.Candidate) { c.Warmup = time.Second }), with(func(c *place.Candidate) { c.Flows, c.Waiting = 4, 4 }),
		}, 1},
		{"an idle cold one comes before an idle one in another zone", []place.Candidate{
			with(func(c *place.Candidate) { c.Warmup = time.Second }), with(func(c *place.Candidate) { c.Local = false }),
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for random := range uint64(5) {
				require.Equal(t, tt.want, place.Choose(tt.list, random))
			}
		})
	}
}

// TestChooseNeverDrains holds for all candidates.
func TestChooseNeverDrains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []place.Candidate
		usable := false
		for range rapid.IntRange(0, 8).Draw(t, "n") {
			c := place.Candidate{
				Slots: rapid.IntRange(0, 16).Draw(t, "slots"), Waiting: rapid.IntRange(0, 1000).Draw(t, "waiting"),
				Flows: rapid.IntRange(0, 100000).Draw(t, "flows"), Latency: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "latency")),
				Misses: rapid.IntRange(0, 100).Draw(t, "misses"), Silent: rapid.Bool().Draw(t, "silent"),
				Draining: rapid.Bool().Draw(t, "draining"), Local: rapid.Bool().Draw(t, "local"),
			}
			usable = usable || !c.Draining
			list = append(list, c)
		}
		i := place.Choose(list, rapid.Uint64().Draw(t, "random"))
		require.Equal(t, usable, i >= 0)
		if i >= 0 {
			require.False(t, list[i].Draining)
		}
	})
}

// replay is a load on one service: entry instances that see their own flows only
// place requests of the given length on backend servers.
type replay struct {
	entries, backends int
	// rate is the number of requests in each millisecond.
	rate float64
	// speed is the time that a request takes on each backend server.
	speed func(backend int) time.Duration
	// choose places a request.
	choose func(list []place.Candidate, random uint64) int
}

const replaySlots = 2

// run returns the time of each answer, in order of length.
func (r *replay) run(seed uint64) []time.Duration {
	rng := rand.New(rand.NewPCG(seed, 1))
	type request struct {
		entry int
		began time.Duration
		ends  time.Duration
	}
	busy := make([][]request, r.backends)
	free := make([][replaySlots]time.Duration, r.backends)
	latency := make([][]time.Duration, r.entries)
	for e := range latency {
		latency[e] = make([]time.Duration, r.backends)
	}
	var took []time.Duration
	for now := time.Duration(0); now < 5*time.Second; now += time.Millisecond {
		for b := range busy {
			busy[b] = slices.DeleteFunc(busy[b], func(q request) bool {
				if q.ends > now {
					return false
				}
				span := q.ends - q.began
				took = append(took, span)
				l := &latency[q.entry][b]
				*l += (span - *l) / 8
				return true
			})
		}
		for range poisson(rng, r.rate) {
			e := rng.IntN(r.entries)
			list := make([]place.Candidate, r.backends)
			for b := range list {
				waiting := 0
				for _, q := range busy[b] {
					if q.entry == e {
						waiting++
					}
				}
				list[b] = place.Candidate{Slots: replaySlots, Waiting: waiting, Flows: waiting, Latency: latency[e][b], Local: true}
			}
			b := r.choose(list, rng.Uint64())
			slot := 0
			if free[b][1] < free[b][0] {
				slot = 1
			}
			ends := max(now, free[b][slot]) + time.Duration(rng.ExpFloat64()*float64(r.speed(b)))
			free[b][slot] = ends
			busy[b] = append(busy[b], request{entry: e, began: now, ends: ends})
		}
	}
	slices.Sort(took)
	return took
}

func poisson(rng *rand.Rand, mean float64) int {
	n, at := 0, rng.ExpFloat64()
	for at < mean {
		n++
		at += rng.ExpFloat64()
	}
	return n
}

func hashed(list []place.Candidate, random uint64) int {
	return int(random % uint64(len(list)))
}

// TestReplayedLoads compares the choice with hashing on the loads that it is
// for: its slowest answers must come sooner.
func TestReplayedLoads(t *testing.T) {
	even := func(int) time.Duration { return usual }
	oneSlow := func(b int) time.Duration {
		if b == 0 {
			return 5 * usual
		}
		return usual
	}
	tests := []struct {
		name  string
		rate  float64
		speed func(int) time.Duration
	}{
		{"steady load of a third of the slots", 0.107, even},
		{"callers moved here from another zone, two thirds", 0.213, even},
		{"one slow backend server of four", 0.107, oneSlow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := replay{entries: 4, backends: 4, rate: tt.rate, speed: tt.speed, choose: hashed}
			base := r.run(7)
			r.choose = place.Choose
			got := r.run(7)
			p99 := func(list []time.Duration) time.Duration { return list[len(list)*99/100] }
			t.Logf("hashed p50 %s p99 %s, chosen p50 %s p99 %s", base[len(base)/2], p99(base), got[len(got)/2], p99(got))
			require.Less(t, p99(got), p99(base))
		})
	}
}
