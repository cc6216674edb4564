// Package exchange replays ways to share the load of backend servers among entry
// instances, in simulated time: how old the news is, how many bytes it takes and what
// placement gains from it.
package exchange

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/load"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/state/cluster"
)

// Timing of the replays, as in the programs.
const (
	reportInterval = 250 * time.Millisecond
	maxInterval    = 600 * time.Millisecond
	shareInterval  = 300 * time.Millisecond
	// serverInterval is the time between two reports of a backend server.
	serverInterval = 1200 * time.Millisecond
	callTimeout    = 400 * time.Millisecond
	// callOverhead is the size in bytes of the headers of a call's packets.
	callOverhead = 200
	span         = 10 * time.Second
	warmup       = 2 * time.Second
)

// Size is the size of a deployment.
type Size struct {
	Instances, Zones, Servers int
	// Flows is the number of open flows of an entry instance; one in twenty is on a backend
	// server of another zone, one in ten has a request pending.
	Flows int
	// BytesPerSecond is the limit of an entry instance's exchange.
	BytesPerSecond float64
}

// Way is a way to share loads.
type Way string

// Ways to share loads.
const (
	// Deltas sends reports through control instances, which return the sums that changed.
	Deltas Way = "through control, sums that changed"
	// Sums is like Deltas, but returns all sums.
	Sums Way = "through control, all sums"
	// Forwarded is like Sums, but returns the reports of all instances.
	Forwarded Way = "through control, each report"
	// Gossip sends what is new to two random instances of the zone.
	Gossip Way = "gossip among instances"
	// Servers sends what backend servers report of themselves with their present reports.
	Servers Way = "reports by backend servers"
)

// Ways returns all ways.
func Ways() []Way {
	return []Way{Deltas, Sums, Forwarded, Gossip, Servers}
}

// Result is the cost of a way.
type Result struct {
	// Median and P99 are the ages of an instance's news of another one of its zone.
	Median, P99 time.Duration
	// Entry is the number of bytes a second that an entry instance sends and receives, and
	// Control that of the busiest control instance.
	Entry, Control float64
}

// Replay replays a way at a size, with the given share of lost messages.
func Replay(w Way, size Size, loss float64) (*Result, error) {
	r := rand.New(rand.NewPCG(1, uint64(size.Instances)))
	switch w {
	case Gossip:
		return replayGossip(size, loss, r)
	case Servers:
		return replayServers(size, loss, r)
	}
	return newStar(w, size, loss, r).run()
}

// instance is an entry instance with its flows.
type instance struct {
	rng     *rand.Rand
	zone    int
	size    *Size
	flows   []int
	counts  map[int]int
	report  message.LoadReport
	view    load.View
	started int64
	// seen holds, by instance of the zone, the time at which its part was observed.
	seen []int64
}

func newInstance(size *Size, i int, rng *rand.Rand) *instance {
	n := &instance{rng: rng, zone: i % size.Zones, size: size, counts: map[int]int{}}
	n.report = message.LoadReport{Name: fmt.Sprintf("entry-availability-%d", i), Zone: zoneName(n.zone), Process: uint64(i + 1)}
	for range size.Flows {
		s := n.pick()
		n.flows = append(n.flows, s)
		n.counts[s]++
	}
	return n
}

func zoneName(z int) catkinrail.Zone { return catkinrail.Zone('a' + rune(z)) }

// pick returns the backend server of a new flow. Server s is in zone s modulo Zones.
func (n *instance) pick() int {
	z := n.zone
	if n.rng.IntN(20) == 0 {
		z = n.rng.IntN(n.size.Zones)
	}
	return n.rng.IntN(n.size.Servers/n.size.Zones)*n.size.Zones + z
}

func serverKey(s int) load.Key {
	h := uint32(s+1) * 2654435761
	return message.NewServerKey(catkinrail.Token(h), 1_780_000_000_000+int64(h%3_600_000))
}

