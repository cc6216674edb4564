package place

import (
	"math/bits"
	"time"
)

// WorkCandidate is a backend server as ChooseByWork sees it.
type WorkCandidate struct {
	Candidate
	// Remaining is the expected remaining work of the own pending requests.
	Remaining time.Duration
	// Slowness is the time that a request takes there, relative to its route's expectation;
	// zero if unknown.
	Slowness float64
	// Backlog is at least the work that the server is known to have, whatever is pending: it
	// rejected a request lately.
	Backlog time.Duration
}

// Group is the backend servers of a service in an availability zone. ChooseByWork reads a
// bounded number of them.
type Group interface {
	Len() int
	At(i int) WorkCandidate
}

// Request is what is expected of a new flow and of the others of its service.
type Request struct {
	// Work is the expected work of the flow's request.
	Work time.Duration
	// MeanWork is that of the service's requests.
	MeanWork time.Duration
	// IdleWork is the work that an open flow without a pending request brings within the
	// horizon for which a choice counts.
	IdleWork time.Duration
}

const (
	// sampleSize is the number of candidates that a choice looks at. With three servers in
	// ten unusable, all of a sample are in 0.007 % of the choices.
	sampleSize = 8
	// maxSamples is the number of samples that are looked at while none has a candidate of
	// the best rank.
	maxSamples = 4
)

// WorkHorizon is the time for which the work that idle flows bring counts: about that of a
// few requests, within which a new flow's first request runs.
const WorkHorizon = 100 * time.Millisecond

// Choice is the result of ChooseByWork.
type Choice struct {
	// Index is that of the candidate, or -1 if none of the sample takes new flows.
	Index int
	// Wait is the time for which the request is expected to wait there.
	Wait time.Duration
	// Reachable is set if the candidate is neither silent nor suspect.
	Reachable bool
}

// ChooseByWork chooses the candidate on which a new flow's request is expected to be answered
// first. It looks at a sample of constant size, which differs from
// one random number to the next: instances that see the same sums don't all choose the same
// server.
func ChooseByWork(g Group, r *Request, random uint64) Choice {
	n := g.Len()
	best := Choice{Index: -1}
	bestRank, bestTotal := 0, 0.0
	for range maxSamples {
		d := min(n, sampleSize)
		if d == 0 {
			return best
		}
		start := index(next(&random), n)
		for k := range d {
			// One of each d-th part of the list, so that none is drawn twice.
			from, to := k*n/d, (k+1)*n/d
			i := (start + from + index(next(&random), to-from)) % n
			c := g.At(i)
			if c.Draining {
				continue
			}
			w, total := c.expect(r)
			if rank := c.rank(); best.Index < 0 || rank < bestRank || (rank == bestRank && total < bestTotal) {
				best = Choice{i, time.Duration(w), rank == 0}
				bestRank, bestTotal = rank, total
			}
		}
		if best.Reachable || n <= sampleSize {
			break
		}
	}
	return best
}

// expect returns the time for which a new request waits, and a measure of the time to its
// answer by which candidates are compared: it counts work also while a slot is free,
// because the next request may need it.
func (c *WorkCandidate) expect(r *Request) (wait, total float64) {
	slots := float64(max(1, c.Slots))
	slow := c.Slowness
	if slow == 0 {
		slow = 1
	}
	if c.Warmup > 0 {
		slow *= warmupPercent / 100
	}
	pending := c.Pending + c.OthersPending
	idle := max(0, c.Flows+c.OthersFlows-pending)
	queued := float64(c.Remaining) + float64(c.OthersPending)*float64(r.MeanWork)
	queued = max(queued, float64(c.Backlog))
	backlog := (queued + float64(idle)*float64(r.IdleWork)) * slow
	wait = max(0, backlog-(slots-1)*float64(r.MeanWork)*slow) / slots
	return wait, backlog/slots + float64(r.Work)*slow
}

// next returns a random number derived from state, and advances it (SplitMix64).
func next(state *uint64) uint64 {
	*state += 0x9e3779b97f4a7c15
	z := *state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// index maps a random number to [0, n).
func index(random uint64, n int) int {
	hi, _ := bits.Mul64(random, uint64(n))
	return int(hi)
}
