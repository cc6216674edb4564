// Package burn counts flows over sliding windows and computes the rate at which a
// service spends its error budget.
package burn

import (
	"time"

	"catkinrail.example/catkinrail"
)

// Window is a time span that ends now and is reported on.
type Window struct {
	Name string
	Span time.Duration
}

// Windows lists the reported windows, shortest first.
var Windows = []Window{
	{"5m", 5 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
	{"3d", 72 * time.Hour},
}

// tiers are the resolutions at which counts are kept, finest first. A window uses the
// first tier that spans it.
var tiers = []struct {
	step  time.Duration
	count int
}{
	{5 * time.Second, 61},
	{time.Minute, 361},
	{time.Hour, 73},
}

// Counts holds the counts of a time span.
type Counts struct {
	Flows, Broken, Refused uint64
	// Samples counts the measurements of imbalance, Beyond those above the
	// objective.
	Samples, Beyond uint64
	// ImbalanceSum is the sum of the measured imbalances, in percent.
	ImbalanceSum float64
}

func (c *Counts) add(o Counts) {
	c.Flows += o.Flows
	c.Broken += o.Broken
	c.Refused += o.Refused
	c.Samples += o.Samples
	c.Beyond += o.Beyond
	c.ImbalanceSum += o.ImbalanceSum
}

// Imbalance returns the average, over all samples, of the excess of the most loaded
// backend server over the mean load, in percent.
func (c *Counts) Imbalance() float64 {
	if c.Samples == 0 {
		return 0
	}
	return c.ImbalanceSum / float64(c.Samples)
}

// Meter keeps the counts of one service.
type Meter struct {
	rings [][]slot
}

type slot struct {
	// number is the number of the tier's steps since the Unix epoch.
	number int64
	Counts
}

// NewMeter returns an empty meter.
func NewMeter() *Meter {
	m := &Meter{}
	for _, t := range tiers {
		m.rings = append(m.rings, make([]slot, t.count))
	}
	return m
}

// Add adds c to the counts at the given time.
func (m *Meter) Add(now time.Time, c Counts) {
	for i, t := range tiers {
		number := now.UnixNano() / int64(t.step)
		s := &m.rings[i][number%int64(t.count)]
		if s.number != number {
			*s = slot{number: number}
		}
		s.add(c)
	}
}

// Sum returns the counts of the span that ends now.
func (m *Meter) Sum(now time.Time, span time.Duration) Counts {
	var total Counts
	for i, t := range tiers {
		if span > t.step*time.Duration(t.count-1) {
			continue
		}
		number := now.UnixNano() / int64(t.step)
		oldest := number - int64(span/t.step)
		for _, s := range m.rings[i] {
			if s.number > oldest && s.number <= number {
				total.add(s.Counts)
			}
		}
		return total
	}
	return total
}

// Report is how a service performed over a window. A burn rate of 1 uses up the budget
// exactly at the end of the window.
type Report struct {
	Window string
	Counts
	BrokenBurn, RefusedBurn, ImbalanceBurn float64
	// Cause names the objective with the highest burn rate, empty if all are zero.
	Cause string
}

const perMillion = 1_000_000

// Evaluate returns a report for each window.
func (m *Meter) Evaluate(now time.Time, o catkinrail.Objective) []Report {
	list := make([]Report, 0, len(Windows))
	for _, w := range Windows {
		c := m.Sum(now, w.Span)
		r := Report{
			Window: w.Name, Counts: c,
			BrokenBurn:  rate(c.Broken, c.Flows, o.BrokenPerMillion),
			RefusedBurn: rate(c.Refused, c.Flows+c.Refused, o.RefusedPerMillion),
		}
		if c.Samples > 0 && o.ImbalancePercent > 0 {
			r.ImbalanceBurn = float64(c.Beyond) / float64(c.Samples)
		}
		r.Cause = cause(&r)
		list = append(list, r)
	}
	return list
}

// rate returns the share of bad flows divided by the share that budget allows, in flows
// per million. Without an objective it is 0.
func rate(bad, all uint64, budget uint32) float64 {
	if budget == 0 || all == 0 {
		return 0
	}
	return float64(bad) / float64(all) * perMillion / float64(budget)
}

func cause(r *Report) string {
	name, most := "", 0.0
	for _, c := range []struct {
		name string
		burn float64
	}{{"broken flows", r.BrokenBurn}, {"refused flows", r.RefusedBurn}, {"imbalance", r.ImbalanceBurn}} {
		if c.burn > most {
			name, most = c.name, c.burn
		}
	}
	return name
}
