package overload_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/coordination/overload"
)

// The simulated load: an instance that can handle three packets in ten milliseconds
// receives twice as many for four seconds.
const (
	packetsPer10ms = 3
	batchSize      = 64
	loadMS         = 8000
	surgeFrom      = 1000
	surgeUntil     = 5000
	// requestTimeoutMS is a caller's timeout for a request, and openTimeoutMS the time
	// after which it gives up a flow whose opening packets were left unanswered.
	requestTimeoutMS = 1200
	openTimeoutMS    = 1400
	// openFlows are kept open by callers that pause for pauseMS between requests of
	// two packets each.
	openFlows = 50
	pauseMS   = 500
	// newFlowIntervalMS is the mean time between two new flows. Each carries one request
	// of shortPackets packets, the opening one included. The surge multiplies their rate
	// by surgeFactor.
	newFlowIntervalMS = 50.0
	shortPackets      = 5
	surgeFactor       = 4
)

// request is a request on an open flow, or a new flow with its only request.
type request struct {
	startedAt   int
	packetsLeft int
	onOpenFlow  bool
}

// packet is a packet queued in front of the instance.
type packet struct {
	req *request
	// copy numbers a flow's opening packet and its retransmissions from one; it is zero
	// for other packets.
	copy int
}

// results counts the requests that were answered in time, and all requests.
type results struct{ onOpenFlows, onNewFlows, total int }

// replay simulates the load. With shed set, new flows are refused while the detector
// reports overload.
func replay(shed bool) results {
	rng := rand.New(rand.NewPCG(1, 1))
	var res results
	var queue []packet
	timers := map[int][]func(){}
	now := 0
	var sendRequest func()
	sendRequest = func() {
		res.total++
		queue = append(queue, packet{req: &request{startedAt: now, packetsLeft: 2, onOpenFlow: true}})
		next := now + pauseMS/2 + rng.IntN(pauseMS)
		timers[next] = append(timers[next], sendRequest)
	}
	for i := range openFlows {
		at := 1 + i*pauseMS/openFlows
		timers[at] = append(timers[at], sendRequest)
	}
	openFlow := func() {
		res.total++
		req := &request{startedAt: now, packetsLeft: shortPackets}
		for i, after := range []int{0, 200, 600} {
			timers[now+after] = append(timers[now+after], func() {
				if req.packetsLeft == shortPackets {
					queue = append(queue, packet{req, i + 1})
				}
			})
		}
	}
	var detector overload.Detector
	budget := 0.0
	for now = 1; now < loadMS; now++ {
		for _, f := range timers[now] {
			f()
		}
		rate := 1 / newFlowIntervalMS
		if now >= surgeFrom && now < surgeUntil {
			rate *= surgeFactor
		}
		if rng.Float64() < rate {
			openFlow()
		}
		if now%10 != 0 {
			continue
		}
		overloaded := detector.ObserveRead(len(queue) >= batchSize, int64(now)*ms)
		for budget += packetsPer10ms; budget >= 1 && len(queue) > 0; {
			p := queue[0]
			queue = queue[1:]
			req := p.req
			if shed && overloaded && p.copy > 0 && req.packetsLeft == shortPackets {
				// Refusing a flow costs a fraction of the work of placing it.
				budget -= 0.2
				req.packetsLeft = 0
				continue
			}
			budget--
			late := now-req.startedAt > requestTimeoutMS
			if (p.copy > 0 && (req.packetsLeft != shortPackets || now-req.startedAt > openTimeoutMS)) || late || req.packetsLeft == 0 {
				continue
			}
			req.packetsLeft--
			switch {
			case req.packetsLeft > 0:
				queue = append(queue, packet{req: req})
			case req.onOpenFlow:
				res.onOpenFlows++
			default:
				res.onNewFlows++
			}
		}
		budget = min(budget, packetsPer10ms)
	}
	return res
}

// TestSurge simulates a surge of new flows. Refusing new flows must let more requests
// be answered in time, on open flows and altogether.
func TestSurge(t *testing.T) {
	without, with := replay(false), replay(true)
	t.Logf("answered in time, of %d requests: %d on open flows, %d on new flows; when shedding new flows: %d, %d",
		with.total, without.onOpenFlows, without.onNewFlows, with.onOpenFlows, with.onNewFlows)
	require.Greater(t, with.onOpenFlows, without.onOpenFlows)
	require.Greater(t, with.onOpenFlows+with.onNewFlows, without.onOpenFlows+without.onNewFlows)
}
