package token

import (
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/admission"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/place"
	"catkinrail.example/catkinrail/coordination/work"
)

const (
	// sumsAge is the age that the sums of the other instances reach: two intervals of
	// 250 ms at which they are sent, less half of one, since the instances report at
	// different times.
	sumsAge = 375 * time.Millisecond
	// defaultDistance is assumed for a zone without a measured handshake.
	defaultDistance = 2 * time.Millisecond
)

// serviceIndex is the backend servers of a service by zone, without those that take no new
// flows or are silent.
type serviceIndex struct {
	name string
	// learns is set if the document calls for decisions by expected work, so that the work of
	// requests is learned; byWork is set if there are enough backend servers to place by it.
	learns, byWork bool
	home           []*Backend
	zones          []zoneIndex
	states         []place.ZoneState
	spill          place.Spill
	routes         []*work.Route
	// request holds the means over the service's routes.
	request place.Request
	room    admission.Room
	// shownWork is the mean work of the service's requests without what is assumed of any; zero
	// if most of them are of routes whose work isn't known.
	shownWork time.Duration
	// crowding holds the flows that found no place since the last TakeCrowding.
	crowding Crowding
	// ranks are those of the priorities of the service's routes.
	ranks map[int]float64
	// placed is the number of flows placed since the last refresh, at refreshedAt, and rate
	// those a nanosecond.
	placed      int
	rate        float64
	refreshedAt int64
}

type zoneIndex struct {
	zone     catkinrail.Zone
	backends []*Backend
	// pending and flows are those that a backend server of the zone has on the mean.
	pending, flows int
}

// leadsTo reports whether the route sends flows to the service.
func leadsTo(r *catkinrail.Route, service string) bool {
	return slices.ContainsFunc(r.Targets, func(t catkinrail.Target) bool { return t.Service == service && t.Weight > 0 })
}

// priorities returns those of the routes to a service.
func priorities(d *catkinrail.Document, service string) []int {
	var list []int
	for i := range d.Routes {
		if leadsTo(&d.Routes[i], service) {
			list = append(list, d.Routes[i].Priority)
		}
	}
	return list
}

// callsForWork reports whether a service's routes differ in priority or state a latency
// target.
func callsForWork(d *catkinrail.Document, service string) bool {
	priority, n := 0, 0
	for i := range d.Routes {
		r := &d.Routes[i]
		if !leadsTo(r, service) {
			continue
		}
		if r.LatencyTarget > 0 || (n > 0 && r.Priority != priority) {
			return true
		}
		priority = r.Priority
		n++
	}
	return false
}

// manyServers reports whether a zone has more of the backend servers, on the mean, than a choice
// samples. With fewer, the own flows say as much about each as older sums do: with four in a
// zone, a burst had 5.1 % late answers by expected work and 4.2 % by own observations.
func manyServers(list []*Backend) bool {
	zones := 0
	for i, b := range list {
		if !slices.ContainsFunc(list[:i], func(o *Backend) bool { return o.Zone == b.Zone }) {
			zones++
		}
	}
	return len(list) > place.SampleSize*zones
}

// indexPlacement rebuilds the index after a change of the document, the evacuations or the
// backend servers.
func (e *Engine) indexPlacement() {
	pl := &e.placement
	if e.document == nil {
		return
	}
	for name := range pl.services {
		if e.services[name] == nil {
			delete(pl.services, name)
		}
	}
	for name, list := range e.services {
		s := pl.services[name]
		if s == nil {
			s = &serviceIndex{name: name}
			pl.services[name] = s
		}
		s.learns = callsForWork(e.document, name)
		s.byWork = s.learns && manyServers(list)
		if s.learns {
			s.index(e.zone, list)
			s.ranks = admission.Ranks(priorities(e.document, name))
		}
	}
	named := map[string]bool{}
	for i := range e.document.Routes {
		named[e.document.Routes[i].Name] = true
	}
	for key := range pl.costs {
		if !named[key.route] {
			delete(pl.costs, key)
		}
	}
}

