package token

import (
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/place"
	"catkinrail.example/catkinrail/coordination/work"
)

// ChoiceKind is how the backend server of a new flow was chosen.
type ChoiceKind uint8

// Kinds of choices.
const (
	// ChoiceOwn is a choice by what this instance observes itself.
	ChoiceOwn ChoiceKind = iota
	// ChoiceWork is a choice in the own zone by the expected work.
	ChoiceWork
	// ChoiceSpilled is a choice in another zone because the own one is crowded.
	ChoiceSpilled
	// ChoiceAway is a choice in another zone because the own one has no backend server.
	ChoiceAway
	numChoiceKinds
)

// String returns the name of the kind.
func (k ChoiceKind) String() string {
	return [...]string{"own", "work", "spilled", "away"}[k]
}

// ChoiceKinds returns all kinds.
func ChoiceKinds() []ChoiceKind {
	list := make([]ChoiceKind, numChoiceKinds)
	for i := range list {
		list[i] = ChoiceKind(i)
	}
	return list
}

// placement is the state of placement by expected work.
type placement struct {
	candidates []place.Candidate
	services   map[string]*serviceIndex
	costs      map[costKey]*work.Route
	// names is reused by routesTo.
	names      []string
	handshakes map[catkinrail.Zone]time.Duration
	group      group
	// filter says which cold backend servers the flow that is being placed may go to.
	filter  coldFilter
	choices [numChoiceKinds]uint64
}

func newPlacement() placement {
	return placement{
		services: map[string]*serviceIndex{}, costs: map[costKey]*work.Route{},
		handshakes: map[catkinrail.Zone]time.Duration{},
	}
}

// place returns the backend server for a new flow of the route, other than the one to avoid,
// or nil and the reason if there is none. The route is nil if the document no longer has it. If
// the backend server is cold, there is a loan for it, which the caller must use. A flow that may
// have been forwarded before has a backend server to avoid; it is never refused for want of room.
func (e *Engine) place(r *catkinrail.Route, service string, avoid *Backend, priority int, now int64) (*Backend, Reason) {
	pl := &e.placement
	pl.filter = e.newColdFilter(service, e.services[service], avoid, priority, now)
	s := pl.services[service]
	shared := s != nil && s.learns && e.loads.fresh(now)
	if shared && s.byWork {
		switch b, full := e.placeByWork(r, service, s, avoid, now); {
		case b != nil:
			return b, ReasonPlaced
		case full:
			return nil, ReasonRoom
		}
	}
	own, reachable := e.chooseOwn(service, avoid, now)
	if own == nil {
		if pl.filter.excluded {
			return nil, ReasonCold
		}
		return nil, e.unplacedReason(service)
	}
	if shared && !s.byWork && reachable {
		req := e.request(r, service, s)
		switch b, full := e.spillOver(r, s, &req, place.Choice{}, avoid, now); {
		case b != nil:
			return b, ReasonPlaced
		case full:
			return nil, ReasonRoom
		}
	}
	return e.recordPlaced(own, ChoiceOwn), ReasonPlaced
}

// chooseOwn returns the backend server for a new flow by own observations, or nil if there is
// none. reachable is set if one of the own zone is neither silent nor suspect.
func (e *Engine) chooseOwn(service string, avoid *Backend, now int64) (b *Backend, reachable bool) {
	pl := &e.placement
	list := e.services[service]
	if len(list) == 0 {
		return nil, false
	}
	pl.candidates = pl.candidates[:0]
	for _, b := range list {
		c := b.candidate(e.zone, now)
		c.Draining = c.Draining || b == avoid || pl.filter.excludes(e, b, now)
		reachable = reachable || (c.Local && !c.Draining && !c.Silent && !c.Suspect())
		pl.candidates = append(pl.candidates, c)
	}
	i := place.Choose(pl.candidates, e.rng.Uint64())
	if i < 0 {
		return nil, reachable
	}
	return list[i], reachable
}

// placeByWork returns the backend server for a new flow by the expected work, or nil if it
// finds none that is neither silent nor suspect. full is set if there is none because the own
// zone has no place and no other one has room.
func (e *Engine) placeByWork(r *catkinrail.Route, service string, s *serviceIndex, avoid *Backend, now int64) (b *Backend, full bool) {
	pl := &e.placement
	s.placed++
	req := e.request(r, service, s)
	home := pl.choose(s.home, nil, ChoiceWork, &req, avoid, e, now)
	if !home.Reachable {
		if z := s.spill.Anywhere(e.rng.Uint64()); z >= 0 {
			return e.placeIn(&s.zones[z], ChoiceAway, &req, avoid, now), false
		}
		return nil, false
	}
	if b, full := e.spillOver(r, s, &req, home, avoid, now); b != nil || full {
		return b, full
	}
	return e.recordPlaced(s.home[home.Index], ChoiceWork), false
}

