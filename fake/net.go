// Package fake simulates entry instances, a control leader, callers and backend
// servers in one process, connected by a network with delay, loss, reordering and
// partitions. Time is simulated and all randomness comes from one seed: a run can be
// repeated exactly if the code under test is deterministic. Disk is a fake disk for
// tests of durable state.
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

// Policy selects how moves of buckets are carried out.
type Policy uint8

// Policies. Services use the first one; the others are baselines to compare it with.
const (
	// Phased prepares, opens and settles moves, gated by acknowledgements.
	Phased Policy = iota
	// HashOnly moves buckets at once and keeps no records.
	HashOnly
	// OneStep opens moves at once, without preparing them.
	OneStep
)

// Config describes a simulated network.
type Config struct {
	Seed   uint64
	Policy Policy
	// Copies is the number of instances that hold a record.
	Copies int
	// Loss is the share of packets that each hop loses, 0 to 1.
	Loss float64
	// MaxUpdateDelay is the maximum additional delay of changes of the cluster state.
	MaxUpdateDelay time.Duration
	// MaxClockDrift is the maximum deviation of an instance's clock rate, as a share.
	MaxClockDrift float64
	// AssumeAcks treats every instance as up to date, so that moves don't wait for
	// acknowledgements. Tests use it to prove that their checks detect this.
	AssumeAcks bool
}

// Timing of the simulation.
const (
	start             = int64(1_000 * time.Second)
	heartbeatInterval = 250 * time.Millisecond
	leaseTime         = 1500 * time.Millisecond
	// assumedAcksLease is longer than the delay of updates: otherwise expired
	// leases would protect flows in place of the skipped acknowledgements.
	assumedAcksLease = 10 * time.Second
	// leaseMargin allows for the deviation of clock rates.
	leaseMargin  = 100 * time.Millisecond
	tickInterval = 50 * time.Millisecond
	zoneDelay    = time.Millisecond
	callerDelay  = 2 * time.Millisecond
)

// Network is a simulated network and the instances, callers and backend servers on it.
// It is not safe for concurrent use.
type Network struct {
	cfg                Config
	rng                *rand.Rand
	now                int64
	seq                uint64
	queue              queue
	Entries            []*Entry
	slots              map[netip.AddrPort]*slotState
	byID               map[catkinrail.InstanceID]*Entry
	byAddr             map[netip.AddrPort]*Entry
	State              *cluster.State
	planner            *plan.Planner
	changes            []cluster.Change
	leases             map[catkinrail.InstanceID]*leaseState
	partitioned        map[catkinrail.Zone]bool
	Flows              []*Flow
	Stats              Stats
	nextNum            int
	incarnation        uint64
	controlPartitioned bool
	// onChange is called after each committed change, if set.
	onChange func(cluster.Change)
}

// Stats counts packets, bytes and violations in a run.
type Stats struct {
	Packets, Relayed, Forwarded uint64
	Dropped                     map[route.Reason]uint64
	Refused                     uint64
	ControlBytes                uint64
	// LateFlows counts new flows that a backend server accepted more than
	// drainGracePeriod after its drain began.
	LateFlows int
	// WrongService counts packets that reached a backend server of another service.
	WrongService int
	// RefusedAfterForward counts refusals of flows of which an instance had already
	// forwarded a packet.
	RefusedAfterForward int
}

// leaseState is an instance's lease and the status in its last heartbeat.
type leaseState struct {
	expiresAt int64
	status    plan.InstanceStatus
}

// event is a function that runs at a simulated time.
type event struct {
	at  int64
	seq uint64
	run func()
}

// queue is a heap of events, ordered by time and then by creation.
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

// New returns a network without instances.
func New(cfg Config) *Network {
	n := &Network{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5deece66d)),
		now:         start,
		slots:       map[netip.AddrPort]*slotState{},
		byID:        map[catkinrail.InstanceID]*Entry{},
		byAddr:      map[netip.AddrPort]*Entry{},
		State:       cluster.New(),
		planner:     plan.NewPlanner(),
		leases:      map[catkinrail.InstanceID]*leaseState{},
		partitioned: map[catkinrail.Zone]bool{},
	}
	n.Stats.Dropped = map[route.Reason]uint64{}
	n.after(tickInterval, n.planTick)
	return n
}

// Watch calls f after each committed change. It replaces any earlier function.
func (n *Network) Watch(f func(cluster.Change)) {
	n.onChange = f
}

// Now returns the simulated time since the start of the run.
func (n *Network) Now() time.Duration {
	return time.Duration(n.now - start)
}

// after runs a function after a simulated delay.
func (n *Network) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.queue, event{at: n.now + int64(d), seq: n.seq, run: run})
}

// At runs f at the given time since the start.
func (n *Network) At(at time.Duration, f func()) {
	n.after(max(0, at-n.Now()), f)
}

// Run advances the simulation to the given time since the start.
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

// leaseDuration returns how long an instance's lease lasts.
func (n *Network) leaseDuration() time.Duration {
	if n.cfg.AssumeAcks {
		return assumedAcksLease
	}
	return leaseTime
}

// jitter returns a random delay between 0.5 d and 1.5 d.
func (n *Network) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.rng.Int64N(int64(d)+1))
}

// losePacket decides at random whether a packet is lost.
func (n *Network) losePacket() bool {
	return n.cfg.Loss > 0 && n.rng.Float64() < n.cfg.Loss
}

// reachable reports whether the network connects two zones.
func (n *Network) reachable(a, b catkinrail.Zone) bool {
	return a == b || (!n.partitioned[a] && !n.partitioned[b])
}

// PartitionZone partitions a zone from the others and from control.
func (n *Network) PartitionZone(z catkinrail.Zone) {
	n.partitioned[z] = true
}

// PartitionControl partitions all entry instances from control, or ends the partition.
func (n *Network) PartitionControl(on bool) {
	n.controlPartitioned = on
}

// HealZone ends the partition of a zone.
func (n *Network) HealZone(z catkinrail.Zone) {
	delete(n.partitioned, z)
}

// Apply commits events to the cluster state. It panics if they can't be applied.
func (n *Network) Apply(events []cluster.Event) {
	if len(events) == 0 {
		return
	}
	c := cluster.Change{Version: n.State.Version + 1, Events: n.applyPolicy(events)}
	if err := n.State.Apply(c); err != nil {
		panic(err)
	}
	n.changes = append(n.changes, c)
	if n.onChange != nil {
		n.onChange(c)
	}
}

// applyPolicy rewrites the events that prepare moves to what the policy does
// instead.
func (n *Network) applyPolicy(events []cluster.Event) []cluster.Event {
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

// planTick commits the next planned events, as the control leader does.
func (n *Network) planTick() {
	n.after(tickInterval, n.planTick)
	members := map[catkinrail.InstanceID]plan.InstanceStatus{}
	for id, l := range n.leases {
		m := l.status
		m.Leased = n.now < l.expiresAt
		if n.cfg.AssumeAcks {
			m.Version, m.Synced = n.State.Version, n.State.Version
		}
		members[id] = m
	}
	n.planner.Observe(members)
	n.Apply(n.planner.Next(n.State, time.Unix(0, n.now)))
}

// MustExecute carries out an operator's command, and panics if it fails.
func (n *Network) MustExecute(c *plan.Command) {
	n.nextNum++
	c.Request = time.Duration(n.nextNum).String()
	events, _, err := plan.Evaluate(n.State, c)
	if err != nil {
		panic(err)
	}
	n.Apply(events)
}
