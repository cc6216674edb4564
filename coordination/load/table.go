package load

import (
	"cmp"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
)

// Timing and limits of a table.
const (
	// versionRetention is the time for which the version of a silent sender is kept, so
	// that a late message of it isn't taken for a new one.
	versionRetention = time.Minute
	// arrivalTime is the time for which an entry instance that begins to report is
	// announced to the other control instances. Until the end of it, what the instance
	// reported to one of them may still count there.
	arrivalTime = Expiry + 200*time.Millisecond
	// totalsInterval is the least time between two calculations of the totals of zones.
	// Other control instances send their parts every 300 ms.
	totalsInterval = 250 * time.Millisecond
	// maxSources limits the senders of each kind, far above the planned 940 entry
	// instances.
	maxSources = 1 << 14
	// maxRows limits the rows, above the planned 4,800 backend servers and those that
	// ended lately.
	maxRows = 1 << 16
)

// Server is a backend server that the table knows.
type Server struct {
	Key     Key
	Zone    catkinrail.Zone
	Service string
	// Slots is the number of its slots, zero if it takes no new flows.
	Slots int
}

// Table keeps the sums of the loads that are reported to one control instance, and of
// those that other control instances send. It isn't safe for concurrent use.
type Table struct {
	self    string
	process uint64
	// revision grows with every call that may change a sum.
	revision uint64
	// floor is the revision of the last row that was dropped: a receiver that is older
	// gets all rows.
	floor     uint64
	rows      map[Key]*row
	zones     map[catkinrail.Zone][]*row
	instances map[string]*source
	peers     map[string]*source
	// sequences holds, by receiver, the sequence of the last message, and shared whether
	// it had any load in it.
	sequences map[string]uint64
	shared    map[string]bool
	// oldest is a lower bound of the times of the last messages of live senders.
	oldest int64
	last   int64

	totals         []message.ZoneLoad
	totalsAt       int64
	totalsRevision uint64
}

// row is the load of one incarnation.
type row struct {
	Server
	// known is set while the directory has the server; only known ones are sent.
	known bool
	// local is the sum over the entry instances that report here, total that over all.
	local, total sum
	// refs is the number of contributions.
	refs     int
	revision uint64
}

// NewTable returns an empty table. Self is the control instance's address; process is a
// random number that tells it from earlier processes at the address.
func NewTable(self string, process uint64) *Table {
	return &Table{
		self: self, process: process, rows: map[Key]*row{}, zones: map[catkinrail.Zone][]*row{},
		instances: map[string]*source{}, peers: map[string]*source{},
		sequences: map[string]uint64{}, shared: map[string]bool{},
	}
}

// SetServer adds a backend server or updates it.
func (t *Table) SetServer(s Server) {
	t.revision++
	r := t.row(s.Key)
	if r == nil {
		return
	}
	if r.known && r.Zone == s.Zone {
		r.Service, r.Slots = s.Service, s.Slots
		return
	}
	t.unlist(r)
	r.Server, r.known, r.revision = s, true, t.revision
	list := t.zones[s.Zone]
	i, _ := slices.BinarySearchFunc(list, s.Key, func(r *row, k Key) int { return cmp.Compare(r.Key, k) })
	t.zones[s.Zone] = slices.Insert(list, i, r)
}

// RemoveServer removes a backend server that has ended.
func (t *Table) RemoveServer(k Key) {
	t.revision++
	if r := t.rows[k]; r != nil {
		t.unlist(r)
		t.dropUnused(r)
	}
}

// unlist removes the row from those that are sent. Receivers that may have it get all rows
// next, because a later change of it would not be sent to them.
func (t *Table) unlist(r *row) {
	if !r.known {
		return
	}
	r.known = false
	t.floor = t.revision
	list := t.zones[r.Zone]
	i, found := slices.BinarySearchFunc(list, r.Key, func(r *row, k Key) int { return cmp.Compare(r.Key, k) })
	if found {
		t.zones[r.Zone] = slices.Delete(list, i, i+1)
	}
	if len(t.zones[r.Zone]) == 0 {
		delete(t.zones, r.Zone)
	}
}