// spillOver returns a backend server in another zone for a new flow, if the flow gains by it or
// if the own zone has no place for it. It returns nil if the flow stays in the own zone, where it
// would go to the home choice; full is set if there is no place in any zone. Services of few
// servers only spill over for want of a place: what they would gain by the last sums is gone
// before a flow arrives.
func (e *Engine) spillOver(r *catkinrail.Route, s *serviceIndex, req *place.Request, home place.Choice, avoid *Backend, now int64) (b *Backend, full bool) {
	z := -1
	if s.byWork {
		z = s.spill.Choose(req, home, e.rng.Uint64(), now)
	}
	if z < 0 && r != nil && avoid == nil {
		var wait time.Duration
		if full, wait = e.homeFull(r, s); full {
			z = s.spill.Take(req, wait, e.rng.Uint64(), now)
		}
	}
	if z >= 0 {
		b = e.placeIn(&s.zones[z], ChoiceSpilled, req, avoid, now)
	}
	if full {
		s.recordCrowded(b == nil)
	}
	return b, full && b == nil
}

// placeIn returns a backend server of another zone for a new flow, or nil if none of those that
// it looks at can be reached.
func (e *Engine) placeIn(zone *zoneIndex, kind ChoiceKind, req *place.Request, avoid *Backend, now int64) *Backend {
	c := e.placement.choose(zone.backends, zone, kind, req, avoid, e, now)
	if !c.Reachable {
		return nil
	}
	return e.recordPlaced(zone.backends[c.Index], kind)
}

// request returns what is expected of a new flow of the route.
func (e *Engine) request(r *catkinrail.Route, service string, s *serviceIndex) place.Request {
	req := s.request
	req.Work = req.MeanWork
	if r != nil {
		if c := e.placement.costs[costKey{r.Name, service}]; c != nil && c.Known() {
			req.Work = c.Mean()
		}
	}
	return req
}

// recordPlaced counts the choice and returns b.
func (e *Engine) recordPlaced(b *Backend, kind ChoiceKind) *Backend {
	e.placement.choices[kind]++
	if e.observer != nil {
		e.observer.Placed(kind, b.Zone)
	}
	return b
}

// group is the backend servers of a zone as ChooseByWork reads them.
type group struct {
	backends []*Backend
	// zone is that of the backend servers, or nil for the own one.
	zone  *zoneIndex
	kind  ChoiceKind
	req   *place.Request
	avoid *Backend
	e     *Engine
	now   int64
}

func (pl *placement) choose(list []*Backend, zone *zoneIndex, kind ChoiceKind, req *place.Request, avoid *Backend, e *Engine, now int64) place.Choice {
	// The group is kept in the engine, so that passing it as an interface doesn't allocate.
	pl.group = group{list, zone, kind, req, avoid, e, now}
	return place.ChooseByWork(&pl.group, req, e.rng.Uint64())
}

// Len implements place.Group.
func (g *group) Len() int { return len(g.backends) }

// At implements place.Group.
func (g *group) At(i int) place.WorkCandidate {
	b := g.backends[i]
	c := place.WorkCandidate{Candidate: b.candidate(g.e.zone, g.now)}
	// Nothing spills over to a cold backend server.
	c.Draining = c.Draining || b == g.avoid || (g.kind == ChoiceSpilled && c.Warmup > 0) || g.e.placement.filter.excludes(g.e, b, g.now)
	mean, others := g.req.MeanWork, b.others
	if g.zone != nil {
		// Only the zone's totals are known.
		others = othersLoad{pending: max(0, g.zone.pending-c.Pending), flows: max(0, g.zone.flows-c.Flows)}
	}
	c.OthersPending, c.OthersFlows = others.pending, others.flows
	c.Remaining = b.work.Remaining(mean, g.now) + time.Duration(b.pendingHandshakes)*mean
	if c.Warmup == 0 {
		c.Slowness = g.e.slowness(b, others, mean, g.now)
	}
	if since, ok := b.work.SinceRejected(g.now); ok {
		c.Backlog = time.Duration(work.QueueLimit+b.Slots)*mean - since*time.Duration(max(1, b.Slots))
	}
	return c
}

// slowness returns the time that a request takes on a warm backend server, relative to its
// route's expectation. Mean is the work of the service's requests.
func (e *Engine) slowness(b *Backend, others othersLoad, mean time.Duration, now int64) float64 {
	shared := work.SharedSlowness(others.latency, mean, e.placement.handshakes[e.zone], float64(others.pending), b.Slots)
	return b.work.Slowness(shared, now)
}

// candidate returns what this instance observes of the backend server.
func (b *Backend) candidate(home catkinrail.Zone, now int64) place.Candidate {
	return place.Candidate{
		Slots: b.Slots, Pending: b.pending + b.pendingHandshakes, Flows: b.flows, Latency: b.latency,
		Warmup: time.Duration(max(0, b.warmUntil-now)), Misses: b.misses, SinceMiss: time.Duration(now - b.lastMiss),
		Silent: b.silent, Draining: b.Draining || b.evacuated, Local: b.Zone == home,
	}
}

// Choices returns the number of flows placed by kind of choice.
func (e *Engine) Choices() [numChoiceKinds]uint64 { return e.placement.choices }
