package place

import "time"

// ZoneState is the load of a service in an availability zone, over all entry instances.
type ZoneState struct {
	Slots, Pending int
	// Limit is the number of requests that the backend servers hold before they reject any.
	Limit int
	// Latency is the mean time of a request; zero if unknown.
	Latency time.Duration
	// Distance is the time by which a request to the zone takes longer than one at home,
	// in both directions together.
	Distance time.Duration
	// Own is the number of requests that this instance has pending there.
	Own int
	// Cold is set if a backend server warms up there.
	Cold bool
	// Usable is set if there is fresh news of the zone and it has backend servers that
	// take new flows and are warm.
	Usable bool
}

// Parameters of the spillover.
const (
	// maxUse is the share of another zone's slots, in percent, up to which its room is
	// taken: the rest is kept for the zone's own variations.
	maxUse = 90
	// crowdedUse is the share of its slots, in percent, from which a zone counts as one
	// that may take other zones' room too.
	crowdedUse = 70
	// roomWeight is the weight of a new value of the room when it grows: it reaches
	// nine tenths within four views, a second.
	roomWeight = 0.45
	// maxCredit is the time for which unused room is kept.
	maxCredit = 100 * time.Millisecond
	// minGain is the part of a request's work that a caller must gain at least.
	minGain = 4
)

// Spill decides which part of a zone's new flows goes to other zones. Each instance takes
// its share of the room there as a rate of work, so that the instances of the crowded zones
// together take no more than there is.
type Spill struct {
	// home is the load of the own zone.
	home  ZoneState
	zones []spillZone
}

type spillZone struct {
	ZoneState
	// room is the number of slots that this instance may keep busy there.
	room float64
	// credit is the work that it may send there now.
	credit float64
	at     int64
}

// Update takes in the news of the home zone and the others. Instances is the number of entry
// instances in the home zone. The order of the zones must stay the same.
func (s *Spill) Update(home ZoneState, zones []ZoneState, instances int, mean time.Duration, now int64) {
	if len(s.zones) != len(zones) {
		s.zones = make([]spillZone, len(zones))
	}
	s.home = home
	instances = max(1, instances)
	claims := 1.0
	for i := range zones {
		if z := &zones[i]; z.Usable && 100*z.Pending >= crowdedUse*z.Slots {
			claims++
		}
	}
	for i := range zones {
		z := &s.zones[i]
		z.accrue(now)
		z.ZoneState = zones[i]
		room := 0.0
		if z.Usable && (home.Cold || 100*home.Pending > crowdedUse*home.Slots) {
			// What the zone's own instances and other zones need is kept: all but the part of
			// this zone, whose instances all send about as much as this one. The rest is
			// divided among the crowded zones and this zone's instances.
			// By Little's law the requests that are pending times the share of their time
			// that is work are the slots in use.
			need := float64(z.Pending - z.Own*instances)
			if z.Latency > 0 {
				need *= min(1, float64(mean)/float64(z.Latency))
			}
			room = max(0, float64(z.Slots)*maxUse/100-max(0, need)) / claims / float64(instances)
		}
		if room < z.room {
			z.room = room
		} else {
			z.room += (room - z.room) * roomWeight
		}
	}
}

func (z *spillZone) accrue(now int64) {
	if z.at != 0 {
		z.credit = min(z.credit+z.room*float64(now-z.at), z.room*float64(maxCredit)+float64(2*z.Latency))
	}
	z.at = now
}

// Choose returns the index of the zone that a new flow goes to, or -1 for home, where it
// would go to the chosen server. Random breaks ties.
func (s *Spill) Choose(r *Request, home Choice, random uint64, now int64) int {
	if 100*s.home.Pending <= crowdedUse*s.home.Slots && home.Slower < r.Work {
		return -1
	}
	wait := home.Wait
	if s.home.Latency > 0 {
		// A single server's wait is known less well than the mean over the zone.
		wait = min(wait, max(0, s.home.Latency-r.MeanWork))
	}
	if s.home.Limit > 0 {
		// Where most servers are near the limit of their queues, the wait is that of a request
		// that may be rejected: twice as long if all are full.
		full := min(1, float64(s.home.Pending)/float64(s.home.Limit))
		wait += time.Duration(full * full * float64(wait))
	}
	return s.Take(r, wait+home.Slower-r.Work/minGain, random, now)
}

// Take takes the room for a new flow in the zone where its request waits least, if that is less
// than the given time, distance included. It returns the zone's index, or -1 if there is none.
// Random breaks ties.
func (s *Spill) Take(r *Request, wait time.Duration, random uint64, now int64) int {
	best, bestWait := -1, wait
	n := len(s.zones)
	for k := range n {
		i := (k + index(random, n)) % n
		z := &s.zones[i]
		if !z.Usable || z.room <= 0 {
			continue
		}
		z.accrue(now)
		if z.credit < float64(r.Work) {
			continue
		}
		// The wait there: what its requests take longer than expected.
		there := max(0, z.Latency-r.MeanWork) + 2*z.Distance
		if there < bestWait {
			best, bestWait = i, there
		}
	}
	if best >= 0 {
		s.zones[best].credit -= float64(r.Work)
	}
	return best
}

// Anywhere returns the index of a zone for a flow that has no backend server at home, drawn
// by room, or -1 if no zone is known to have any.
func (s *Spill) Anywhere(random uint64) int {
	sum := 0
	room := func(z *spillZone) int {
		if !z.Usable {
			return 0
		}
		return 1 + max(0, z.Slots-z.Pending)
	}
	for i := range s.zones {
		sum += room(&s.zones[i])
	}
	if sum == 0 {
		return -1
	}
	at := index(random, sum)
	for i := range s.zones {
		if at -= room(&s.zones[i]); at < 0 {
			return i
		}
	}
	return -1
}
