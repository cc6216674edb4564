package warmup

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
)

const (
	// contactTimeout is the time since the last sync with a leader after which an
	// instance isn't in contact.
	contactTimeout = time.Second
	// viewLag is the age that the members in a leader's message may have when it
	// arrives: a leader without a majority steps down within 0.8 s, and messages may be
	// late by a second.
	viewLag = 2 * time.Second
	// settleTime is the time for which an instance must have been the lender, in contact
	// all the time, before it lends: by then no opening packet of a loan by its
	// predecessor, or by itself before a restart, falls into the same second as one of
	// its own loans.
	settleTime = contactTimeout + viewLag + Window
	// paceBurst is the time for which unused flows of the rate are saved up. It exceeds
	// the interval of the requests, so that a single entry instance can use the rate.
	paceBurst = 300 * time.Millisecond
	// processRetention is the time after which the sequence of a silent process is
	// forgotten. A request that is repeated later gets loans that are counted but can no
	// longer be used.
	processRetention = 10 * time.Second
	// maxProcesses bounds the processes that are remembered: four times the planned
	// number of entry instances. Others get no loans.
	maxProcesses = 4096
	// maxScan bounds the backend servers that one request looks at.
	maxScan = 256
)

// Voter is a control instance with a vote.
type Voter struct {
	Name string
	Addr string
	Zone catkinrail.Zone
}

