// Package fake connects entry instances, a control leader, callers and backend
// servers in one process, over a network with delay, loss, reordering and cuts.
// Time is simulated and every choice comes from one seed, so that a run can be
// repeated exactly.
package fake

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/state/cluster"
)

// Policy selects how the net carries out changes.
type Policy uint8

// Policies. All but Chosen are baselines.
const (
	// Phased prepares, opens and settles moves, gated by acknowledgements.
	Phased Policy = iota
	// HashOnly moves buckets at once and keeps no records.
	HashOnly
	// OneStep opens moves at once, without preparing them.
	OneStep
)

// Config describes a net.
type Config struct {
	Seed   uint64
	Policy Policy
	// Copies is the number of instances that hold a record.
	Copies int
	// Loss is the share of packets that each hop loses.
	Loss float64
	// MaxUpdateDelay is the largest additional delay of a configuration update.
	MaxUpdateDelay time.Duration
	// MaxClockDrift is the largest deviation of an instance's clock rate, as a share.
	MaxClockDrift float64
	// AssumeAcks lets moves go on without waiting for acknowledgements, to show
	// that the checks notice.
	AssumeAcks bool
}

// Timing of the net.
const (
	start             = int64(1_000 * time.Second)
	heartbeatInterval = 250 * time.Millisecond
	leaseTime         = 1500 * time.Millisecond
	// unguardedLease outlasts the delay of updates, so that the lease doesn't
	// stand in for the acknowledgements that are left out.
	unguardedLease = 10 * time.Second
	// leaseMargin covers the deviation of clock rates.
	leaseMargin  = 100 * time.Millisecond
	tickInterval = 50 * time.Millisecond
	zoneDelay    = time.Millisecond
	callerDelay  = 2 * time.Millisecond
)

// Network is a running net.
type Network struct {
	cfg         Config
	rng         *rand.Rand
	now         int64
	seq         uint64
	queue       queue
	Entries     []*Entry
	slots       map[netip.AddrPort]*slotState
	byID        map[catkinrail.InstanceID]*Entry
	byAddr      map[netip.AddrPort]*Entry
	State       *cluster.State
	planner     *plan.Planner
	log         []cluster.Change
	leases      map[catkinrail.InstanceID]*memberState
	cut         map[catkinrail.Zone]bool
	Flows       []*Flow
	Stats       Stats
	nextNum     int
	incarnation uint64
	controlCut  bool
	// watch is called after each change of the agreed state.
	watch func(cluster.Change)
}

// Stats counts what happened.
type Stats struct {
	Packets, Relayed, Forwarded uint64
	Dropped                     map[route.Reason]uint64
	Refused                     uint64
	ControlBytes                uint64
	// LateFlows counts new flows that reached a leaving backend server after
	// its bound.
	LateFlows int
	// WrongService counts packets that reached another service's server.
	WrongService int
	// RefusedAfterForward counts refusals of flows that some instance passed on.
	RefusedAfterForward int
}

type memberState struct {
	until  int64
	member plan.InstanceStatus
}

type event struct {
	at  int64
	seq uint64
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// New returns a net without entries.
func New(cfg Config) *Network {
	n := &Network{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5deece66d)),
		now:     start,
		slots:   map[netip.AddrPort]*slotState{},
		byID:    map[catkinrail.InstanceID]*Entry{},
		byAddr:  map[netip.AddrPort]*Entry{},
		State:   cluster.New(),
		planner: plan.NewPlanner(),
		leases:  map[catkinrail.InstanceID]*memberState{},
		cut:     map[catkinrail.Zone]bool{},
	}
	n.Stats.Dropped = map[route.Reason]uint64{}
	n.after(tickInterval, n.planTick)
	return n
}

// Watch calls f with each change of the agreed state.
func (n *Network) Watch(f func(cluster.Change)) {
	n.watch = f
}

// Now returns the simulated time since the start.
func (n *Network) Now() time.Duration {
	return time.Duration(n.now - start)
}

func (n *Network) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, event{at: n.now + int64(d), seq: n.seq, run: run})
}

// At runs f at the given time since the start.
func (n *Network) At(at time.Duration, f func()) {
	n.after(max(0, at-n.Now()), f)
}

// Run advances the net to the given time since the start.
func (n *Network) Run(until time.Duration) {
	end := start + int64(until)
	for len(n.queue) > 0 && n.queue[0].at <= end {
		e := n.queue[0]
		heap.Pop(&n.queue)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// lease returns the length of a lease.
func (n *Network) lease() time.Duration {
	if n.cfg.AssumeAcks {
		return unguardedLease
	}
	return leaseTime
}

// jitter returns a delay around d, between half and one and a half of it.
func (n *Network) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.rng.Int64N(int64(d)+1))
}

func (n *Network) lost() bool {
	return n.cfg.Loss > 0 && n.rng.Float64() < n.cfg.Loss
}

// reachable reports whether packets pass between two zones.
func (n *Network) reachable(a, b catkinrail.Zone) bool {
	return a == b || (!n.cut[a] && !n.cut[b])
}

// PartitionZone cuts a zone off from the others and from control.
func (n *Network) PartitionZone(z catkinrail.Zone) {
	n.cut[z] = true
}

// PartitionControl cuts all entries off from control, or ends that.
func (n *Network) PartitionControl(on bool) {
	n.controlCut = on
}

// HealZone ends the cut of a zone.
func (n *Network) HealZone(z catkinrail.Zone) {
	delete(n.cut, z)
}

// Apply commits events to the agreed state.
func (n *Network) Apply(events []cluster.Event) {
	if len(events) == 0 {
		return
	}
	c := cluster.Change{Version: n.State.Version + 1, Events: n.rewrite(events)}
	if err := n.State.Apply(c); err != nil {
		panic(err)
	}
	n.log = append(n.log, c)
	if n.watch != nil {
		n.watch(c)
	}
}

// rewrite turns prepared moves into what a baseline does.
func (n *Network) rewrite(events []cluster.Event) []cluster.Event {
	if n.cfg.Policy == Phased {
		return events
	}
	var out []cluster.Event
	for _, e := range events {
		switch {
		case e.BucketsSet != nil && e.BucketsSet.Value.Phase == catkinrail.Prepare:
			set := *e.BucketsSet
			set.Value.Phase = catkinrail.Open
			if n.cfg.Policy == HashOnly {
				set.Value = catkinrail.Bucket{Cur: set.Value.Next}
			}
			e.BucketsSet = &set
		case e.MovePut != nil && n.cfg.Policy == HashOnly:
			continue
		case e.MovePut != nil && e.MovePut.Phase == catkinrail.Prepare:
			m := *e.MovePut
			m.Phase = catkinrail.Open
			e.MovePut = &m
		}
		out = append(out, e)
	}
	return out
}

func (n *Network) planTick() {
	n.after(tickInterval, n.planTick)
	members := map[catkinrail.InstanceID]plan.InstanceStatus{}
	for id, l := range n.leases {
		m := l.member
		m.Leased = n.now < l.until
		if n.cfg.AssumeAcks {
			m.Version, m.Synced = n.State.Version, n.State.Version
		}
		members[id] = m
	}
	n.planner.Observe(members)
	n.Apply(n.planner.Next(n.State, time.Unix(0, n.now)))
}

// MustExecute panics if an operator's command of a scenario fails.
func (n *Network) MustExecute(c *plan.Command) {
	n.nextNum++
	c.Request = time.Duration(n.nextNum).String()
	events, _, err := plan.Evaluate(n.State, c)
	if err != nil {
		panic(err)
	}
	n.Apply(events)
}