// row returns the row of the key and creates it if it doesn't exist. It returns nil if
// the table is full.
func (t *Table) row(k Key) *row {
	r := t.rows[k]
	if r == nil && len(t.rows) < maxRows {
		r = &row{Server: Server{Key: k}}
		t.rows[k] = r
	}
	return r
}

func (t *Table) dropUnused(r *row) {
	if r.refs == 0 && !r.known {
		delete(t.rows, r.Key)
	}
}

// Report applies the report of an entry instance, unless it is older than one that was
// applied before, and returns the reply to it.
func (t *Table) Report(r *message.LoadReport, now int64) *message.LoadReply {
	t.expire(now)
	t.revision++
	s := t.instances[r.Name]
	if s == nil && len(t.instances) < maxSources {
		s = &source{}
		t.instances[r.Name] = s
	}
	if s == nil {
		return &message.LoadReply{}
	}
	if s.accept(r.Process, r.Sequence, now) {
		s.zone = r.Zone
		t.replace(s, r.Servers, true)
	}
	reply := &message.LoadReply{Revision: message.ResumePoint{Process: t.process, Revision: t.revision}}
	if s.live && s.process == r.Process {
		reply.Sequence = s.sequence
	}
	known := r.Known.Revision
	if r.Known.Process != t.process || known < t.floor || known > t.revision {
		reply.Whole, known = true, 0
	}
	for _, row := range t.zones[r.Zone] {
		if row.revision > known && (!reply.Whole || row.total != (sum{})) {
			reply.Servers = append(reply.Servers, row.total.message(row.Key))
		}
	}
	t.refreshTotals(now)
	if t.totalsRevision > known {
		for _, z := range t.totals {
			if z.Zone != r.Zone {
				reply.Zones = append(reply.Zones, z)
			}
		}
	}
	reply.Instances = t.instancesIn(r.Zone)
	return reply
}

func (s *sum) message(k Key) message.ServerLoad {
	return message.ServerLoad{Server: k, Pending: s.pending, Flows: s.flows, Latency: s.latency()}
}

// instancesIn returns the number of entry instances of a zone that report.
func (t *Table) instancesIn(zone catkinrail.Zone) int {
	n := 0
	for _, s := range t.instances {
		if s.live && s.zone == zone {
			n++
		}
	}
	for _, s := range t.peers {
		n += s.instances[zone]
	}
	return n
}

// replace replaces the source's part in the rows. Rows in which it doesn't change keep
// their revision.
func (t *Table) replace(s *source, list []message.ServerLoad, local bool) {
	list = normalize(list)
	old := s.rows
	next := make([]contribution, 0, len(list))
	for len(old) > 0 || len(list) > 0 {
		c := -1
		switch {
		case len(old) == 0:
			c = 1
		case len(list) > 0:
			c = cmp.Compare(old[0].load.Server, list[0].Server)
		}
		switch {
		case c == 0 && old[0].load == list[0]:
			next = append(next, old[0])
			old, list = old[1:], list[1:]
		case c == 0:
			t.add(old[0].row, &old[0].load, -1, local)
			t.add(old[0].row, &list[0], 1, local)
			next = append(next, contribution{old[0].row, list[0]})
			old, list = old[1:], list[1:]
		case c < 0:
			r := old[0].row
			t.add(r, &old[0].load, -1, local)
			r.refs--
			t.dropUnused(r)
			old = old[1:]
		default:
			if r := t.row(list[0].Server); r != nil {
				t.add(r, &list[0], 1, local)
				r.refs++
				next = append(next, contribution{r, list[0]})
			}
			list = list[1:]
		}
	}
	s.rows = next
}

func (t *Table) add(r *row, l *message.ServerLoad, sign int, local bool) {
	r.total.add(l, sign)
	if local {
		r.local.add(l, sign)
	}
	r.revision = t.revision
}

