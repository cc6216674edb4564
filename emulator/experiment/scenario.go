// Package experiment runs scenarios with several routing policies on a simulated
// network, and reports broken flows, imbalance and cost.
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
	// openTime is the time over which the long flows open.
	openTime = 20 * time.Second
	// changeAt is when a scenario's change begins.
	changeAt = 30 * time.Second
	// endAt is when a run ends.
	endAt = 95 * time.Second
	// packetInterval is the time between two packets of a flow.
	packetInterval = 12 * time.Second
	// shortFlowDuration is how long a short flow stays open.
	shortFlowDuration = 25 * time.Second
	// shortFlowPercent is the share of flows that are short.
	shortFlowPercent = 30
	// sampleInterval is the time between two samples of imbalance and records.
	sampleInterval = 5 * time.Second
	// restartInterval is the time between two restarts of a rolling restart.
	restartInterval = 3 * time.Second
)

// Site is a deployment: zones, entry instances and services.
type Site struct {
	Name     string
	Zones    []catkinrail.Zone
	Entries  int
	Services []ServiceSize
}

// ServiceSize describes a service of a site.
type ServiceSize struct {
	Name string
	// Servers is the number of backend servers, and Slots the number of slots of each.
	Servers, Slots, FlowsPerSlot int
	Buckets                      int
}

// Sites are the users' present deployments.
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

// Policy is a routing policy to compare.
type Policy struct {
	Name    string
	Kind    fake.Policy
	Balance catkinrail.Balance
	Copies  int
	// Selectable is set for policies that a service can select; the others are
	// baselines.
	Selectable bool
}

// Policies lists the policies. The first one is the default of TCP services; its
// figures are those that Summarize returns.
var Policies = []Policy{
	{"chosen", fake.Phased, catkinrail.BalanceHashed, 3, true},
	{"chosen-2-copies", fake.Phased, catkinrail.BalanceHashed, 2, false},
	{"chosen-1-copy", fake.Phased, catkinrail.BalanceHashed, 1, false},
	{"tracked", fake.Phased, catkinrail.BalanceTracked, 3, true},
	{"tracked-by-owner", fake.Phased, catkinrail.BalanceTracked, 1, false},
	{"one-step", fake.OneStep, catkinrail.BalanceHashed, 3, false},
	{"hash-only", fake.HashOnly, catkinrail.BalanceHashed, 3, false},
}

// simulation is a running simulation of a site.
type simulation struct {
	*fake.Network
	site    *Site
	entries []*fake.Entry
	servers map[string][]*fake.Server
	// scale divides the numbers of flows.
	scale int
}

// Scenario is a change or failure during a run.
type Scenario struct {
	Name string
	// Planned is set if the scenario consists of operators' planned changes only.
	Planned bool
	// run starts the scenario.
	run func(sim *simulation)
}

// Scenarios lists the scenarios.
var Scenarios = []Scenario{
	{"steady", true, func(*simulation) {}},
	{"server-added", true, func(sim *simulation) { sim.addServer(0) }},
	{"server-drained", true, func(sim *simulation) { sim.firstServer(0).Drain() }},
	{"server-replaced", true, func(sim *simulation) { sim.addServer(0); sim.firstServer(0).Drain() }},
	{"entry-joined", true, func(sim *simulation) { sim.addEntry() }},
	{"rolling-restart", true, func(sim *simulation) { sim.addServer(0); sim.rollingRestart() }},
	{"flash-crowd", true, func(sim *simulation) { sim.addServer(0); sim.openFlashCrowd() }},
	{"entry-lost", false, func(sim *simulation) { sim.addServer(0); sim.At(sim.Now()+4*time.Second, sim.entries[0].Kill) }},
	{"second-entry-lost", false, func(sim *simulation) {
		sim.addServer(0)
		sim.At(sim.Now()+4*time.Second, sim.entries[0].Kill)
		sim.At(sim.Now()+9*time.Second, sim.entries[1].Kill)
	}},
	{"both-at-once", false, func(sim *simulation) { sim.firstServer(0).Drain(); sim.addServer(0); sim.entries[0].Kill() }},
	{"zone-cut", false, func(sim *simulation) {
		sim.firstServer(1).Drain()
		z := sim.site.Zones[0]
		sim.At(sim.Now()+4*time.Second, func() { sim.PartitionZone(z) })
		sim.At(sim.Now()+14*time.Second, func() { sim.HealZone(z) })
	}},
}

