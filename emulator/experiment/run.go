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

// Result is what one run gave.
type Result struct {
	Site, Policy, Scenario string
	Planned                bool
	Flows                  int
	Broken                 int
	// Imbalance is the maximum over the mean, by backend server, of the flows
	// that were opened in the second half of the minute after the change, and
	// Early of those in the first half.
	Imbalance, Early float64
	// Held is the same of all flows at the end of the run, BySlot the same by
	// slot, and During the largest of all flows while the change went on.
	Held, BySlot, During float64
	// Relayed is the share of packets that went through another instance.
	Relayed float64
	// ControlBytes is the number of control bytes a node a second.
	ControlBytes float64
	// Records is the largest number of records that an instance held.
	Records int
	// Late counts new flows on a leaving backend server after 5 s.
	Late   int
	Causes []string
}

// Run runs one scenario.
func Run(site *Site, p Policy, sc *Scenario, seed uint64, scale int) Result {
	l := newLab(site, p, seed, scale)
	l.Run(3 * time.Second)
	l.fill()
	r := Result{Site: site.Name, Policy: p.Name, Scenario: sc.Name, Planned: sc.Planned}
	l.At(changeAt, func() { sc.run(l) })
	for at := changeAt; at <= endAt; at += sampleInterval {
		l.Run(at)
		server, slot := l.imbalance()
		r.During = max(r.During, server)
		r.Held, r.BySlot = server, slot
		for _, e := range l.Entries {
			if !e.Dead {
				r.Records = max(r.Records, e.Engine.Records())
			}
		}
	}
	r.Early = l.newImbalance(changeAt+minute/12, changeAt+minute/2)
	r.Imbalance = l.newImbalance(changeAt+minute/2, changeAt+minute)
	r.Flows = len(l.Flows)
	r.Broken = l.Count(fake.Broken) + l.Count(fake.Failed) + len(l.Stuck(stuckAge))
	r.Relayed = float64(l.Stats.Relayed) / float64(max(l.Stats.Packets, 1))
	r.ControlBytes = float64(l.Stats.ControlBytes) / float64(site.Entries) / endAt.Seconds()
	r.Late = l.Stats.LateFlows
	r.Causes = l.Causes(3)
	return r
}

// imbalance returns the maximum over the mean of flows on the active backend
// servers of the first service, by server and by slot.
func (l *lab) imbalance() (server, slot float64) {
	name := l.site.Services[0].Name
	svc := l.State.ServiceByName(name)
	var byServer, bySlot []int
	for _, s := range l.servers[name] {
		b := l.State.BackendByName(svc.ID, s.Name)
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
	return excess(byServer), excess(bySlot)
}

const (
	minute = time.Minute
	// stuckAge is how long a caller may wait for an answer at the end of a run; a
	// flow that waits longer counts as broken.
	stuckAge = 15 * time.Second
)

// newImbalance returns the maximum over the mean, by active backend server of the
// first service, of the flows that were opened in a span.
func (l *lab) newImbalance(from, to time.Duration) float64 {
	svc := l.State.ServiceByName(l.site.Services[0].Name)
	counts := map[catkinrail.BackendID]int{}
	for _, b := range l.State.BackendsOf(svc.ID) {
		if b.State == catkinrail.BackendActive {
			counts[b.ID] = 0
		}
	}
	for _, f := range l.Flows {
		if _, ok := counts[f.Slot.Backend()]; ok && f.Opened > from && f.Opened < to {
			counts[f.Slot.Backend()]++
		}
	}
	return excess(slices.Collect(maps.Values(counts)))
}

func excess(counts []int) float64 {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	if sum == 0 {
		return 0
	}
	return float64(slices.Max(counts)) * float64(len(counts)) / float64(sum)
}

// job is a run to make.
type job struct {
	site     *Site
	policy   Policy
	scenario *Scenario
	scale    int
}

// All runs every policy against every scenario at every site. The flows of the
// baselines are divided by baselineScale. If ctx ends, no further run begins and
// its error is returned.
func All(ctx context.Context, seed uint64, scale, baselineScale int) ([]Result, error) {
	var jobs []job
	for i := range Sites {
		for _, p := range Policies {
			for k := range Scenarios {
				j := job{&Sites[i], p, &Scenarios[k], baselineScale}
				if p.Main {
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