// Remove removes the part of an entry instance that no longer follows this control
// instance.
func (t *Table) Remove(name string) {
	t.revision++
	if s := t.instances[name]; s != nil {
		t.drop(s, true)
	}
}

// drop removes the source's part. Its version is kept.
func (t *Table) drop(s *source, local bool) {
	t.replace(s, nil, local)
	s.zones, s.instances, s.wants, s.live = nil, nil, nil, false
}

// Expire drops the parts of the senders that have fallen silent.
func (t *Table) Expire(now int64) {
	t.expire(now)
}

func (t *Table) expire(now int64) {
	back := now < t.last
	t.last = now
	if !back && now-t.oldest <= int64(Expiry) {
		return
	}
	t.revision++
	t.oldest = now
	t.expireSources(t.instances, now, true)
	t.expireSources(t.peers, now, false)
}

func (t *Table) expireSources(sources map[string]*source, now int64, local bool) {
	for name, s := range sources {
		// A clock that was set back must not prolong the life of a part.
		s.at = min(s.at, now)
		age := now - s.at
		switch {
		case s.live && age > int64(Expiry):
			t.drop(s, local)
		case !s.live && age > int64(versionRetention):
			delete(sources, name)
		case s.live:
			t.oldest = min(t.oldest, s.at)
		}
	}
}

// Share returns the message to another control instance in the given zone, or nil if there
// is no load and there was none in the last one.
func (t *Table) Share(to string, zone catkinrail.Zone, now int64) *message.LoadShare {
	t.expire(now)
	m := &message.LoadShare{From: t.self, Process: t.process}
	for name, s := range t.instances {
		if !s.live {
			continue
		}
		if m.Instances == nil {
			m.Instances = map[catkinrail.Zone]int{}
		}
		m.Instances[s.zone]++
		if now-s.since < int64(arrivalTime) {
			m.Arrived = append(m.Arrived, message.ReportMark{Name: name, Process: s.process, Sequence: s.sequence})
		}
	}
	if len(m.Instances) == 0 && !t.shared[to] {
		return nil
	}
	t.shared[to] = len(m.Instances) > 0
	for z := range m.Instances {
		m.Wants = append(m.Wants, z)
	}
	slices.Sort(m.Wants)
	slices.SortFunc(m.Arrived, func(a, b message.ReportMark) int { return cmp.Compare(a.Name, b.Name) })
	wanted := []catkinrail.Zone{zone}
	if p := t.peers[to]; p != nil {
		wanted = append(wanted, p.wants...)
	}
	rest := totals{}
	for z, list := range t.zones {
		whole := slices.Contains(wanted, z)
		for _, r := range list {
			switch {
			case r.local == (sum{}):
			case whole:
				m.Servers = append(m.Servers, r.local.message(r.Key))
			default:
				rest.at(z, r.Service).addSum(&r.local)
			}
		}
	}
	m.Servers = normalize(m.Servers)
	m.Zones = rest.list()
	t.sequences[to]++
	m.Sequence = t.sequences[to]
	return m
}

// Merge applies a message from another control instance, unless it is older than one that
// was applied before.
func (t *Table) Merge(m *message.LoadShare, now int64) {
	t.expire(now)
	t.revision++
	s := t.peers[m.From]
	if s == nil {
		if len(t.peers) >= maxSources || m.From == t.self {
			return
		}
		s = &source{}
		t.peers[m.From] = s
	}
	if !s.accept(m.Process, m.Sequence, now) {
		return
	}
	t.replace(s, m.Servers, false)
	s.zones, s.instances, s.wants = m.Zones, m.Instances, m.Wants
	for i := range m.Arrived {
		t.applyArrival(&m.Arrived[i])
	}
}

