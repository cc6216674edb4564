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

const requestTime = 25 * time.Millisecond

func local() place.Candidate {
	return place.Candidate{Slots: 2, Latency: requestTime, Local: true}
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
		{"no candidates", nil, -1},
		{"all draining", []place.Candidate{with(func(c *place.Candidate) { c.Draining = true })}, -1},
		{"one", []place.Candidate{local()}, 0},
		{"fewer pending requests", []place.Candidate{with(func(c *place.Candidate) { c.Pending, c.Flows = 2, 2 }), local()}, 1},
		{"fewer idle flows", []place.Candidate{with(func(c *place.Candidate) { c.Flows = 2 }), local()}, 1},
		{"a pending request counts more than an idle flow", []place.Candidate{
			with(func(c *place.Candidate) { c.Flows = 3 }), with(func(c *place.Candidate) { c.Flows, c.Pending = 1, 1 }),
		}, 0},
		{"more slots", []place.Candidate{
			with(func(c *place.Candidate) { c.Pending = 1 }), with(func(c *place.Candidate) { c.Pending, c.Slots = 2, 8 }),
		}, 1},
		{"not a draining one", []place.Candidate{
			with(func(c *place.Candidate) { c.Draining = true }), with(func(c *place.Candidate) { c.Pending = 50 }),
		}, 1},
		{"not a silent one", []place.Candidate{
			with(func(c *place.Candidate) { c.Silent = true }), with(func(c *place.Candidate) { c.Pending = 50 }),
		}, 1},
		{"a silent one if there is no other", []place.Candidate{with(func(c *place.Candidate) { c.Silent = true })}, 0},
		{"not one that left an opening packet unanswered", []place.Candidate{
			with(func(c *place.Candidate) { c.Misses = 1 }), with(func(c *place.Candidate) { c.Pending = 50 }),
		}, 1},
		{"one whose hold-down time is over", []place.Candidate{
			with(func(c *place.Candidate) { c.Misses, c.SinceMiss = 1, 2*time.Second }), with(func(c *place.Candidate) { c.Pending = 50 }),
		}, 0},
		{"one that is both silent and suspect comes last", []place.Candidate{
			with(func(c *place.Candidate) { c.Silent, c.Misses = true, 1 }), with(func(c *place.Candidate) { c.Misses = 1 }),
		}, 1},
		{"the local zone", []place.Candidate{with(func(c *place.Candidate) { c.Local = false }), with(func(c *place.Candidate) { c.Pending = 3 })}, 1},
		{"another zone once the local one is overloaded", []place.Candidate{
			with(func(c *place.Candidate) { c.Local = false }), with(func(c *place.Candidate) { c.Pending = 9 }),
		}, 0},
		{"a slow one gets less", []place.Candidate{
			with(func(c *place.Candidate) { c.Latency = 5 * requestTime }), with(func(c *place.Candidate) { c.Pending = 1 }),
		}, 1},
		{"a cold one gets less", []place.Candidate{
			with(func(c *place.Candidate) { c.Warmup = time.Second }), with(func(c *place.Candidate) { c.Flows = 2 }),
		}, 1},
		{"an idle cold one comes after a warm one with two pending requests for each slot", []place.Candidate{
			with(func(c *place.Candidate) { c.Warmup = time.Second }), with(func(c *place.Candidate) { c.Flows, c.Pending = 4, 4 }),
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

// TestChooseSkipsDraining checks that a candidate is chosen whenever one that isn't
// draining exists, and that it isn't draining.
func TestChooseSkipsDraining(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []place.Candidate
		usable := false
		for range rapid.IntRange(0, 8).Draw(t, "n") {
			c := place.Candidate{
				Slots: rapid.IntRange(0, 16).Draw(t, "slots"), Pending: rapid.IntRange(0, 1000).Draw(t, "pending"),
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

// replay simulates a load on one service: entry instances place requests on backend
// servers, and each knows its own flows only.
type replay struct {
	entries, backends int
	// rate is the mean number of requests per millisecond.
	rate float64
	// meanTime returns the mean time of a request on a backend server.
	meanTime func(backend int) time.Duration
	// choose places a request.
	choose func(list []place.Candidate, random uint64) int
}

const replaySlots = 2

// run returns the latencies of all answered requests, sorted.
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
				pending := 0
				for _, q := range busy[b] {
					if q.entry == e {
						pending++
					}
				}
				list[b] = place.Candidate{Slots: replaySlots, Pending: pending, Flows: pending, Latency: latency[e][b], Local: true}
			}
			b := r.choose(list, rng.Uint64())
			slot := 0
			if free[b][1] < free[b][0] {
				slot = 1
			}
			ends := max(now, free[b][slot]) + time.Duration(rng.ExpFloat64()*float64(r.meanTime(b)))
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

// TestReplayedLoads compares Choose with hashing: the 99th percentile of its latencies
// must be lower on each load.
func TestReplayedLoads(t *testing.T) {
	even := func(int) time.Duration { return requestTime }
	oneSlow := func(b int) time.Duration {
		if b == 0 {
			return 5 * requestTime
		}
		return requestTime
	}
	tests := []struct {
		name     string
		rate     float64
		meanTime func(int) time.Duration
	}{
		{"steady load of a third of the slots", 0.107, even},
		{"two thirds of the slots, after callers moved here from another zone", 0.213, even},
		{"one slow backend server of four", 0.107, oneSlow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := replay{entries: 4, backends: 4, rate: tt.rate, meanTime: tt.meanTime, choose: hashed}
			base := r.run(7)
			r.choose = place.Choose
			got := r.run(7)
			p99 := func(list []time.Duration) time.Duration { return list[len(list)*99/100] }
			t.Logf("hashed p50 %s p99 %s, chosen p50 %s p99 %s", base[len(base)/2], p99(base), got[len(got)/2], p99(got))
			require.Less(t, p99(got), p99(base))
		})
	}
}
