package main

import (
	"github.com/rcrowley/go-metrics"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/protocol/metricspage"
)

// zoneGauges show the evacuations in force and the open flows by the zone of their backend
// server, so that an operator sees when an evacuated zone is empty.
type zoneGauges struct {
	reg metrics.Registry
	// revision is that of the evacuations in force, zones the number of evacuated zones.
	revision, zones metrics.Gauge
	counts          map[catkinrail.Zone]int
	evacuations     catkinrail.Evacuations
}

func newZoneGauges(reg metrics.Registry) *zoneGauges {
	return &zoneGauges{
		reg: reg, counts: map[catkinrail.Zone]int{},
		revision: metrics.GetOrRegisterGauge("evacuations-revision", reg),
		zones:    metrics.GetOrRegisterGauge("evacuated-zones", reg),
	}
}

// read reads the numbers from the engine. A zone whose backend servers have all been forgotten
// has zero.
func (g *zoneGauges) read(e *token.Engine) {
	for zone := range g.counts {
		g.counts[zone] = 0
	}
	e.OpenFlows(g.counts)
	g.evacuations = e.Evacuations()
}

// update sets the gauges to what was read.
func (g *zoneGauges) update() {
	for zone, n := range g.counts {
		metrics.GetOrRegisterGauge(metricspage.Labeled("flows-open", "zone", string(zone)), g.reg).Update(int64(n))
	}
	g.revision.Update(int64(g.evacuations.Revision))
	g.zones.Update(int64(len(g.evacuations.Zones)))
}
