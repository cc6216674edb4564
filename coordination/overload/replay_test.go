package overload_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/coordination/overload"
)

// The replayed load: an instance that can handle three packets in ten milliseconds
// gets twice that for four seconds.
const (
	handledIn10ms = 3
	batch         = 64
	loadMS        = 8000
	surgeFrom     = 1000
	surgeUntil    = 5000
	// limitMS is a caller's time limit for a request, and giveUpMS the time after
	// which it takes a flow for unanswered.
	limitMS  = 1200
	giveUpMS = 1400
	// openFlows are kept open by callers that pause for pauseMS between requests of
	// two packets each.
	openFlows = 50
	pauseMS   = 500
	// newFlowMS is the mean time between two new flows of one request, in packets
	// shortPackets with the first. In the surge they are surgeFactor times as many.
	newFlowMS    = 50.0
	shortPackets = 5
	surgeFactor  = 4
)

// exchange is a request, or the opening of a flow with one.
type exchange struct {
	began  int
	left   int
	isOpen bool
}

// queued is a packet before the instance.
type queued struct {
	x *exchange
	// copy numbers the opening packets of a flow from one, and is zero for others.
	copy int
}

// served counts requests that were answered in time.
type served struct{ open, short, of int }

// replay runs the load, turning new flows away if the gauge is to be used.
func replay(useGauge bool) served {
	rng := rand.New(rand.NewPCG(1, 1))
	var s served
	var queue []queued
	later := map[int][]func(){}
	now := 0
	var ask func()
	ask = func() {
		s.of++
		queue = append(queue, queued{x: &exchange{began: now, left: 2, isOpen: true}})
		next := now + pauseMS/2 + rng.IntN(pauseMS)
		later[next] = append(later[next], ask)
	}
	for i := range openFlows {
		at := 1 + i*pauseMS/openFlows
		later[at] = append(later[at], ask)
	}
	begin := func() {
		s.of++
		x := &exchange{began: now, left: shortPackets}
		for i, after := range []int{0, 200, 600} {
			later[now+after] = append(later[now+after], func() {
				if x.left == shortPackets {
					queue = append(queue, queued{x, i + 1})
				}
			})
		}
	}
	var gauge overload.Detector
	budget := 0.0
	for now = 1; now < loadMS; now++ {
		for _, f := range later[now] {
			f()
		}
		rate := 1 / newFlowMS
		if now >= surgeFrom && now < surgeUntil {
			rate *= surgeFactor
		}
		if rng.Float64() < rate {
			begin()
		}
		if now%10 != 0 {
			continue
		}
		overloaded := gauge.ObserveRead(len(queue) >= batch, int64(now)*ms)
		for budget += handledIn10ms; budget >= 1 && len(queue) > 0; {
			p := queue[0]
			queue = queue[1:]
			x := p.x
			if useGauge && overloaded && p.copy > 0 && x.left == shortPackets {
				// Turned away without the work of placing it.
				budget -= 0.2
				x.left = 0
				continue
			}
			budget--
			late := now-x.began > limitMS
			if (p.copy > 0 && (x.left != shortPackets || now-x.began > giveUpMS)) || late || x.left == 0 {
				continue
			}
			x.left--
			switch {
			case x.left > 0:
				queue = append(queue, queued{x: x})
			case x.isOpen:
				s.open++
			default:
				s.short++
			}
		}
		budget = min(budget, handledIn10ms)
	}
	return s
}

// TestSurge replays a surge of new flows: with new flows turned away, more requests
// are answered in time than without, and on open flows many more.
func TestSurge(t *testing.T) {
	without, with := replay(false), replay(true)
	t.Logf("in time, of %d requests: on open flows %d, others %d; with new flows turned away: %d, %d",
		with.of, without.open, without.short, with.open, with.short)
	require.Greater(t, with.open, without.open)
	require.Greater(t, with.open+with.short, without.open+without.short)
}
