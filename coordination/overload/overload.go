// Package overload detects that an entry instance can't keep up with the packets it
// receives and should refuse new flows to keep the open ones working.
package overload

import "time"

const (
	// queueGracePeriod is how long packets may be queued before new flows are refused.
	// A request on a new flow passes through the instance three times, handshake
	// included: with a wait of this length each time, it would exceed the timeout of a
	// second or more that callers use.
	queueGracePeriod = 500 * time.Millisecond
	// stallThreshold is the time between two reads beyond which the process was stalled
	// rather than busy: a batch of packets takes less even on the slowest machines.
	stallThreshold = 2 * time.Second
)

// Detector tracks how long packets have been queued in front of an instance. The zero
// value has seen no queue.
type Detector struct {
	// queuedSince is the time, in nanoseconds, of the first read in an unbroken
	// series that left packets queued; zero if the last read left none.
	queuedSince int64
	// lastRead is the time of the last read, in nanoseconds.
	lastRead int64
}

// ObserveRead records a read at time now, in nanoseconds, and whether it left packets
// queued. It reports whether new flows should be refused. The time in which the
// process was stalled doesn't count: the packets that arrived meanwhile may be
// handled within moments.
func (d *Detector) ObserveRead(queued bool, now int64) (overloaded bool) {
	stalled := now-d.lastRead > int64(stallThreshold)
	d.lastRead = now
	switch {
	case !queued:
		d.queuedSince = 0
	case d.queuedSince == 0 || stalled:
		d.queuedSince = now
	}
	return d.queuedSince != 0 && now-d.queuedSince > int64(queueGracePeriod)
}
