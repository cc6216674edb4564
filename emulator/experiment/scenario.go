// Package experiment runs routing policies against scenarios on a simulated
// network and reports what broke, how even the load was and what it cost.
package experiment

import (
	"fmt"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/fake"
)

// Timing of a run.
const (
	// fillTime is the time over which the flows begin.
	fillTime = 20 * time.Second
	// changeAt is when a scenario begins.
	changeAt = 30 * time.Second
	endAt    = 95 * time.Second
	// period is the time between two packets of a flow.
	period = 12 * time.Second
	// shortLife is the life of a short flow.
	shortLife = 25 * time.Second
	// shortPercent is the share of flows that are short.
	shortPercent   = 30
	sampleInterval = 5 * time.Second
	// rejoinGap is the time between two restarts of a rolling restart.
	rejoinGap = 3 * time.Second
)

// Site is a user's deployment.
type Site struct {
	Name     string
	Zones    []catkinrail.Zone
	Entries  int
	Services []ServiceSize
}

// ServiceSize describes a service of a site.
type ServiceSize struct {
	Name                  string
	Hosts, Slots, PerSlot int
	Buckets               int
}

// Sites are the users' deployments of today.
var Sites = []Site{
	{
		Name: "kerala", Zones: []catkinrail.Zone{"kochi", "alappuzha", "kollam", "ponnani"}, Entries: 16,
		Services: []ServiceSize{{"logbook", 14, 2, 4000, 2048}, {"drawvault", 4, 2, 4000, 512}},
	},
	{
		Name: "midlands", Zones: []catkinrail.Zone{"malvern", "dovedale", "church-stretton", "ashby"}, Entries: 16,
		Services: []ServiceSize{{"rota-desk", 14, 2, 4200, 2048}, {"batch-archive", 4, 2, 4200, 512}},
	},
}

// Policy is a way of routing.
type Policy struct {
	Name    string
	Kind    fake.Policy
	Balance catkinrail.Balance
	Copies  int
	// Main is set for what services can choose; the others are baselines.
	Main bool
}

// Policies lists the policies; the first one is the chosen one.
var Policies = []Policy{
	{"chosen", fake.Phased, catkinrail.BalanceHashed, 3, true},
	{"chosen-2-copies", fake.Phased, catkinrail.BalanceHashed, 2, false},
	{"chosen-1-copy", fake.Phased, catkinrail.BalanceHashed, 1, false},
	{"tracked", fake.Phased, catkinrail.BalanceTracked, 3, true},
	{"tracked-by-owner", fake.Phased, catkinrail.BalanceTracked, 1, false},
	{"one-step", fake.OneStep, catkinrail.BalanceHashed, 3, false},
	{"hash-only", fake.HashOnly, catkinrail.BalanceHashed, 3, false},
}

// lab is a site that runs.
type lab struct {
	*fake.Network
	site    *Site
	entries []*fake.Entry
	servers map[string][]*fake.Server
	scale   int
}

// Scenario is what happens in a run.
type Scenario struct {
	Name string
	// Planned is set if operators planned all that happens.
	Planned bool
	run     func(l *lab)
}

// Scenarios lists the scenarios.
var Scenarios = []Scenario{
	{"steady", true, func(*lab) {}},
	{"server-added", true, func(l *lab) { l.addServer(0) }},
	{"server-drained", true, func(l *lab) { l.first(0).Drain() }},
	{"server-replaced", true, func(l *lab) { l.addServer(0); l.first(0).Drain() }},
	{"entry-joined", true, func(l *lab) { l.join() }},
	{"rolling-restart", true, func(l *lab) { l.addServer(0); l.rollingRestart() }},
	{"flash-crowd", true, func(l *lab) { l.addServer(0); l.crowd() }},
	{"entry-lost", false, func(l *lab) { l.addServer(0); l.At(l.Now()+4*time.Second, l.entries[0].Kill) }},
	{"second-entry-lost", false, func(l *lab) {
		l.addServer(0)
		l.At(l.Now()+4*time.Second, l.entries[0].Kill)
		l.At(l.Now()+9*time.Second, l.entries[1].Kill)
	}},
	{"both-at-once", false, func(l *lab) { l.first(0).Drain(); l.addServer(0); l.entries[0].Kill() }},
	{"zone-cut", false, func(l *lab) {
		l.first(1).Drain()
		z := l.site.Zones[0]
		l.At(l.Now()+4*time.Second, func() { l.PartitionZone(z) })
		l.At(l.Now()+14*time.Second, func() { l.HealZone(z) })
	}},
}

func newLab(site *Site, p Policy, seed uint64, scale int) *lab {
	l := &lab{site: site, servers: map[string][]*fake.Server{}, scale: scale}
	l.Network = fake.New(fake.Config{
		Seed: seed, Policy: p.Kind, Copies: p.Copies, Loss: 0.002, MaxUpdateDelay: time.Second,
	})
	for i, s := range site.Services {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i + 1)}), 443)
		l.CreateService(catkinrail.ServiceConfig{Name: s.Name, Addr: addr, Balance: p.Balance, Buckets: s.Buckets})
	}
	for i := range site.Entries {
		l.entries = append(l.entries, l.AddEntry(fmt.Sprintf("entry-%d", i), site.Zones[i%len(site.Zones)]))
	}
	for i := range site.Services {
		for range site.Services[i].Hosts {
			l.addServer(i)
		}
	}
	return l
}

// first returns the first backend server of the n-th service.
func (l *lab) first(n int) *fake.Server {
	return l.servers[l.site.Services[n].Name][0]
}

func (l *lab) addServer(n int) {
	s := &l.site.Services[n]
	i := len(l.servers[s.Name])
	name := fmt.Sprintf("%s-%d", s.Name, i)
	l.servers[s.Name] = append(l.servers[s.Name], l.AddServer(s.Name, name, l.site.Zones[i%len(l.site.Zones)], s.Slots))
}

func (l *lab) join() {
	l.entries = append(l.entries, l.AddEntry(fmt.Sprintf("entry-%d", len(l.entries)), l.site.Zones[0]))
}

// rollingRestart replaces every entry instance, one after the other.
func (l *lab) rollingRestart() {
	for i, e := range l.entries {
		l.At(l.Now()+rejoinGap*time.Duration(i), func() {
			l.AddEntry(fmt.Sprintf("entry-%d-again", i), e.Zone)
			e.Leave()
		})
	}
}

// crowd opens as many flows again as there are, within a few seconds.
func (l *lab) crowd() {
	for _, s := range l.site.Services {
		l.OpenMany(s.Name, l.flows(&s), 8*time.Second, period, shortLife)
	}
}

func (l *lab) flows(s *ServiceSize) int {
	return s.Hosts * s.Slots * s.PerSlot / l.scale
}

// fill opens the flows: most last, the others end and are replaced.
func (l *lab) fill() {
	for _, s := range l.site.Services {
		n := l.flows(&s)
		short := n * shortPercent / 100
		l.OpenMany(s.Name, n-short, fillTime, period, 0)
		renewals := int(endAt / shortLife)
		for i := range renewals {
			l.At(shortLife*time.Duration(i), func() {
				l.OpenMany(s.Name, short, shortLife, period, shortLife)
			})
		}
	}
}
