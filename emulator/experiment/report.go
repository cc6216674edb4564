package experiment

import (
	"fmt"
	"image/color"
	"io"
	"math"
	"path/filepath"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Table writes the results as a table.
func Table(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "site\tpolicy\tscenario\tflows\tbroken\tlate\tearly new\tnew\theld\theld by slot\theld during\trelayed\tcontrol B/s\trecords\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f%%\t%.0f\t%d\t\n", r.Site, r.Policy, r.Scenario,
			r.Flows, r.Broken, r.LateFlows, r.EarlyImbalance, r.Imbalance, r.HeldImbalance, r.SlotImbalance, r.DuringImbalance, 100*r.RelayedShare, r.ControlBytes, r.MaxRecords)
	}
	return w.Flush()
}

// Worst holds the worst value of each figure over all sites and scenarios.
type Worst struct {
	// PlannedBroken and UnplannedBroken are the broken flows in planned and in other
	// scenarios.
	PlannedBroken, UnplannedBroken int
	// Imbalance and TrackedImbalance are the imbalances of new flows in planned
	// scenarios, the latter with the policy "tracked".
	Imbalance, TrackedImbalance float64
	// DuringImbalance is the maximum of the results' DuringImbalance and
	// EarlyImbalance in planned scenarios.
	DuringImbalance float64
	ControlBytes    float64
	LateFlows       int
}

// Summarize returns the worst figures of the first of Policies; only
// TrackedImbalance is that of the policy "tracked".
func Summarize(results []Result) Worst {
	var w Worst
	for _, r := range results {
		if r.Policy == "tracked" && r.Planned {
			w.TrackedImbalance = max(w.TrackedImbalance, r.Imbalance)
		}
		if r.Policy != Policies[0].Name {
			continue
		}
		if r.Planned {
			w.PlannedBroken = max(w.PlannedBroken, r.Broken)
			w.Imbalance = max(w.Imbalance, r.Imbalance)
			w.DuringImbalance = max(w.DuringImbalance, r.DuringImbalance, r.EarlyImbalance)
		} else {
			w.UnplannedBroken = max(w.UnplannedBroken, r.Broken)
		}
		w.LateFlows = max(w.LateFlows, r.LateFlows)
		w.ControlBytes = max(w.ControlBytes, r.ControlBytes)
	}
	return w
}

// Size of a plot.
const (
	plotWidth  = 30 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// barWidth is in points.
	barWidth = vg.Length(9)
	// legendFactor extends the vertical axis to make room for the legend.
	legendFactor = 1.35
)

var palette = []color.RGBA{
	{31, 119, 180, 255},
	{23, 190, 207, 255},
	{148, 103, 189, 255},
	{44, 160, 44, 255},
	{188, 189, 34, 255},
	{255, 127, 14, 255},
	{214, 39, 40, 255},
}

// figure is a bar chart of one quantity.
type figure struct {
	file, title, unit string
	value             func(*Result) float64
}

var figures = []figure{
	{"broken.png", "Broken flows by scenario", "flows, log10(1 + n)", func(r *Result) float64 { return math.Log10(1 + float64(r.Broken)) }},
	{"relayed.png", "Relayed packets by scenario", "% of packets", func(r *Result) float64 { return 100 * r.RelayedShare }},
	{"imbalance.png", "Imbalance of new flows by backend server", "% over the mean", func(r *Result) float64 { return 100 * (r.Imbalance - 1) }},
}

// Plots writes the bar charts of each site to the directory dir.
func Plots(dir string, results []Result) error {
	for i := range Sites {
		for _, f := range figures {
			if err := f.plot(filepath.Join(dir, Sites[i].Name+"-"+f.file), Sites[i].Name, results); err != nil {
				return fmt.Errorf("plot %s: %w", f.file, err)
			}
		}
	}
	return nil
}

func (f *figure) plot(file, site string, results []Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s (%s)", f.title, site)
	p.Y.Label.Text = f.unit
	p.Legend.Top = true
	names := make([]string, 0, len(Scenarios))
	for _, s := range Scenarios {
		names = append(names, s.Name)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.4
	p.X.Tick.Label.XAlign = -0.9
	for i, policy := range Policies {
		values := make(plotter.Values, 0, len(Scenarios))
		for j := range results {
			if results[j].Policy == policy.Name && results[j].Site == site {
				values = append(values, f.value(&results[j]))
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = palette[i%len(palette)]
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(Policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy.Name, bars)
	}
	// Leave room for the legend above the bars.
	p.Y.Max *= legendFactor
	return p.Save(plotWidth, plotHeight, file)
}
