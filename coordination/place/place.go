// Package place chooses the backend server of a new flow from what an entry
// instance sees by itself. It holds no state: the same inputs and the same
// random number give the same choice.
package place

import "time"

// Candidate is a backend server as an entry instance sees it.
type Candidate struct {
	// Slots is the number of requests that it runs at the same time.
	Slots int
	// Waiting is the number of requests passed on to it that have no answer yet.
	Waiting int
	// Flows is the number of open flows on it.
	Flows int
	// Latency is the usual time from a request to its answer; zero if unknown.
	Latency time.Duration
	// Warmup is how much longer it is slow after its start.
	Warmup time.Duration
	// Misses is the number of opening packets in a row that it left unanswered.
	Misses int
	// SinceMiss is the time since the last of them.
	SinceMiss time.Duration
	// Silent is set while it doesn't report to control.
	Silent bool
	// Draining is set once it is leaving.
	Draining bool
	// Local is set if it is in the entry instance's availability zone.
	Local bool
}

// Weights of the choice.
const (
	// idleFlowPercent is what an open flow without a request counts for, in
	// percent of a waiting request: an idle feed asks again within seconds.
	idleFlowPercent = 15
	// warmupPercent is the load of a warming server in percent of the same load
	// on a warm one. An idle one still goes before an idle one in another zone.
	warmupPercent = 600
	// minSpeedPercent and maxSpeedPercent bound how far a server's latency,
	// relative to the others', counts.
	minSpeedPercent = 50
	maxSpeedPercent = 1000
	// remotePenaltyPercent is the load, in percent of a request in each slot, by
	// which a server in another zone must be better than a local one: crossing
	// zones costs two ways of latency and the bytes.
	remotePenaltyPercent = 300
)

// missHold is how long a server that left an opening packet unanswered is passed
// over; it doubles with each further one, up to maxMissHold.
const (
	missHold    = time.Second
	maxMissHold = 8 * time.Second
)

// Suspect reports whether the candidate has lately left an opening packet
// unanswered.
func (c *Candidate) Suspect() bool {
	if c.Misses == 0 {
		return false
	}
	hold := min(missHold<<min(c.Misses-1, 10), maxMissHold)
	return c.SinceMiss < hold
}

// rank orders candidates before their load does; the lowest is best.
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

// Choose returns the index of the best candidate, or -1 if none may take a new
// flow. Random breaks ties, so that entry instances that see the same don't all
// choose the same.
func Choose(list []Candidate, random uint64) int {
	usual := usualLatency(list)
	best, bestRank, bestLoad := -1, 0, int64(0)
	n := len(list)
	for k := range n {
		i := int((uint64(k) + random) % uint64(n))
		c := &list[i]
		if c.Draining {
			continue
		}
		rank, load := c.rank(), c.load(usual)
		if best < 0 || rank < bestRank || (rank == bestRank && load < bestLoad) {
			best, bestRank, bestLoad = i, rank, load
		}
	}
	return best
}

// load returns the expected load after one more flow, in hundredths of a request
// for each slot of a server of usual speed.
func (c *Candidate) load(usual time.Duration) int64 {
	requests := int64(c.Waiting)*100 + int64(max(0, c.Flows-c.Waiting))*idleFlowPercent + 100
	load := requests / int64(max(1, c.Slots))
	load = load * c.speed(usual) / 100
	if c.Warmup > 0 {
		load = load * warmupPercent / 100
	}
	if !c.Local {
		load += remotePenaltyPercent
	}
	return load
}

// speed returns the latency in percent of the usual one, within bounds.
func (c *Candidate) speed(usual time.Duration) int64 {
	if c.Latency == 0 || usual == 0 {
		return 100
	}
	return min(max(int64(c.Latency*100/usual), minSpeedPercent), maxSpeedPercent)
}

// usualLatency returns the mean latency of the candidates that have one.
func usualLatency(list []Candidate) time.Duration {
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
