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
	// Unseen is the number of flows that the other entry instances place for each backend
	// server before their sums are renewed.
	Unseen float64
	// Instances is the number of entry instances that place flows on the same servers.
	Instances int
}

const (
	// SampleSize is the number of candidates that a choice looks at. With three servers in
	// ten unusable, all of a sample are in 0.007 % of the choices.
	SampleSize = 8
	// maxSamples is the number of samples that are looked at while none has a candidate of
	// the best rank.
	maxSamples = 4
	// Of several draws the one on which this instance has the least load is taken. That is
	// fresh, unlike the sums, and says the more the fewer instances there are: with three,
	// one draw had twice as many late answers in a burst as five; with 42, five had half as
	// many rejections again as three.
	fewDraws, manyDraws, fewInstances = 3, 5, 8
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
	// Slower is the time by which it runs longer there than expected of its route, because
	// the server is slow or cold.
	Slower time.Duration
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
	var s sample
	for range maxSamples {
		d := min(n, SampleSize)
		if d == 0 {
			break
		}
		start := index(next(&random), n)
		for k := range d {
			// One of each d-th part of the list, so that none is drawn twice.
			from, to := k*n/d, (k+1)*n/d
			i := (start + from + index(next(&random), to-from)) % n
			if c := g.At(i); !c.Draining {
				s.add(&c, i, r)
			}
		}
		if (s.n > 0 && s.rank == 0) || n <= SampleSize {
			break
		}
	}
	if s.n > 0 {
		k := s.draw(r, next(&random))
		c := &s.list[k]
		slower := time.Duration(c.step*float64(c.slots)) - r.Work
		best = Choice{c.index, time.Duration(c.wait), max(0, slower), s.rank == 0}
	}
	return best
}

// sample holds the candidates of the best rank that a choice has looked at, by the expected
// time to the answer.
type sample struct {
	list [SampleSize]sampled
	n    int
	rank int
}

type sampled struct {
	index int
	wait  float64
	// total is the measure by which candidates are compared, and step that by which a flow
	// raises it.
	total, step float64
	// own is the part of the total that this instance has brought.
	own   float64
	cold  bool
	slots int
}

func (s *sample) add(c *WorkCandidate, i int, r *Request) {
	rank := c.rank()
	if s.n > 0 && rank > s.rank {
		return
	}
	if rank < s.rank {
		s.n = 0
	}
	if s.n == 0 {
		s.rank = rank
	}
	v := sampled{index: i, cold: c.Warmup > 0, slots: max(1, c.Slots)}
	v.wait, v.total, v.step = c.expect(r)
	v.own = (float64(c.Remaining) + float64(max(0, c.Flows-c.Pending))*float64(r.IdleWork)) * v.step
	k := s.n
	if k == len(s.list) {
		if k--; s.list[k].total <= v.total {
			return
		}
	} else {
		s.n++
	}
	for ; k > 0 && s.list[k-1].total > v.total; k-- {
		s.list[k] = s.list[k-1]
	}
	s.list[k] = v
}

// draw returns an element of the sample. Other instances, which see the same sums, place
// unseen flows for each candidate before these sums are renewed. If all instances draw
// with weights that bring the candidates up to the same level, the flows are spread as if one
// instance had placed them one after the other.
func (s *sample) draw(r *Request, random uint64) int {
	flows := r.Unseen * float64(s.n)
	// The level of the first k candidates, which the unseen flows raise to it.
	level, sum, rate := 0.0, 0.0, 0.0
	k := 0
	for ; k < s.n; k++ {
		c := &s.list[k]
		// A cold server takes no part of the flows that others can bear.
		if k > 0 && (c.total >= level || c.cold) {
			break
		}
		sum += c.total / c.step
		rate += 1 / c.step
		level = (flows + sum) / rate
	}
	best, bestOwn := 0, 0.0
	draws := manyDraws
	if r.Instances > fewInstances {
		draws = fewDraws
	}
	for try := range draws {
		at := float64(next(&random)>>11) / (1 << 53) * flows
		i := 0
		for ; i < k-1; i++ {
			if at -= s.list[i].share(level); at < 0 {
				break
			}
		}
		if own := s.list[i].own / s.list[i].share(level); try == 0 || own < bestOwn {
			best, bestOwn = i, own
		}
	}
	return best
}

// share returns the number of flows that raise the candidate to the level.
func (c *sampled) share(level float64) float64 {
	return max(1e-6, (level-c.total)/c.step)
}

// expect returns the time for which a new request waits, and a measure of the time to its
// answer by which candidates are compared: it counts work also while a slot is free,
// because the next request may need it.
func (c *WorkCandidate) expect(r *Request) (wait, total, step float64) {
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
	// Idle flows are compared, but don't make the request wait: what they bring comes later.
	wait = max(0, queued-(slots-1)*float64(r.MeanWork)) * slow / slots
	backlog := (queued + float64(idle)*float64(r.IdleWork)) * slow
	run := max(1, float64(r.Work)*slow)
	return wait, backlog/slots + run, run / slots
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