// applyArrival drops the part of an entry instance that now reports to another control
// instance. If the instance has restarted since, only its next report here shows which
// process is the later one, so that neither is retired.
func (t *Table) applyArrival(a *message.ReportMark) {
	s := t.instances[a.Name]
	if s == nil || slices.Contains(s.retired, a.Process) || (s.process == a.Process && a.Sequence <= s.sequence) {
		return
	}
	if s.process == a.Process {
		s.sequence = a.Sequence
	}
	if s.live {
		t.drop(s, true)
	}
}

// totals are sums by zone and service.
type totals map[zoneService]*total

type zoneService struct {
	zone    catkinrail.Zone
	service string
}

type total struct {
	sum
	slots int
}

func (t totals) at(z catkinrail.Zone, service string) *total {
	k := zoneService{z, service}
	if t[k] == nil {
		t[k] = &total{}
	}
	return t[k]
}

func (s *sum) addSum(o *sum) {
	s.pending += o.pending
	s.flows += o.flows
	s.weighted += o.weighted
	s.weight += o.weight
}

func (t totals) list() []message.ZoneLoad {
	list := make([]message.ZoneLoad, 0, len(t))
	for k, v := range t {
		list = append(list, message.ZoneLoad{
			Zone: k.zone, Service: k.service, Slots: v.slots, Pending: v.pending, Flows: v.flows, Latency: v.latency(),
		})
	}
	slices.SortFunc(list, func(a, b message.ZoneLoad) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Service, b.Service))
	})
	return list
}

// refreshTotals calculates the totals of all zones if they are due.
func (t *Table) refreshTotals(now int64) {
	if age := now - t.totalsAt; t.totals != nil && age >= 0 && age < int64(totalsInterval) {
		return
	}
	t.totalsAt = now
	list := t.Totals()
	if t.totals == nil || !slices.Equal(list, t.totals) {
		t.totals, t.totalsRevision = list, t.revision
	}
}

// Totals returns the load by zone and service, of all services that have backend servers
// in a zone.
func (t *Table) Totals() []message.ZoneLoad {
	all := totals{}
	for z, list := range t.zones {
		for _, r := range list {
			v := all.at(z, r.Service)
			v.slots += r.Slots
			v.addSum(&r.total)
		}
	}
	for _, s := range t.peers {
		for i := range s.zones {
			z := &s.zones[i]
			all.at(z.Zone, z.Service).addParts(z.Pending, z.Flows, z.Latency, 1)
		}
	}
	return all.list()
}

// Counts are the sizes of a table.
type Counts struct {
	// Rows counts the incarnations, Instances the entry instances that report here, and
	// Peers the control instances whose sums count.
	Rows, Instances, Peers int
}

// Counts returns the sizes of the table.
func (t *Table) Counts() Counts {
	n := Counts{Rows: len(t.rows)}
	for _, s := range t.instances {
		if s.live {
			n.Instances++
		}
	}
	for _, s := range t.peers {
		if s.live {
			n.Peers++
		}
	}
	return n
}

// ZoneStatus is the load of a service's backend servers in a zone.
type ZoneStatus struct {
	message.ZoneLoad
	// Age is the time since the oldest report in the sum arrived; zero if there is none.
	Age time.Duration
	// Instances is the number of entry instances of the zone that report.
	Instances int
}

// Zones returns the load by zone and service.
func (t *Table) Zones(now int64) []ZoneStatus {
	t.expire(now)
	ages := map[zoneService]time.Duration{}
	note := func(k zoneService, at int64) { ages[k] = max(ages[k], time.Duration(now-at)) }
	for _, sources := range []map[string]*source{t.instances, t.peers} {
		for _, s := range sources {
			for i := range s.rows {
				if r := s.rows[i].row; r.known {
					note(zoneService{r.Zone, r.Service}, s.at)
				}
			}
			for i := range s.zones {
				note(zoneService{s.zones[i].Zone, s.zones[i].Service}, s.at)
			}
		}
	}
	var list []ZoneStatus
	for _, z := range t.Totals() {
		list = append(list, ZoneStatus{ZoneLoad: z, Age: ages[zoneService{z.Zone, z.Service}], Instances: t.instancesIn(z.Zone)})
	}
	return list
}
