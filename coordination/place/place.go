// Package place chooses the backend server of a new flow from what an entry
// instance observes itself. It holds no state: the same inputs and the same random
// number give the same choice.
package place

import "time"

// Candidate is a backend server as an entry instance observes it.
type Candidate struct {
	// Slots is the number of requests that it runs at the same time.
	Slots int
	// Pending is the number of requests forwarded to it that have no answer yet.
	Pending int
	// Flows is the number of open flows on it.
	Flows int
	// Latency is the mean time from a request to its answer; zero if unknown.
	Latency time.Duration
	// Warmup is the remaining time for which it is slow after its start.
	Warmup time.Duration
	// Misses is the number of consecutive opening packets that it left unanswered.
	Misses int
	// SinceMiss is the time since the last of them.
	SinceMiss time.Duration
	// Silent is set while it sends no reports to control.
	Silent bool
	// Draining is set once it takes no new flows.
	Draining bool
	// Local is set if it is in the entry instance's availability zone.
	Local bool
	// OthersPending and OthersFlows are the same as Pending and Flows on behalf of the other
	// entry instances, as far as they are known; Choose doesn't use them.
	OthersPending, OthersFlows int
}

// Weights of the load.
const (
	// idleFlowPercent is the load of an open flow without a pending request, in
	// percent of a pending request: an idle feed sends the next one within seconds.
	idleFlowPercent = 15
	// warmupPercent is the load of a cold backend server in percent of the same load
	// on a warm one. An idle cold one is still preferred to an idle one in another
	// zone.
	warmupPercent = 600
	// minLatencyPercent and maxLatencyPercent limit the factor by which the latency
	// of a backend server weights its load, in percent of the mean latency.
	minLatencyPercent = 50
	maxLatencyPercent = 1000
	// remotePenaltyPercent is the load, in percent of a request in each slot, by
	// which a backend server in another zone must be better than a local one:
	// another zone costs latency in both directions and traffic between zones.
	remotePenaltyPercent = 300
)

// holdDown is how long a backend server that left an opening packet unanswered is
// avoided; it doubles with each further one, up to maxHoldDown.
const (
	holdDown    = time.Second
	maxHoldDown = 8 * time.Second
)

// Suspect reports whether the candidate has left an opening packet unanswered within
// the hold-down time.
func (c *Candidate) Suspect() bool {
	if c.Misses == 0 {
		return false
	}
	hold := min(holdDown<<min(c.Misses-1, 10), maxHoldDown)
	return c.SinceMiss < hold
}

// rank orders candidates; the lowest is best, and load decides between equal ranks.
func (c *Candidate) rank() int {
	switch {
	case c.Draining:
		return 3
	case c.Silent && c.Suspect():
		return 2
	case c.Silent || c.Suspect():
		return 1
	}
	return 0
}

// Choose returns the index of the best candidate, or -1 if none may take a new flow.
// Ties are broken by random, so that entry instances with the same observations don't
// all choose the same backend server.
func Choose(list []Candidate, random uint64) int {
	mean := meanLatency(list)
	best, bestRank, bestLoad := -1, 0, int64(0)
	n := len(list)
	for k := range n {
		i := int((uint64(k) + random) % uint64(n))
		c := &list[i]
		if c.Draining {
			continue
		}
		rank, load := c.rank(), c.load(mean)
		if best < 0 || rank < bestRank || (rank == bestRank && load < bestLoad) {
			best, bestRank, bestLoad = i, rank, load
		}
	}
	return best
}

// load returns the expected load after one more flow, in hundredths of a request for
// each slot of a backend server whose latency is the mean.
func (c *Candidate) load(mean time.Duration) int64 {
	requests := int64(c.Pending)*100 + int64(max(0, c.Flows-c.Pending))*idleFlowPercent + 100
	load := requests / int64(max(1, c.Slots))
	load = load * c.latencyPercent(mean) / 100
	if c.Warmup > 0 {
		load = load * warmupPercent / 100
	}
	if !c.Local {
		load += remotePenaltyPercent
	}
	return load
}

// latencyPercent returns the latency in percent of the mean, within the limits.
func (c *Candidate) latencyPercent(mean time.Duration) int64 {
	if c.Latency == 0 || mean == 0 {
		return 100
	}
	return min(max(int64(c.Latency*100/mean), minLatencyPercent), maxLatencyPercent)
}

// meanLatency returns the mean of the latencies that are known, or zero.
func meanLatency(list []Candidate) time.Duration {
	sum, n := time.Duration(0), time.Duration(0)
	for i := range list {
		if l := list[i].Latency; l > 0 {
			sum += l
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}
