package exchange

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// The zone of the placement replay: as many entry instances and backend servers as in a
// zone of a deployment of 133 entry instances, a flow for each request.
const (
	placeInstances = 43
	placeServers   = 50
	placeSlots     = 2
	placeQueue     = 8
	placeWork      = 30 * time.Millisecond
	placeTarget    = 400 * time.Millisecond
	placeSpan      = 60 * time.Second
	subsetSize     = 10
	slowFactor     = 6
)

// Knowledge is what an entry instance places by.
type Knowledge struct {
	Name string
	// Refresh is the time between two views of the load of others; zero means that the
	// instance sees only its own.
	Refresh time.Duration
	// Exact means that the load of others is always known.
	Exact bool
	// Subset means that the instance uses subsetSize backend servers only.
	Subset bool
	// Two means that it takes the better of two at random, not the best of all.
	Two bool
	// Mean means that the means since the last view are shared, not the present numbers.
	Mean bool
}

// Knowledges returns the kinds of knowledge that are compared.
func Knowledges() []Knowledge {
	return []Knowledge{
		{Name: "own flows"},
		{Name: "own flows, subset of ten", Subset: true},
		{Name: "shared every 250 ms", Refresh: reportInterval},
		{Name: "shared every 250 ms, best of two", Refresh: reportInterval, Two: true},
		{Name: "means shared every 250 ms", Refresh: reportInterval, Mean: true},
		{Name: "means shared every 250 ms, best of two", Refresh: reportInterval, Mean: true, Two: true},
		{Name: "reported by servers every 1.2 s", Refresh: serverInterval},
		{Name: "reported by servers, best of two", Refresh: serverInterval, Two: true},
		{Name: "exact", Exact: true},
	}
}

// Outcome is what callers get.
type Outcome struct {
	// Late is the share of answers after the target, Rejected that of requests which found
	// the queue full.
	Late, Rejected float64
	P99            time.Duration
	// Busiest is the busiest backend server's share of a second's requests, times the
	// number of servers: the mean over the seconds.
	Busiest float64
}

// placement is a run of the placement replay.
type placement struct {
	Knowledge
	rng   *rand.Rand
	queue events
	// pending is the number of requests on a server, and own that of each instance.
	pending [placeServers]int
	own     [placeInstances][placeServers]int
	// others is each instance's view of the load of others.
	others [placeInstances][placeServers]float64
	// slow holds the servers that take slowFactor times as long.
	slow [placeServers]bool
	// totals and owns hold the integral over time of pending and own, and last the times
	// up to which; seen is what an instance's last view was made of.
	totals  [placeServers]integral
	owns    [placeInstances][placeServers]integral
	seen    [placeInstances][placeServers]float64
	subsets [placeInstances][]int
	// free holds, by server and slot, when it is free.
	free    [placeServers][placeSlots]int64
	times   []time.Duration
	late    int
	reject  int
	arrived [placeServers]int
	busiest []float64
}

// integral is the integral over time of a number, in seconds.
type integral struct {
	value int
	sum   float64
	at    int64
}

func (i *integral) add(n int, now int64) {
	i.sum += float64(i.value) * float64(now-i.at) / 1e9
	i.value, i.at = i.value+n, now
}

// Place replays a minute at a load, which is the share of the slots that the requests need,
// with a share of the backend servers that take slowFactor times as long.
func Place(k Knowledge, utilization, slow float64) *Outcome {
	p := &placement{Knowledge: k, rng: rand.New(rand.NewPCG(1, 2))}
	capacity := 0.0
	for s := range placeServers {
		p.slow[s] = s < int(slow*placeServers)
		capacity += placeSlots / p.work(s)
	}
	for i := range placeInstances {
		p.subsets[i] = p.rng.Perm(placeServers)
		if k.Subset {
			p.subsets[i] = p.subsets[i][:subsetSize]
		}
		if k.Refresh > 0 {
			p.at(p.rng.Int64N(int64(k.Refresh)), func(now int64) error { return p.refresh(i, now) })
		}
	}
	rate := utilization * capacity
	p.at(0, func(now int64) error { return p.arrive(rate, now) })
	p.at(int64(time.Second), p.second)
	for len(p.queue) > 0 && p.queue[0].at < int64(placeSpan) {
		e := p.queue.next()
		_ = e.run(e.at)
	}
	n := float64(len(p.times) + p.reject)
	slices.Sort(p.times)
	sum := 0.0
	for _, b := range p.busiest {
		sum += b
	}
	return &Outcome{
		Late: float64(p.late) / n, Rejected: float64(p.reject) / n, P99: p.times[len(p.times)*99/100],
		Busiest: sum / float64(len(p.busiest)),
	}
}