// fill fills in the report after a tenth of the flows have changed each second.
func (n *instance) fill(now int64) {
	changes := float64(len(n.flows)) / 10 * float64(now-n.started) / 1e9
	n.started = now
	for range int(changes + n.rng.Float64()) {
		i := n.rng.IntN(len(n.flows))
		if n.counts[n.flows[i]]--; n.counts[n.flows[i]] == 0 {
			delete(n.counts, n.flows[i])
		}
		n.flows[i] = n.pick()
		n.counts[n.flows[i]]++
	}
	pending := map[int]int{}
	for range len(n.flows) / 10 {
		pending[n.flows[n.rng.IntN(len(n.flows))]]++
	}
	n.report.Servers = n.report.Servers[:0]
	for s, c := range n.counts {
		k := serverKey(s)
		n.report.Servers = append(n.report.Servers, message.ServerLoad{
			Server: k, Pending: pending[s], Flows: c,
			Latency: 20*time.Millisecond + time.Duration(n.rng.IntN(40))*time.Millisecond,
		})
	}
	slices.SortFunc(n.report.Servers, func(a, b message.ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	n.report.Sequence++
}

// event is a call of a function at a time.
type event struct {
	at  int64
	run func(now int64) error
}

// events is a heap of events by time.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	if v, ok := x.(event); ok {
		*e = append(*e, v)
	}
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// next removes the earliest event.
func (e *events) next() event {
	v, _ := heap.Pop(e).(event)
	return v
}

// star is an exchange through control instances, two in each zone. The entry instances of
// a zone follow the first.
type star struct {
	way       Way
	size      Size
	loss      float64
	rng       *rand.Rand
	queue     events
	instances []*instance
	tables    []*load.Table
	// observed holds, by zone, when the part of each instance in the table was observed.
	observed [][]int64
	ages     []time.Duration
	entry    float64
	control  []float64
}

func newStar(w Way, size Size, loss float64, rng *rand.Rand) *star {
	s := &star{way: w, size: size, loss: loss, rng: rng, control: make([]float64, 2*size.Zones), observed: make([][]int64, size.Zones)}
	for c := range 2 * size.Zones {
		t := load.NewTable(fmt.Sprintf("10.%d.0.1:7720", c), uint64(c+1))
		for i := range size.Servers {
			t.SetServer(load.Server{Key: serverKey(i), Zone: zoneName(i % size.Zones), Service: []string{"booking", "feed"}[i/size.Zones%5/4], Slots: 2})
		}
		s.tables = append(s.tables, t)
		s.at(rng.Int64N(int64(shareInterval)), func(now int64) error { return s.share(c, now) })
	}
	for i := range size.Instances {
		n := newInstance(&s.size, i, rng)
		n.seen = make([]int64, (size.Instances+size.Zones-1)/size.Zones)
		s.instances = append(s.instances, n)
		s.at(rng.Int64N(int64(reportInterval)), func(now int64) error { return s.send(n, i/size.Zones, now) })
	}
	for z := range s.observed {
		s.observed[z] = make([]int64, (size.Instances+size.Zones-1)/size.Zones)
	}
	for t := int64(warmup); t < int64(span); t += 7e6 {
		s.at(t, s.sample)
	}
	return s
}

func (s *star) at(at int64, run func(now int64) error) {
	heap.Push(&s.queue, event{at, run})
}

func (s *star) run() (*Result, error) {
	for len(s.queue) > 0 && s.queue[0].at < int64(span) {
		e := s.queue.next()
		if err := e.run(e.at); err != nil {
			return nil, err
		}
	}
	seconds := span.Seconds()
	return result(s.ages, s.entry/seconds/float64(s.size.Instances), slices.Max(s.control)/seconds), nil
}

func result(ages []time.Duration, entry, control float64) *Result {
	slices.Sort(ages)
	return &Result{Median: ages[len(ages)/2], P99: ages[len(ages)*99/100], Entry: entry, Control: control}
}

// sample samples the age of an instance's news of another.
func (s *star) sample(now int64) error {
	for range 20 {
		n := s.instances[s.rng.IntN(len(s.instances))]
		if seen := n.seen[s.rng.IntN(len(n.seen)-1)]; seen > 0 {
			s.ages = append(s.ages, time.Duration(now-seen))
		}
	}
	return nil
}

// delay returns the time that a message takes.
func (s *star) delay() int64 {
	return int64(300*time.Microsecond) + s.rng.Int64N(int64(time.Millisecond))
}

// send sends an instance's report.
func (s *star) send(n *instance, index int, now int64) error {
	n.fill(now)
	n.report.Known = n.view.Known()
	if s.way != Deltas {
		n.report.Known = message.ResumePoint{}
	}
	n.view.RecordSent(&n.report, now)
	body, err := cluster.Encode(&n.report)
	if err != nil {
		return err
	}
	bytes := float64(len(body) + callOverhead)
	if s.rng.Float64() < s.loss {
		s.count(n.zone, bytes)
		s.at(now+int64(callTimeout+reportInterval), func(now int64) error { return s.send(n, index, now) })
		return nil
	}
	s.at(now+s.delay(), func(at int64) error { return s.receive(n, index, now, at, bytes) })
	return nil
}

func (s *star) count(zone int, bytes float64) {
	s.entry += bytes
	s.control[2*zone] += bytes
}

// receive applies a report at the control instance and sends the reply.
func (s *star) receive(n *instance, index int, sentAt, now int64, bytes float64) error {
	reply := s.tables[2*n.zone].Report(&n.report, now)
	s.observed[n.zone][index] = sentAt
	body, err := cluster.Encode(reply)
	if err != nil {
		return err
	}
	bytes += float64(len(body))
	if s.way == Forwarded {
		// Each instance of the zone reports about as many rows as this one.
		bytes += float64((len(n.seen)-1)*len(n.report.Servers)*len(body)) / float64(max(1, len(reply.Servers)))
	}
	s.count(n.zone, bytes)
	observed := slices.Clone(s.observed[n.zone])
	s.at(now+s.delay(), func(now int64) error {
		n.view.Apply(reply)
		n.seen = observed
		pace := time.Duration(bytes / s.size.BytesPerSecond * 1e9)
		s.at(now+int64(min(max(pace, reportInterval), maxInterval)), func(now int64) error { return s.send(n, index, now) })
		return nil
	})
	return nil
}

// share sends the sums of a control instance to all others.
func (s *star) share(from int, now int64) error {
	for to, t := range s.tables {
		if to == from {
			continue
		}
		m := s.tables[from].Share(fmt.Sprintf("10.%d.0.1:7720", to), zoneName(to/2), now)
		if m == nil {
			continue
		}
		body, err := cluster.EncodeCompressed(&message.Gossip{Load: m})
		if err != nil {
			return err
		}
		bytes := float64(len(body) + callOverhead)
		s.control[from] += bytes
		s.control[to] += bytes
		if s.rng.Float64() >= s.loss {
			s.at(now+s.delay(), func(now int64) error {
				t.Merge(m, now)
				return nil
			})
		}
	}
	s.at(now+int64(shareInterval), func(now int64) error { return s.share(from, now) })
	return nil
}

// replayGossip replays gossip in one zone: every interval an instance sends the reports
// that it has received or made since its last message to two others.
func replayGossip(size Size, loss float64, rng *rand.Rand) (*Result, error) {
	n := size.Instances / size.Zones
	one := newInstance(&size, 0, rng)
	one.fill(int64(time.Second))
	body, err := cluster.Encode(&one.report)
	if err != nil {
		return nil, err
	}
	g := &gossip{loss: loss, rng: rng, report: float64(len(body))}
	phases := make([]int64, n)
	for i := range n {
		g.observed, g.received = append(g.observed, make([]int64, n)), append(g.received, make([]int64, n))
		phases[i] = rng.Int64N(int64(reportInterval))
	}
	slices.Sort(phases)
	var ages []time.Duration
	for round := int64(0); round < int64(span); round += int64(reportInterval) {
		for i, phase := range phases {
			now := round + phase
			g.send(i, now)
			if other := rng.IntN(n); now > int64(warmup) && other != i && g.observed[i][other] > 0 {
				ages = append(ages, time.Duration(now-g.observed[i][other]))
			}
		}
	}
	return result(ages, 2*g.bytes/span.Seconds()/float64(n), 0), nil
}

// gossip is the state of the instances of one zone.
type gossip struct {
	loss float64
	rng  *rand.Rand
	// report is the length of a report, and bytes the number of bytes that were sent.
	report, bytes float64
	// observed and received hold, by receiver and origin, when a report was made and arrived.
	observed, received [][]int64
}

// send sends what an instance has received since its last message to two others.
func (g *gossip) send(i int, now int64) {
	g.observed[i][i], g.received[i][i] = now, now
	for range 2 {
		to := g.rng.IntN(len(g.observed))
		lost := g.rng.Float64() < g.loss
		g.bytes += callOverhead
		for j, at := range g.observed[i] {
			if g.received[i][j] <= now-int64(reportInterval) {
				continue
			}
			g.bytes += g.report
			if !lost && g.observed[to][j] < at {
				g.observed[to][j], g.received[to][j] = at, now
			}
		}
	}
}

// replayServers replays reports of backend servers, which control instances stream to the
// entry instances of the zone 30 ms later.
func replayServers(size Size, loss float64, rng *rand.Rand) (*Result, error) {
	list := make(message.ServerLoads, size.Servers/size.Zones)
	for i := range list {
		list[i] = message.ServerLoad{Server: serverKey(i * size.Zones), Pending: 5, Flows: 200, Latency: 30 * time.Millisecond}
	}
	slices.SortFunc(list, func(a, b message.ServerLoad) int { return cmp.Compare(a.Server, b.Server) })
	body, err := cluster.Encode(&message.LoadReply{Servers: list})
	if err != nil {
		return nil, err
	}
	var ages []time.Duration
	for range 100_000 {
		age := 30*time.Millisecond + rand.N(serverInterval)
		for rng.Float64() < loss {
			age += serverInterval
		}
		ages = append(ages, age)
	}
	// Reports come one by one, so that changes go out in batches of 30 ms.
	batches := min(float64(len(list)), float64(serverInterval/(30*time.Millisecond)))
	entry := (float64(len(body)) + batches*callOverhead/2) / serverInterval.Seconds()
	return result(ages, entry, entry*float64(size.Instances/size.Zones)), nil
}
