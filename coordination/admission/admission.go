// Package admission decides which new flows an entry instance refuses at once because the
// backend servers of a service can't answer their requests in time.
//
// It answers loads in which demand exceeds what the backend servers can run. Their queues are
// then full, and a request is answered after the whole queue: once that takes longer than the
// latency target, nearly every answer is late, and a request that finds no place in a queue is
// rejected only after a while. Fewer requests at a time are answered as many a second, in time.
//
// The places that a service has for a route are the requests that its backend servers can hold
// while the last of them is still answered in time. They are divided among the entry instances:
// each keeps its own pending requests within its share, which it knows at once. The sums of all
// instances, which are some hundred milliseconds old, only say whether shares count at all:
// instances that decided by them alone would all refuse together and all admit together.
//
// A refused caller tries again on a new flow, most likely through another instance, which may
// have a place. Requests on open flows are never refused; they take places from new flows.
//
// The package does no I/O and reads no clock.
package admission

import (
	"math"
	"slices"
	"time"

	"catkinrail.example/catkinrail/coordination/work"
)

const (
	// lowMargin and highMargin are what is kept of the time between a route's work and its latency
	// target for the differences between backend servers and between requests, in mean works: for
	// the lowest and the highest priority of the service. Places that the lowest may not use are
	// kept for the others.
	lowMargin, highMargin = 3.0, 1.0
	// takenPercent is the part of a zone's places, in percent, from which shares count. Servers that
	// are equally loaded on the mean differ by one or two requests.
	takenPercent = 85
	// seenPercent is the part of the wait behind full places, in percent, that the latest answers
	// must show.
	seenPercent = 70
)

// maxDepth is the greatest number of requests for each slot at which places are limited: a server
// of one slot with a full queue.
const maxDepth = 1 + work.QueueLimit

// Zone is the load of a service in an availability zone, over all entry instances. Add adds its
// backend servers.
type Zone struct {
	// Slots is the number of requests that the zone's backend servers run at the same time, and
	// Servers the number of these.
	Slots, Servers int
	// Pending is the number of requests that have no answer yet.
	Pending int
	// Latency is the mean time of the latest requests, round trip included; zero if unknown.
	Latency time.Duration
	// held holds, by depth, the places that are taken: on each server no more than the depth
	// allows, so that requests that one slow server has gathered take no place on others.
	held [maxDepth + 1]int
}

// Add adds a backend server with its slots and pending requests.
func (z *Zone) Add(slots, pending int) {
	z.Slots += slots
	z.Servers++
	z.Pending += pending
	for d := range z.held {
		z.held[d] += min(pending, d*slots)
	}
}

// taken returns the number of places of the given depth that are taken.
func (z *Zone) taken(depth float64) float64 {
	d := int(min(depth, maxDepth-1))
	part := min(depth-float64(d), 1)
	return float64(z.held[d])*(1-part) + float64(z.held[d+1])*part
}

// Request is what is expected of the requests of a route.
type Request struct {
	// Target is the route's latency target; zero means that its requests are never refused.
	Target time.Duration
	// RoundTrip is the time that a request takes apart from the backend server.
	RoundTrip time.Duration
	// Work is the expected work of a request, and MeanWork that of all requests of the service;
	// zero means that it isn't known, and that the route's requests aren't refused.
	Work, MeanWork time.Duration
	// Rank is that of the route's priority among those of the service: 0 for the lowest, 1 for the
	// highest, and 0.5 if there is only one.
	Rank float64
}

// Room is the room that a service has in an availability zone, as one of its entry instances
// sees it. The zero value has no limit.
type Room struct {
	zone Zone
	// instances is the number of entry instances of the zone.
	instances int
}

// Update sets the load of the zone and the number of its entry instances.
func (r *Room) Update(zone Zone, instances int) {
	r.zone, r.instances = zone, max(1, instances)
}

// Load returns what Update has set.
func (r *Room) Load() (zone Zone, instances int) {
	return r.zone, r.instances
}

// Ranks returns the rank of each priority of a service's routes.
func Ranks(priorities []int) map[int]float64 {
	list := slices.Compact(slices.Sorted(slices.Values(priorities)))
	ranks := make(map[int]float64, len(list))
	for i, p := range list {
		ranks[p] = 0.5
		if last := len(list) - 1; last > 0 {
			ranks[p] = float64(last-i) / float64(last)
		}
	}
	return ranks
}

// Full reports whether the zone has no place for a request on a new flow. Pending is the number
// of requests that this instance has pending in the zone now; random rounds its share.
func (r *Room) Full(q *Request, pending int, random uint64) bool {
	depth := q.depth()
	if r.zone.Slots <= 0 || math.IsInf(depth, 1) {
		// Nothing is known of the zone or of the work yet, or the route has no target.
		return false
	}
	places := r.zone.places(depth)
	if math.IsInf(places, 1) || 100*r.zone.taken(depth) < takenPercent*places {
		return false
	}
	// Requests whose flows have moved to another instance may still count for a while. Then
	// answers don't show that they had to wait.
	if wait := r.zone.Latency - q.RoundTrip - q.MeanWork; float64(wait) < (depth-1)*float64(q.MeanWork)*seenPercent/100 {
		return false
	}
	part := float64(random>>11) / (1 << 53)
	return float64(pending)+part >= places/float64(r.instances)
}

// Slack returns the time for which a request can wait and still be answered in time on the mean.
func (q *Request) Slack() time.Duration {
	return max(0, q.Target-q.RoundTrip-q.Work)
}

// depth returns the number of requests for each slot, the one that runs included, of which the
// last is answered in time, with what is left to differences. It is infinite without a target.
func (q *Request) depth() float64 {
	if q.Target <= 0 || q.MeanWork <= 0 {
		return math.Inf(1)
	}
	margin := lowMargin - q.Rank*(lowMargin-highMargin)
	return 1 + max(0, float64(q.Slack())/float64(q.MeanWork)-margin)
}

// places returns the number of requests that the zone may hold. It is infinite if the backend
// servers reject requests before one would be late. The depth must be finite.
func (z *Zone) places(depth float64) float64 {
	if float64(z.Slots)*(depth-1) >= float64(work.QueueLimit*z.Servers) {
		return math.Inf(1)
	}
	return float64(z.Slots) * depth
}