func (p *placement) at(at int64, run func(now int64) error) {
	heap.Push(&p.queue, event{at, run})
}

// count adds an instance's requests on a server.
func (p *placement) count(i, s, n int, now int64) {
	p.pending[s] += n
	p.own[i][s] += n
	p.totals[s].add(n, now)
	p.owns[i][s].add(n, now)
}

func (p *placement) refresh(i int, now int64) error {
	for s := range placeServers {
		p.others[i][s] = float64(p.pending[s] - p.own[i][s])
		if p.Mean {
			p.totals[s].add(0, now)
			p.owns[i][s].add(0, now)
			sum := p.totals[s].sum - p.owns[i][s].sum
			p.others[i][s] = (sum - p.seen[i][s]) / p.Refresh.Seconds()
			p.seen[i][s] = sum
		}
	}
	p.at(now+int64(p.Refresh), func(now int64) error { return p.refresh(i, now) })
	return nil
}

// second records the busiest server of the last second.
func (p *placement) second(now int64) error {
	sum := 0
	for _, n := range p.arrived {
		sum += n
	}
	p.busiest = append(p.busiest, float64(slices.Max(p.arrived[:])*placeServers)/float64(max(1, sum)))
	p.arrived = [placeServers]int{}
	p.at(now+int64(time.Second), p.second)
	return nil
}

func (p *placement) loadOf(i, s int) float64 {
	if p.Exact {
		return float64(p.pending[s])
	}
	return float64(p.own[i][s]) + p.others[i][s]
}

// work returns the mean time of a request on a server, in seconds.
func (p *placement) work(s int) float64 {
	if p.slow[s] {
		return slowFactor * placeWork.Seconds()
	}
	return placeWork.Seconds()
}

// choose returns the server with the least load that the instance sees, ties by chance.
func (p *placement) choose(i int) int {
	list := p.subsets[i]
	first := p.rng.IntN(len(list))
	if p.Two {
		a, b := list[first], list[p.rng.IntN(len(list))]
		if p.loadOf(i, b) < p.loadOf(i, a) {
			return b
		}
		return a
	}
	best := list[first]
	for k := range list {
		if s := list[(first+k)%len(list)]; p.loadOf(i, s) < p.loadOf(i, best) {
			best = s
		}
	}
	return best
}

// arrive places a request and draws the time of the next.
func (p *placement) arrive(rate float64, now int64) error {
	p.at(now+int64(p.rng.ExpFloat64()/rate*1e9), func(now int64) error { return p.arrive(rate, now) })
	i := p.rng.IntN(placeInstances)
	s := p.choose(i)
	p.arrived[s]++
	if p.pending[s] >= placeSlots+placeQueue {
		p.reject++
		return nil
	}
	p.count(i, s, 1, now)
	slot := 0
	for k, free := range p.free[s] {
		if free < p.free[s][slot] {
			slot = k
		}
	}
	end := max(now, p.free[s][slot]) + int64(p.rng.ExpFloat64()*p.work(s)*1e9)
	p.free[s][slot] = end
	p.at(end, func(now int64) error {
		p.count(i, s, -1, now)
		return nil
	})
	took := time.Duration(end - now)
	p.times = append(p.times, took)
	if took > placeTarget {
		p.late++
	}
	return nil
}
