package token

import (
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/admission"
)

// refreshRoom brings the room of a service in the own zone up to date, after its means.
func (e *Engine) refreshRoom(s *serviceIndex, instances int, now int64) {
	var zone admission.Zone
	sum, weight := time.Duration(0), 0
	for _, b := range s.home {
		pending := b.pending + b.pendingHandshakes + b.others.pending
		zone.Add(max(1, b.Slots), pending)
		latency := b.others.latency
		if latency == 0 {
			latency = b.work.Latency(now)
		}
		if latency > 0 {
			sum += latency * time.Duration(pending)
			weight += pending
		}
	}
	if weight > 0 {
		zone.Latency = sum / time.Duration(weight)
	}
	s.room.Update(zone, instances)
}

// Crowding is what an instance refuses of a service whose backend servers in the own zone have more
// requests than they answer in time.
type Crowding struct {
	Service string
	// Zone, Instances and MeanWork are what the shares were calculated from at the last of them.
	Zone      admission.Zone
	Instances int
	MeanWork  time.Duration
	// Refused is the number of flows that were refused, and Elsewhere that of flows that went to
	// another zone instead.
	Refused, Elsewhere int
}

// recordCrowded counts a flow for which the own zone had no place.
func (s *serviceIndex) recordCrowded(refused bool) {
	c := &s.crowding
	c.Service, c.MeanWork = s.name, s.shownWork
	c.Zone, c.Instances = s.room.Load()
	if refused {
		c.Refused++
		return
	}
	c.Elsewhere++
}

// TakeCrowding appends the services for which this instance had no place since the last call to
// list.
func (e *Engine) TakeCrowding(list []Crowding) []Crowding {
	for _, s := range e.placement.services {
		if s.crowding.Service != "" {
			list = append(list, s.crowding)
			s.crowding = Crowding{}
		}
	}
	return list
}

// homeFull reports whether the own zone has no place for a request of a new flow of the route.
// It returns the time for which the request may wait elsewhere: less than in the own zone, and
// not so long that it is late. Only work that was learned counts: until then nothing is refused.
func (e *Engine) homeFull(r *catkinrail.Route, s *serviceIndex) (full bool, slack time.Duration) {
	q := admission.Request{
		Target: r.LatencyTarget, RoundTrip: 2 * e.placement.handshakes[e.zone], Work: s.shownWork, MeanWork: s.shownWork,
		Rank: s.ranks[r.Priority],
	}
	if c := e.placement.costs[costKey{r.Name, s.name}]; c != nil && c.Known() {
		q.Work = c.Mean()
	}
	pending := 0
	for _, b := range s.home {
		pending += b.pending + b.pendingHandshakes
	}
	zone, _ := s.room.Load()
	return s.room.Full(&q, pending, e.rng.Uint64()), min(q.Slack(), max(0, zone.Latency-q.MeanWork))
}
