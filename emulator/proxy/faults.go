package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"catkinrail.example/catkinrail/transport/clock"
)

// Times of a fault.
const (
	// maxPause is the longest time between two faults.
	maxPause = 1500 * time.Millisecond
	// minSpan and maxSpan bound how long a cut or a delay lasts.
	minSpan = 300 * time.Millisecond
	maxSpan = 3 * time.Second
	// minDelay and maxDelay bound what a delay adds to each chunk.
	minDelay = 10 * time.Millisecond
	maxDelay = 200 * time.Millisecond
)

// Node is an instance and the links that lead to it.
type Node struct {
	Name  string
	Links []*Link
}

// each calls f for all links.
func (n *Node) each(f func(*Link)) {
	for _, l := range n.Links {
		f(l)
	}
}

// harm is a kind of fault.
type harm struct {
	name string
	// begin harms a node; end, if there is one, ends it after a span.
	begin, end func(*Node)
}

func harms(rng *rand.Rand) []harm {
	return []harm{
		{"reset", func(n *Node) { n.each((*Link).Reset) }, nil},
		{"silent", func(n *Node) { n.each((*Link).Silence) }, nil},
		{
			"delayed",
			func(n *Node) {
				d := between(rng, minDelay, maxDelay)
				n.each(func(l *Link) { l.Delay(d) })
			},
			func(n *Node) { n.each(func(l *Link) { l.Delay(0) }) },
		},
		{
			"cut towards it",
			func(n *Node) { n.each(func(l *Link) { l.CutToTarget(true) }) },
			func(n *Node) { n.each(func(l *Link) { l.CutToTarget(false) }) },
		},
		{
			"cut away from it",
			func(n *Node) { n.each(func(l *Link) { l.CutFromTarget(true) }) },
			func(n *Node) { n.each(func(l *Link) { l.CutFromTarget(false) }) },
		},
	}
}

// Harm harms one node after the other, at times drawn from the seed, until ctx
// ends, and writes a line for each fault.
func Harm(ctx context.Context, seed uint64, nodes []*Node, w io.Writer) {
	rng := rand.New(rand.NewPCG(seed, 2))
	kinds := harms(rng)
	for {
		if !clock.Sleep(ctx, between(rng, 0, maxPause)) {
			return
		}
		h, n := kinds[rng.IntN(len(kinds))], nodes[rng.IntN(len(nodes))]
		span := between(rng, minSpan, maxSpan)
		h.begin(n)
		if h.end == nil {
			fmt.Fprintf(w, "connections to %s: %s\n", n.Name, h.name)
			continue
		}
		fmt.Fprintf(w, "connections to %s: %s for %s\n", n.Name, h.name, span)
		running := clock.Sleep(ctx, span)
		h.end(n)
		if !running {
			return
		}
	}
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}
