package token

import (
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/work"
)

const (
	// maxCosts limits the routes whose cost is learned, at about 15 KB each.
	maxCosts = 512
	// A zone's handshake time follows a lower sample with a quarter and a higher one with
	// a sixty-fourth: it stays near the fastest ones, which did not wait for a server.
	fasterShift, slowerShift = 2, 6
)

type costKey struct{ route, service string }

// cost returns what requests of the route to the service cost, or nil if that isn't learned.
func (e *Engine) cost(r *catkinrail.Route, service string, now int64) *work.Route {
	pl := &e.placement
	s := pl.services[service]
	if r == nil || s == nil || !s.learns {
		return nil
	}
	key := costKey{r.Name, service}
	c := pl.costs[key]
	if c == nil && len(pl.costs) < maxCosts {
		c = work.NewRoute(now)
		pl.costs[key] = c
	}
	return c
}

// routesTo appends the routes to a service whose cost is learned to list, in the order of their
// names: sums over them are then the same in each run.
func (pl *placement) routesTo(service string, list []*work.Route) []*work.Route {
	pl.names = pl.names[:0]
	for key := range pl.costs {
		if key.service == service {
			pl.names = append(pl.names, key.route)
		}
	}
	slices.Sort(pl.names)
	for _, name := range pl.names {
		list = append(list, pl.costs[costKey{name, service}])
	}
	return list
}

// flowCost is what a flow contributes to the cost of its route. Without a route nothing is
// learned from it.
type flowCost struct {
	route *work.Route
	// roundTrip is the time of the handshake.
	roundTrip time.Duration
	// begunAt is the time of the first byte of the pending request, and queue the number of
	// requests that the backend server had then.
	begunAt int64
	queue   int
	// seen is set if the requests of other instances are among these.
	seen bool
}

// recordOpen records that a flow is open. Took is the time of its handshake, or zero if
// another instance saw it.
func (e *Engine) recordOpen(f *flow, took time.Duration, now int64) {
	if f.route == nil {
		return
	}
	times := e.placement.handshakes
	zone := f.backend.Zone
	known := times[zone]
	switch {
	case took == 0:
		took = known
	case known == 0:
		times[zone] = took
	case took < known:
		times[zone] -= (known - took) >> fasterShift
	default:
		times[zone] += (took - known) >> slowerShift
	}
	f.roundTrip = took
	f.route.AddIdle(1, now)
}

func (f *flow) beginRequest(now int64) {
	if f.route == nil {
		return
	}
	b := f.backend
	f.begunAt, f.queue, f.seen = now, b.pending-1+b.others.pending, b.others.fresh(now)
	f.route.AddIdle(-1, now)
	b.work.Begin(f.route, now)
}

func (f *flow) endRequest(now int64) {
	if f.route == nil {
		return
	}
	f.route.AddIdle(1, now)
	f.backend.work.End(f.route, work.Answer{
		Began: f.begunAt, SentAt: f.requestedAt, RoundTrip: f.roundTrip, Queue: f.queue, Slots: f.backend.Slots,
		Seen: f.seen, Cold: f.backend.warmUntil > f.begunAt,
	}, now)
}

func (f *flow) dropRequest(now int64) {
	if f.route != nil {
		f.route.AddIdle(1, now)
		f.backend.work.Drop(f.route, f.begunAt)
	}
}

// close removes the flow from what its route counts as open.
func (f *flow) close() {
	if f.route == nil || !f.open {
		return
	}
	if f.requestedAt != 0 {
		f.backend.work.Drop(f.route, f.begunAt)
		return
	}
	f.route.AddIdle(-1, f.lastSeen)
}
