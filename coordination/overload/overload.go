// Package overload decides when an entry instance can't keep up with what arrives
// and turns new flows away, so that the flows which are open get through.
package overload

import "time"

const (
	// patience is how long a queue may be there before new flows are turned away. A
	// request passes the instance three times, handshake included, so that a wait of
	// this length for each uses up the time limit of a second or more that callers
	// have.
	patience = 500 * time.Millisecond
	// standstill is the time between two reads from which the process stood still
	// rather than worked: a batch of packets takes less on the slowest machines.
	standstill = 2 * time.Second
)

// Detector follows the queue before an instance. The zero value has none.
type Detector struct {
	// since is the time of the first of the reads in a row that left packets
	// waiting; zero after one that didn't.
	since int64
	// last is the time of the last read.
	last int64
}

// ObserveRead notes a read at the given time, in nanoseconds, and whether it left packets
// waiting. It reports whether new flows should be turned away. What has gathered
// while the process stood still doesn't count: it may be gone in an instant.
func (g *Detector) ObserveRead(left bool, now int64) (overloaded bool) {
	stood := now-g.last > int64(standstill)
	g.last = now
	switch {
	case !left:
		g.since = 0
	case g.since == 0 || stood:
		g.since = now
	}
	return g.since != 0 && now-g.since > int64(patience)
}
