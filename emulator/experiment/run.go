package experiment

import (
	"context"
	"maps"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/fake"
)

// Result holds the measurements of a run. An imbalance is the maximum over the mean
// number of flows on the active backend servers of the site's first service.
type Result struct {
	Site, Policy, Scenario string
	Planned                bool
	Flows                  int
	// Broken counts flows that broke, failed to open or are stuck at the end.
	Broken int
	// Imbalance is that of the flows opened in the second half of newFlowWindow,
	// which begins with the change, and EarlyImbalance of those opened in the first
	// half, without its first 5 s.
	Imbalance, EarlyImbalance float64
	// HeldImbalance is that of all open flows at the end of the run, SlotImbalance
	// the same by slot, and DuringImbalance the maximum by backend server from the
	// change to the end of the run.
	HeldImbalance, SlotImbalance, DuringImbalance float64
	// RelayedShare is the number of relays over the number of callers' packets.
	RelayedShare float64
	// ControlBytes is the number of control bytes per second and entry instance.
	ControlBytes float64
	// MaxRecords is the maximum number of records that an instance held.
	MaxRecords int
	// LateFlows is fake.Stats.LateFlows.
	LateFlows int
	// Causes says what broke some of the flows.
	Causes []string
}

// Run runs a scenario at a site with a policy. The numbers of flows are divided by
// scale.
func Run(site *Site, p Policy, sc *Scenario, seed uint64, scale int) Result {
	sim := newSimulation(site, p, seed, scale)
	sim.Run(3 * time.Second)
	sim.openFlows()
	r := Result{Site: site.Name, Policy: p.Name, Scenario: sc.Name, Planned: sc.Planned}
	sim.At(changeAt, func() { sc.run(sim) })
	for at := changeAt; at <= endAt; at += sampleInterval {
		sim.Run(at)
		server, slot := sim.imbalance()
		r.DuringImbalance = max(r.DuringImbalance, server)
		r.HeldImbalance, r.SlotImbalance = server, slot
		for _, e := range sim.Entries {
			if !e.Dead {
				r.MaxRecords = max(r.MaxRecords, e.Engine.Records())
			}
		}
	}
	r.EarlyImbalance = sim.newFlowImbalance(changeAt+newFlowWindow/12, changeAt+newFlowWindow/2)
	r.Imbalance = sim.newFlowImbalance(changeAt+newFlowWindow/2, changeAt+newFlowWindow)
	r.Flows = len(sim.Flows)
	r.Broken = sim.Count(fake.Broken) + sim.Count(fake.Failed) + len(sim.Stuck(stuckAge))
	r.RelayedShare = float64(sim.Stats.Relayed) / float64(max(sim.Stats.Packets, 1))
	r.ControlBytes = float64(sim.Stats.ControlBytes) / float64(site.Entries) / endAt.Seconds()
	r.LateFlows = sim.Stats.LateFlows
	r.Causes = sim.Causes(3)
	return r
}

// imbalance returns the maximum over the mean of flows on the active backend
// servers of the first service, by server and by slot.
func (sim *simulation) imbalance() (server, slot float64) {
	name := sim.site.Services[0].Name
	svc := sim.State.ServiceByName(name)
	var byServer, bySlot []int
	for _, s := range sim.servers[name] {
		b := sim.State.BackendByName(svc.ID, s.Name)
		if b.State != catkinrail.BackendActive {
			continue
		}
		sum := 0
		for _, n := range s.Flows() {
			bySlot = append(bySlot, n)
			sum += n
		}
		byServer = append(byServer, sum)
	}
	return maxOverMean(byServer), maxOverMean(bySlot)
}

const (
	// newFlowWindow is the time from the change in which new flows are counted.
	newFlowWindow = time.Minute
	// stuckAge is how long a caller may wait for an answer at the end of a run; a
	// flow that waits longer counts as broken.
	stuckAge = 15 * time.Second
)

// newFlowImbalance returns the maximum over the mean, by active backend server of
// the first service, of the flows opened between two times.
func (sim *simulation) newFlowImbalance(from, to time.Duration) float64 {
	svc := sim.State.ServiceByName(sim.site.Services[0].Name)
	flows := map[catkinrail.BackendID]int{}
	for _, b := range sim.State.BackendsOf(svc.ID) {
		if b.State == catkinrail.BackendActive {
			flows[b.ID] = 0
		}
	}
	for _, f := range sim.Flows {
		if _, ok := flows[f.Slot.Backend()]; ok && f.Opened > from && f.Opened < to {
			flows[f.Slot.Backend()]++
		}
	}
	return maxOverMean(slices.Collect(maps.Values(flows)))
}

// maxOverMean returns the maximum over the mean of counts, or 0 if all are 0.
func maxOverMean(counts []int) float64 {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return float64(slices.Max(counts)) * float64(len(counts)) / float64(sum)
}

// job describes a run.
type job struct {
	site     *Site
	policy   Policy
	scenario *Scenario
	scale    int
}

// RunAll runs every scenario with every policy at every site, several at a time. The
// numbers of flows are divided by scale, those of baselines by baselineScale. If ctx
// ends, no further run starts and RunAll returns its error.
func RunAll(ctx context.Context, seed uint64, scale, baselineScale int) ([]Result, error) {
	var jobs []job
	for i := range Sites {
		for _, p := range Policies {
			for k := range Scenarios {
				j := job{&Sites[i], p, &Scenarios[k], baselineScale}
				if p.Selectable {
					j.scale = scale
				}
				jobs = append(jobs, j)
			}
		}
	}
	results := make([]Result, len(jobs))
	var g errgroup.Group
	g.SetLimit(max(runtime.NumCPU()-2, 1))
	for i, j := range jobs {
		g.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			results[i] = Run(j.site, j.policy, j.scenario, seed, j.scale)
			return nil
		})
	}
	return results, g.Wait()
}