// Voters returns the control instances that may lend flows, by name: those with a vote, but for the
// ones that were told to stop. Entry instances follow the first one of their zone.
func Voters(m *quorum.Members) (list []Voter) {
	for id, peer := range m.Nodes {
		if m.Voter(id) && !m.Stopping[id] {
			list = append(list, Voter{Name: peer.Name, Addr: peer.Addr, Zone: catkinrail.Zone(peer.Zone)})
		}
	}
	slices.SortFunc(list, func(a, b Voter) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Server is a cold backend server of a service with a warm-up limit.
type Server struct {
	Key

	Service string
	Zone    catkinrail.Zone
	// Rate is the number of opening packets a second that it bears.
	Rate float64
}

// server is a cold backend server with its recent loans.
type server struct {
	Server
	budget int
	// loans are those whose opening packets may still arrive, or have arrived within the
	// last second, and sum their flows.
	loans []record
	sum   int
	// paidUntil is the time up to which the rate has been lent; gap is the time of one
	// flow at the rate.
	paidUntil int64
	gap       int64
	// listed is set while the server is among the cold ones.
	listed bool
}

// record is a loan.
type record struct {
	process, sequence uint64
	flows             int
	// until is the time until which its opening packets may arrive.
	until int64
}

// group holds the cold backend servers of a service in one zone.
type group struct {
	service string
	zone    catkinrail.Zone
}

// process is what is known of an entry instance's process.
type process struct {
	sequence uint64
	at       int64
}

// Stats counts flows since the start.
type Stats struct {
	// Lent counts the flows that were lent, Returned those that came back unused, and
	// Wanted those that were asked for while there were cold backend servers.
	Lent, Returned, Wanted uint64
}

// Lender lends flows on cold backend servers to entry instances, so that the opening
// packets that arrive at one in any second are never more than tolerated. It isn't safe
// for concurrent use.
type Lender struct {
	self      string
	tolerance Tolerance
	voters    []Voter
	// synced is the time at which the instance last had everything that its leader had
	// committed.
	synced int64
	clock  clockCheck
	// since holds, by zone, the time since which this instance has been the lender of
	// the zone's backend servers.
	since     map[catkinrail.Zone]int64
	servers   map[Key]*server
	groups    map[group][]*server
	zones     []catkinrail.Zone
	processes map[uint64]*process
	cursor    int
	stats     Stats
}

// NewLender returns a lender for the control instance of the given name. It is out of
// contact until SetView is called.
func NewLender(self string, t Tolerance) *Lender {
	return &Lender{
		self: self, tolerance: t.OrDefault(), since: map[catkinrail.Zone]int64{}, servers: map[Key]*server{},
		groups: map[group][]*server{}, processes: map[uint64]*process{}, synced: math.MinInt64 / 2,
	}
}

// Stats returns the counts.
func (l *Lender) Stats() Stats { return l.stats }

// SetView records the voters in the instance's state, and the time at which it last had
// everything that its leader had committed. It must be called before each request, and
// more often than once in contactTimeout: a longer gap counts as a loss of contact, and so
// does a divergence of the wall clock from the steady clock.
func (l *Lender) SetView(voters []Voter, synced, now, wall int64) {
	before := l.synced
	// A new leader has no such time until it has committed something.
	l.synced = max(l.synced, synced)
	if l.clock.diverged(now, wall) || l.synced-before >= int64(contactTimeout) || now-l.synced >= int64(contactTimeout) {
		// Another instance may have been the lender in between.
		clear(l.since)
	}
	if slices.Equal(voters, l.voters) {
		return
	}
	l.voters = slices.Clone(voters)
	for zone := range l.since {
		if l.lenderOf(zone) != l.self {
			delete(l.since, zone)
		}
	}
}

// lenderOf returns the name of the lender for a zone's backend servers: the first voter
// of the zone by name, or the first of all voters if the zone has none.
func (l *Lender) lenderOf(zone catkinrail.Zone) string {
	first, inZone := "", ""
	for _, v := range l.voters {
		if first == "" || v.Name < first {
			first = v.Name
		}
		if v.Zone == zone && (inZone == "" || v.Name < inZone) {
			inZone = v.Name
		}
	}
	return cmp.Or(inZone, first)
}

// SetServers replaces the cold backend servers, and the zones that may have some. What was
// lent on others still counts if they come back.
func (l *Lender) SetServers(list []Server, zones []catkinrail.Zone, now int64) {
	for _, s := range l.servers {
		s.listed = false
	}
	clear(l.groups)
	l.zones = append(l.zones[:0], zones...)
	for i := range list {
		in := &list[i]
		s := l.servers[in.Key]
		if s == nil {
			s = &server{paidUntil: now - int64(paceBurst)}
			l.servers[in.Key] = s
		}
		s.Server, s.listed = *in, true
		s.budget = l.tolerance.Budget(in.Rate)
		// The mean is kept at the rate; what is tolerated beyond it is for single seconds.
		s.gap = gapOf(in.Rate)
		g := group{in.Service, in.Zone}
		l.groups[g] = append(l.groups[g], s)
		if !slices.Contains(l.zones, in.Zone) {
			l.zones = append(l.zones, in.Zone)
		}
	}
	slices.Sort(l.zones)
	for key, s := range l.servers {
		if s.expire(now); !s.listed && len(s.loans) == 0 {
			delete(l.servers, key)
		}
	}
	for id, p := range l.processes {
		if now-p.at > int64(processRetention) {
			delete(l.processes, id)
		}
	}
	for _, zone := range l.zones {
		l.lends(zone, now)
	}
}

// Zones returns the zones on whose backend servers the instance lends flows.
func (l *Lender) Zones(now int64) (list []catkinrail.Zone) {
	for _, zone := range l.zones {
		if l.lends(zone, now) {
			list = append(list, zone)
		}
	}
	return list
}

// lends reports whether the instance lends flows on the zone's backend servers.
func (l *Lender) lends(zone catkinrail.Zone, now int64) bool {
	if now-l.synced >= int64(contactTimeout) || l.lenderOf(zone) != l.self {
		delete(l.since, zone)
		return false
	}
	since, ok := l.since[zone]
	if !ok {
		l.since[zone] = now
		return false
	}
	return now-since > int64(settleTime)
}

// Lend returns the loans for a request. A request that isn't newer than the last one of
// its process gets none.
func (l *Lender) Lend(r *message.LoadReport, now int64) []message.Loan {
	p := l.processes[r.Process]
	if p == nil {
		if len(r.Wants) == 0 || len(l.processes) >= maxProcesses {
			return nil
		}
		p = &process{}
		l.processes[r.Process] = p
	}
	if r.Sequence <= p.sequence {
		return nil
	}
	l.takeBack(r, now)
	p.sequence, p.at = r.Sequence, now
	var loans []message.Loan
	for _, service := range slices.Sorted(maps.Keys(r.Wants)) {
		want := min(r.Wants[service], maxBudget)
		if want <= 0 {
			continue
		}
		servers, available := l.available(service, r.Zone, want, now)
		if len(servers) == 0 {
			continue
		}
		l.stats.Wanted += uint64(want)
		loans = l.lend(loans, servers, share(want, available), r, now)
	}
	return loans
}

// available returns the backend servers of the service that have flows to lend, and the
// sum of those flows. Those of the given zone come first; others are only looked at if
// they don't suffice.
func (l *Lender) available(service string, zone catkinrail.Zone, want int, now int64) (list []*server, sum int) {
	l.cursor++
	scanned := 0
	for i := -1; i < len(l.zones) && sum < want; i++ {
		z := zone
		if i >= 0 {
			if z = l.zones[i]; z == zone {
				continue
			}
		}
		servers := l.groups[group{service, z}]
		if len(servers) == 0 || !l.lends(z, now) {
			continue
		}
		for k := range servers {
			if scanned++; scanned > maxScan {
				return list, sum
			}
			s := servers[(l.cursor+k)%len(servers)]
			if n := s.available(now); n > 0 {
				list = append(list, s)
				sum += n
			}
		}
	}
	return list, sum
}

// maxGap limits the time between two opening packets to a cold backend server. No warm-up is as
// long.
const maxGap = 24 * time.Hour

// gapOf returns the nanoseconds between two opening packets at a rate, at least one.
func gapOf(rate float64) int64 {
	return int64(min(max(float64(time.Second)/rate, 1), float64(maxGap)))
}

// shareDivisor is the part of the available flows that one request gets: with all of them,
// an instance that asks just after another would get none; with fewer, more of the rate
// would wait for the next request.
const shareDivisor = 3

// share returns the flows that a request gets of those that are available.
func share(want, available int) int {
	return min(want, (available+shareDivisor-1)/shareDivisor)
}

// lend lends n flows, spread over the backend servers.
func (l *Lender) lend(loans []message.Loan, servers []*server, n int, r *message.LoadReport, now int64) []message.Loan {
	counts := make([]int, len(servers))
	for more := true; n > 0 && more; {
		more = false
		for i, s := range servers {
			if n > 0 && counts[i] < s.available(now) {
				counts[i]++
				n--
				more = true
			}
		}
	}
	for i, s := range servers {
		if counts[i] == 0 {
			continue
		}
		s.record(record{r.Process, r.Sequence, counts[i], now + int64(Window-time.Second)}, now)
		l.stats.Lent += uint64(counts[i])
		loans = append(loans, message.Loan{Token: s.Token, StartedAt: s.StartedAt, Flows: counts[i]})
	}
	return loans
}

// takeBack applies the ends of loans: what was left over is free again, and the rest was
// used by the time of the last use. The instance has sent its report since then, so that
// the time of the last use isn't later than the report's arrival less the idle time.
func (l *Lender) takeBack(r *message.LoadReport, now int64) {
	for i := range r.Returned {
		ret := &r.Returned[i]
		s := l.servers[Key{ret.Token, ret.StartedAt}]
		if s == nil {
			continue
		}
		for k := range s.loans {
			rec := &s.loans[k]
			if rec.process != r.Process || rec.sequence != ret.Sequence {
				continue
			}
			n := min(rec.flows, max(0, ret.Flows))
			rec.flows -= n
			rec.until = min(rec.until, now-int64(max(0, ret.Idle))+int64(MaxTransit+maxDivergence))
			s.sum -= n
			s.paidUntil -= int64(n) * s.gap
			l.stats.Returned += uint64(n)
		}
	}
}

// expire removes the loans whose opening packets can't arrive within the same second as
// those of a loan given now.
func (s *server) expire(now int64) {
	s.loans = slices.DeleteFunc(s.loans, func(r record) bool {
		if r.flows > 0 && now-r.until <= int64(time.Second) {
			return false
		}
		s.sum -= r.flows
		return true
	})
}

// available returns the number of flows that can be lent.
func (s *server) available(now int64) int {
	s.expire(now)
	s.paidUntil = max(s.paidUntil, now-max(int64(paceBurst), s.gap))
	return max(0, min(s.budget-s.sum, int((now-s.paidUntil)/s.gap)))
}

func (s *server) record(r record, now int64) {
	s.loans = append(s.loans, r)
	s.sum += r.flows
	s.paidUntil = max(s.paidUntil, now-max(int64(paceBurst), s.gap)) + int64(r.flows)*s.gap
}