// newSimulation returns a simulation with the site's services, entry instances and
// backend servers, but no flows.
func newSimulation(site *Site, p Policy, seed uint64, scale int) *simulation {
	sim := &simulation{site: site, servers: map[string][]*fake.Server{}, scale: scale}
	sim.Network = fake.New(fake.Config{
		Seed: seed, Policy: p.Kind, Copies: p.Copies, Loss: 0.002, MaxUpdateDelay: time.Second,
	})
	for i, s := range site.Services {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(i + 1)}), 443)
		sim.CreateService(catkinrail.ServiceConfig{Name: s.Name, Addr: addr, Balance: p.Balance, Buckets: s.Buckets})
	}
	for i := range site.Entries {
		sim.entries = append(sim.entries, sim.AddEntry(fmt.Sprintf("entry-%d", i), site.Zones[i%len(site.Zones)]))
	}
	for i := range site.Services {
		for range site.Services[i].Servers {
			sim.addServer(i)
		}
	}
	return sim
}

// firstServer returns the first backend server of the n-th service.
func (sim *simulation) firstServer(n int) *fake.Server {
	return sim.servers[sim.site.Services[n].Name][0]
}

// addServer adds a backend server to the n-th service.
func (sim *simulation) addServer(n int) {
	s := &sim.site.Services[n]
	i := len(sim.servers[s.Name])
	name := fmt.Sprintf("%s-%d", s.Name, i)
	sim.servers[s.Name] = append(sim.servers[s.Name], sim.AddServer(s.Name, name, sim.site.Zones[i%len(sim.site.Zones)], s.Slots))
}

// addEntry adds an entry instance in the first zone.
func (sim *simulation) addEntry() {
	sim.entries = append(sim.entries, sim.AddEntry(fmt.Sprintf("entry-%d", len(sim.entries)), sim.site.Zones[0]))
}

// rollingRestart replaces the entry instances one by one.
func (sim *simulation) rollingRestart() {
	for i, e := range sim.entries {
		sim.At(sim.Now()+restartInterval*time.Duration(i), func() {
			sim.AddEntry(fmt.Sprintf("entry-%d-again", i), e.Zone)
			e.Leave()
		})
	}
}

// openFlashCrowd opens the site's number of flows once more, as short flows, within
// a few seconds.
func (sim *simulation) openFlashCrowd() {
	for _, s := range sim.site.Services {
		sim.OpenMany(s.Name, sim.numFlows(&s), 8*time.Second, packetInterval, shortFlowDuration)
	}
}

// numFlows returns the number of flows of a service at a time.
func (sim *simulation) numFlows(s *ServiceSize) int {
	return s.Servers * s.Slots * s.FlowsPerSlot / sim.scale
}

// openFlows opens the flows: most stay open, the short ones end and are replaced.
func (sim *simulation) openFlows() {
	for _, s := range sim.site.Services {
		n := sim.numFlows(&s)
		short := n * shortFlowPercent / 100
		sim.OpenMany(s.Name, n-short, openTime, packetInterval, 0)
		rounds := int(endAt / shortFlowDuration)
		for i := range rounds {
			sim.At(shortFlowDuration*time.Duration(i), func() {
				sim.OpenMany(s.Name, short, shortFlowDuration, packetInterval, shortFlowDuration)
			})
		}
	}
}
