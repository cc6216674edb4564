package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"catkinrail.example/catkinrail/transport/clock"
)

// Timing of faults.
const (
	// maxFaultInterval is the maximum pause between two faults.
	maxFaultInterval = 1500 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long bytes are blocked or
	// delayed.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// minDelay and maxDelay bound the delay of each chunk.
	minDelay = 10 * time.Millisecond
	maxDelay = 200 * time.Millisecond
)

// Instance is an instance of the system and the links to its addresses.
type Instance struct {
	Name  string
	Links []*Link
}

// forEachLink calls f for each link.
func (n *Instance) forEachLink(f func(*Link)) {
	for _, l := range n.Links {
		f(l)
	}
}

// fault is a kind of fault.
type fault struct {
	name string
	// start injects the fault; stop ends it, and is nil if the fault doesn't last.
	start, stop func(*Instance)
}

// newFaults returns the kinds of faults. Their names appear in the output.
func newFaults(rng *rand.Rand) []fault {
	return []fault{
		{"reset", func(n *Instance) { n.forEachLink((*Link).Reset) }, nil},
		{"silent", func(n *Instance) { n.forEachLink((*Link).Blackhole) }, nil},
		{
			"delayed",
			func(n *Instance) {
				d := randomDuration(rng, minDelay, maxDelay)
				n.forEachLink(func(l *Link) { l.Delay(d) })
			},
			func(n *Instance) { n.forEachLink(func(l *Link) { l.Delay(0) }) },
		},
		{
			"bytes to it blocked",
			func(n *Instance) { n.forEachLink(func(l *Link) { l.BlockToTarget(true) }) },
			func(n *Instance) { n.forEachLink(func(l *Link) { l.BlockToTarget(false) }) },
		},
		{
			"bytes from it blocked",
			func(n *Instance) { n.forEachLink(func(l *Link) { l.BlockFromTarget(true) }) },
			func(n *Instance) { n.forEachLink(func(l *Link) { l.BlockFromTarget(false) }) },
		},
	}
}

// inUse returns the instances with open connections, or all if there are none.
func inUse(instances []*Instance) []*Instance {
	var list []*Instance
	for _, n := range instances {
		if slices.ContainsFunc(n.Links, (*Link).InUse) {
			list = append(list, n)
		}
	}
	if list == nil {
		return instances
	}
	return list
}

// InjectFaults injects one fault at a time into the links of a random instance that is in use, at
// random times, until ctx ends, and writes a line for each to w. All choices come from the
// seed.
func InjectFaults(ctx context.Context, seed uint64, instances []*Instance, w io.Writer) {
	rng := rand.New(rand.NewPCG(seed, 2))
	kinds := newFaults(rng)
	for {
		if !clock.Sleep(ctx, randomDuration(rng, 0, maxFaultInterval)) {
			return
		}
		used := inUse(instances)
		f, inst := kinds[rng.IntN(len(kinds))], used[rng.IntN(len(used))]
		duration := randomDuration(rng, minFaultDuration, maxFaultDuration)
		f.start(inst)
		if f.stop == nil {
			fmt.Fprintf(w, "connections to %s: %s\n", inst.Name, f.name)
			continue
		}
		fmt.Fprintf(w, "connections to %s: %s for %s\n", inst.Name, f.name, duration)
		running := clock.Sleep(ctx, duration)
		f.stop(inst)
		if !running {
			return
		}
	}
}

// randomDuration returns a duration of at least least and less than most.
func randomDuration(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}
