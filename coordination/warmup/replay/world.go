// Package replay runs policies that limit the opening packets to cold backend servers
// against a simulated zone, with faults, and measures what reaches the backend servers.
package replay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"catkinrail.example/catkinrail/coordination/warmup"
)

// Config describes a run.
type Config struct {
	// Instances is the number of entry instances, Servers that of cold backend servers.
	Instances, Servers int
	// Rate is the warm-up limit of each backend server.
	Rate      float64
	Tolerance warmup.Tolerance
	// Flows is the number of new flows a second of the whole zone.
	Flows float64
	// CopyShare is the share of flows whose opening packet is sent again 200 ms later.
	CopyShare float64
	// Requests is the number of requests that a flow carries, Pause the time between two.
	Requests int
	Pause    time.Duration
	// Settle is the time after the start during which nothing is measured, so that lenders
	// have settled; Duration is the measured time.
	Settle, Duration time.Duration
	Seed             uint64
	// Greedy makes every instance open all the flows that it may at the beginning and the
	// end of each fault, and at random times, instead of those of callers.
	Greedy bool
	// BurstEvery is the mean number of steps between two such times.
	BurstEvery int
	// Calm is the delay of messages without faults, in each direction at most.
	Calm   time.Duration
	Faults []Fault
}

// Kind is a kind of fault.
type Kind uint8

// Faults.
const (
	// SplitView makes a part of the entry instances miss the others, and a part of the
	// control instances see an earlier set of voters.
	SplitView Kind = iota
	// SkewClock sets the wall clocks of a part of the entry instances forward or back.
	SkewClock
	// RestartEntry restarts an entry instance, which forgets everything.
	RestartEntry
	// RestartControl restarts a control instance, which forgets everything.
	RestartControl
	// CutControl cuts a control instance off from its leader; the voters change without
	// it.
	CutControl
	// DelayMessages delays messages.
	DelayMessages
	// LoseMessages loses half of the messages.
	LoseMessages
	// RepeatMessages delivers messages again, later.
	RepeatMessages
	// HoldReplies delivers the replies to a part of the entry instances at its end, all
	// together.
	HoldReplies
	// SuspendEntries stops a part of the entry instances; their steady clocks stand still.
	SuspendEntries
	// Burst is no fault: at its time every instance opens all the flows that it may.
	Burst
	// NumKinds is the number of kinds.
	NumKinds
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [...]string{
		"split view", "skewed clocks", "entry restart", "control restart", "control cut off",
		"late messages", "lost messages", "repeated messages", "held replies", "entries suspended", "burst",
	}[k]
}

// Fault is something that happens at a time, for a duration. Target selects the instances.
type Fault struct {
	Kind     Kind
	At, For  time.Duration
	Target   int
	Strength time.Duration
}

// Entry is the state of an entry instance that policies may use.
type Entry struct {
	// skew is the distance of its wall clock from the true time, and slept the time for
	// which its steady clock stood still.
	skew, slept int64
	// suspendedUntil is the time until which it does nothing.
	suspendedUntil int64
	// process counts its restarts.
	process uint64
	// partial is set while it misses half of the other instances.
	partial bool
}

// Policy limits the opening packets to cold backend servers.
type Policy interface {
	// Step is called for each step of time, before the opening packets of that step.
	Step(w *World)
	// Take reports whether the instance may send an opening packet to a backend server.
	Take(w *World, instance, server int) bool
	// Restart makes an instance forget everything.
	Restart(w *World, instance int)
	// Bytes returns the number of bytes that were sent.
	Bytes() int
}

// World is the simulated zone.
type World struct {
	Config
	// Now is the true time.
	Now     int64
	rng     *rand.Rand
	entries []Entry
	// active holds the faults that last.
	active []Fault
	// arrivals holds the times of opening packets by backend server, and served those of
	// the measured time.
	arrivals [][]int64
	offered  int
	refused  int
	copies   []copyOf
}

// copyOf is a copy of an opening packet that will be sent to a backend server.
type copyOf struct {
	at     int64
	server int
}

// Result is what a run gave.
type Result struct {
	// Used is the share of the rate that was used, Worst the greatest number of opening
	// packets within one second at one backend server, and Budget what is tolerated.
	Used   float64
	Worst  int
	Budget int
	// BytesPerSecond are those of one entry instance.
	BytesPerSecond float64
	Refused        float64
	// Requests is the greatest number of requests within one second at one backend server.
	Requests int
}

// step is the resolution of time.
const step = int64(5 * time.Millisecond)

// Run plays a run.
func Run(cfg Config, policy func(w *World) Policy) Result {
	w := &World{
		Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), entries: make([]Entry, cfg.Instances),
		arrivals: make([][]int64, cfg.Servers),
	}
	slices.SortStableFunc(w.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	p := policy(w)
	end := int64(cfg.Settle + cfg.Duration)
	next := 0
	due := 0.0
	for ; w.Now < end; w.Now += step {
		before := len(w.active)
		w.active = slices.DeleteFunc(w.active, func(f Fault) bool { return w.Now >= int64(f.At+f.For) })
		burst := len(w.active) < before
		for ; next < len(w.Faults) && int64(w.Faults[next].At) <= w.Now; next++ {
			burst = true
			w.begin(&w.Faults[next], p)
		}
		for i := range w.entries {
			w.entries[i].partial = w.isPartial(i)
		}
		p.Step(w)
		if cfg.Greedy {
			if burst || w.rng.IntN(max(1, cfg.BurstEvery)) == 0 {
				w.burst(p)
			}
			continue
		}
		w.sendCopies(p)
		for due += cfg.Flows * time.Duration(step).Seconds() * w.rng.ExpFloat64(); due >= 1; due-- {
			w.open(p)
		}
	}
	return w.result(p)
}

