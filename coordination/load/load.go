// Package load combines the load that entry instances observe of backend servers. A Table
// at a control instance keeps the sums of their reports; a View at an entry instance keeps
// what the others contribute to them. The package does no I/O and reads no clock; callers
// pass in messages and times in nanoseconds.
//
// All of it is soft state: reports are versioned by the sender's process and a sequence,
// an older one never replaces a newer one, and what isn't renewed within Expiry is dropped.
package load

import (
	"cmp"
	"slices"
	"time"

	"catkinrail.example/catkinrail/coordination/message"
)

// Expiry is the time after which the part of a sender that has fallen silent is dropped,
// and the age from which a view no longer counts.
const Expiry = time.Second

// Key identifies an incarnation of a backend server. A token alone doesn't, because it may
// be reused by another incarnation.
type Key = message.ServerKey

// Load is the load of a backend server.
type Load struct {
	Pending, Flows int
	// Latency is the mean time of a request, zero if unknown.
	Latency time.Duration
}

func compareLoads(a, b message.ServerLoad) int {
	return cmp.Compare(a.Server, b.Server)
}

// normalize sorts the list by key and keeps one row of each key.
func normalize(list []message.ServerLoad) []message.ServerLoad {
	if !slices.IsSortedFunc(list, compareLoads) {
		slices.SortFunc(list, compareLoads)
	}
	return slices.CompactFunc(list, func(a, b message.ServerLoad) bool { return compareLoads(a, b) == 0 })
}

// sum is a sum of loads.
type sum struct {
	pending, flows int
	// weighted is the sum of the latencies times their weights, and weight that of the
	// weights: the flows of those whose latency is known.
	weighted, weight int64
}

func (s *sum) add(l *message.ServerLoad, sign int) {
	s.addParts(l.Pending, l.Flows, l.Latency, sign)
}

func (s *sum) addParts(pending, flows int, latency time.Duration, sign int) {
	s.pending += sign * pending
	s.flows += sign * flows
	if latency > 0 {
		// A request is pending on a flow, so that there are flows wherever there is a
		// latency; one is added for a flow that ended just before the report.
		w := int64(flows) + 1
		s.weighted += int64(sign) * w * int64(latency)
		s.weight += int64(sign) * w
	}
}

func (s *sum) latency() time.Duration {
	if s.weight <= 0 {
		return 0
	}
	return time.Duration(s.weighted / s.weight)
}