// index sorts the backend servers into zones. Zones stay in the list, so that the state of
// the spillover keeps its order.
func (s *serviceIndex) index(home catkinrail.Zone, list []*Backend) {
	s.home = s.home[:0]
	for i := range s.zones {
		s.zones[i].backends = s.zones[i].backends[:0]
	}
	for _, b := range list {
		i := slices.IndexFunc(s.zones, func(z zoneIndex) bool { return z.zone == b.Zone })
		if i < 0 && b.Zone != home {
			i = len(s.zones)
			s.zones = append(s.zones, zoneIndex{zone: b.Zone})
		}
		switch {
		case b.Draining || b.evacuated || b.silent:
		case b.Zone == home:
			s.home = append(s.home, b)
		default:
			s.zones[i].backends = append(s.zones[i].backends, b)
		}
	}
}

// refreshPlacement applies the view of the load that others put on the backend servers.
func (e *Engine) refreshPlacement(now int64) {
	pl := &e.placement
	list, instances := e.loads.view.Zones(), e.loads.view.Instances()
	for _, r := range pl.costs {
		r.Refresh(now)
	}
	for name, s := range pl.services {
		if s.learns {
			e.refreshService(name, s, list, instances, now)
		}
	}
}

// refreshService brings the means of a service, the totals of its zones and the spillover up
// to date.
func (e *Engine) refreshService(name string, s *serviceIndex, list []message.ZoneLoad, instances int, now int64) {
	s.routes = e.placement.routesTo(name, s.routes[:0])
	s.request.MeanWork, s.request.IdleWork = work.Mix(s.routes, place.WorkHorizon)
	s.shownWork = work.ShownMean(s.routes)
	if d := now - s.refreshedAt; d > 0 {
		s.rate += (float64(s.placed)/float64(d) - s.rate) / 2
		s.placed, s.refreshedAt = 0, now
	}
	s.request.Unseen, s.request.Instances = 0, instances
	if n := len(s.home); n > 0 {
		s.request.Unseen = s.rate * float64(max(0, instances-1)) / float64(n) * float64(sumsAge)
	}
	home, rate := place.ZoneState{}, 0.0
	others := 0
	for _, b := range s.home {
		if b.warmUntil > now {
			home.Cold = true
			continue
		}
		others += b.others.pending
		home.Slots += max(1, b.Slots)
		home.Limit += max(1, b.Slots) + work.QueueLimit
		home.Pending += b.pending + b.pendingHandshakes + b.others.pending
		if l := b.others.latency; l > 0 {
			rate += float64(b.others.pending) / float64(l)
		}
	}
	if rate > 0 {
		home.Latency = time.Duration(float64(others) / rate)
	}
	s.states = s.states[:0]
	for i := range s.zones {
		z := &s.zones[i]
		state := place.ZoneState{Distance: e.distance(z.zone)}
		for _, b := range z.backends {
			if b.warmUntil <= now {
				state.Usable = true
				state.Slots += max(1, b.Slots)
			}
			state.Own += b.pending + b.pendingHandshakes
		}
		k := slices.IndexFunc(list, func(l message.ZoneLoad) bool { return l.Zone == z.zone && l.Service == name })
		if k < 0 {
			state.Usable = false
		} else {
			state.Pending, state.Latency = list[k].Pending, list[k].Latency
			n := max(1, len(z.backends))
			z.pending, z.flows = list[k].Pending/n, list[k].Flows/n
		}
		s.states = append(s.states, state)
	}
	for _, r := range s.routes {
		r.SetCrowded(2*home.Pending > home.Slots)
	}
	s.spill.Update(home, s.states, instances, s.request.MeanWork, now)
	e.refreshRoom(s, instances, now)
}

// distance returns the time by which a request to the zone takes longer than one at home.
func (e *Engine) distance(zone catkinrail.Zone) time.Duration {
	home, away := e.placement.handshakes[e.zone], e.placement.handshakes[zone]
	if home == 0 || away == 0 {
		return defaultDistance
	}
	return max(0, away-home)
}