// begin starts a fault.
func (w *World) begin(f *Fault, p Policy) {
	i := f.Target % len(w.entries)
	e := &w.entries[i]
	switch f.Kind {
	case SkewClock:
		for k := i; k < len(w.entries); k += 2 {
			w.entries[k].skew += int64(f.Strength) * int64(1-2*(k&1))
		}
	case RestartEntry:
		e.process++
		p.Restart(w, i)
	case SuspendEntries:
		for k := i; k < len(w.entries); k += 1 + f.Target%2 {
			if s := &w.entries[k]; s.suspendedUntil <= w.Now {
				s.suspendedUntil = w.Now + int64(f.For)
				s.slept += int64(f.For)
			}
		}
	}
	w.active = append(w.active, *f)
}

func (w *World) isPartial(i int) bool {
	for k := range w.active {
		if f := &w.active[k]; f.Kind == SplitView && (i+f.Target)%2 == 0 {
			return true
		}
	}
	return false
}

// Active returns the faults of the kind that last.
func (w *World) Active(kind Kind) (list []Fault) {
	for _, f := range w.active {
		if f.Kind == kind {
			list = append(list, f)
		}
	}
	return list
}

// Running reports whether the instance isn't suspended.
func (w *World) Running(i int) bool { return w.entries[i].suspendedUntil <= w.Now }

// Wall returns the time on an instance's wall clock, Steady that on its steady clock.
func (w *World) Wall(i int) int64 { return w.Now + w.entries[i].skew }

// Steady returns the time on an instance's steady clock, which stood still while it was
// suspended.
func (w *World) Steady(i int) int64 { return w.Now - w.entries[i].slept }

// Sees reports whether instance i knows of instance k.
func (w *World) Sees(i, k int) bool {
	return i == k || !w.entries[i].partial || k%2 == i%2
}

// open opens a flow of a caller at a random instance.
func (w *World) open(p Policy) {
	i := w.rng.IntN(len(w.entries))
	if !w.Running(i) {
		return
	}
	w.offered++
	first := w.rng.IntN(w.Servers)
	for k := range w.Servers {
		if s := (first + k) % w.Servers; p.Take(w, i, s) {
			w.arrive(s)
			if w.rng.Float64() < w.CopyShare {
				w.copies = append(w.copies, copyOf{w.Now + int64(200*time.Millisecond), s})
			}
			return
		}
	}
	w.refused++
}

// sendCopies sends the copies that are due, each from a random instance.
func (w *World) sendCopies(p Policy) {
	for len(w.copies) > 0 && w.copies[0].at <= w.Now {
		if i := w.rng.IntN(len(w.entries)); w.Running(i) && p.Take(w, i, w.copies[0].server) {
			w.arrive(w.copies[0].server)
		}
		w.copies = w.copies[1:]
	}
}

// burst opens all the flows that the instances may open.
func (w *World) burst(p Policy) {
	for i := range w.entries {
		for s := range w.Servers {
			for n := 0; n < 200 && w.Running(i) && p.Take(w, i, s); n++ {
				w.arrive(s)
			}
		}
	}
}

// maxTransit is the variation of the time that an opening packet takes.
const maxTransit = int64(20 * time.Millisecond)

func (w *World) arrive(server int) {
	w.arrivals[server] = append(w.arrivals[server], w.Now+w.rng.Int64N(maxTransit))
}

// result evaluates the measured time.
func (w *World) result(p Policy) Result {
	r := Result{Budget: w.Tolerance.Budget(w.Rate)}
	measured := 0
	for _, list := range w.arrivals {
		r.Worst = max(r.Worst, worstSecond(list))
		requests := slices.Clone(list)
		for k := 1; k < w.Requests; k++ {
			for _, at := range list {
				requests = append(requests, at+int64(k)*int64(w.Pause))
			}
		}
		r.Requests = max(r.Requests, worstSecond(requests))
		for _, at := range list {
			if at >= int64(w.Settle) {
				measured++
			}
		}
	}
	r.Used = float64(measured) / (w.Rate * w.Duration.Seconds() * float64(w.Servers))
	r.BytesPerSecond = float64(p.Bytes()) / (w.Settle + w.Duration).Seconds() / float64(w.Instances)
	if w.offered > 0 {
		r.Refused = float64(w.refused) / float64(w.offered)
	}
	return r
}

// worstSecond sorts the times and returns the greatest number of them within one second.
func worstSecond(times []int64) (worst int) {
	slices.Sort(times)
	from := 0
	for i, at := range times {
		for at-times[from] >= int64(time.Second) {
			from++
		}
		worst = max(worst, i-from+1)
	}
	return worst
}
