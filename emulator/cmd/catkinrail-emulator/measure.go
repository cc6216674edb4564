package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"catkinrail.example/catkinrail/emulator/experiment"
	"catkinrail.example/catkinrail/emulator/link"
)

const outDirMode = 0o755

// measureCommand compares routing policies in simulations.
func measureCommand(app *kingpin.Application) command {
	c := app.Command("measure", "Measure routing policies against scenarios on a simulated network.")
	out := c.Flag("out", "Directory for the plots.").Default("out/measure").String()
	seed := c.Flag("seed", "Seed of the simulations.").Default("1").Uint64()
	scale := c.Flag("scale", "Divisor of the numbers of flows.").Default("1").Int()
	baselineScale := c.Flag("baseline-scale", "Divisor of the numbers of flows of baselines.").Default("8").Int()
	return command{clause: c, run: func(ctx context.Context) error {
		if err := os.MkdirAll(*out, outDirMode); err != nil {
			return err
		}
		results, err := experiment.RunAll(ctx, *seed, *scale, *baselineScale)
		if err != nil {
			return err
		}
		if err := experiment.Table(os.Stdout, results); err != nil {
			return err
		}
		for _, r := range results {
			if r.Policy == experiment.Policies[0].Name {
				for _, cause := range r.Causes {
					fmt.Printf("%s %s: %s\n", r.Site, r.Scenario, cause)
				}
			}
		}
		if err := experiment.Plots(*out, results); err != nil {
			return err
		}
		w := experiment.Summarize(results)
		fmt.Printf("late-flows: %d\n", w.LateFlows)
		fmt.Printf("imbalance-during: %.3f\n", w.DuringImbalance)
		fmt.Printf("imbalance-tracked: %.3f\n", w.TrackedImbalance)
		fmt.Printf("planned-broken: %d\n", w.PlannedBroken)
		fmt.Printf("unplanned-broken: %d\n", w.UnplannedBroken)
		fmt.Printf("imbalance: %.3f\n", w.Imbalance)
		fmt.Printf("control-bytes-node-second: %.0f\n", w.ControlBytes)
		return measureLink(*seed)
	}}
}

// measureLink compares the ways to send through a thin link.
func measureLink(seed uint64) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "UPLOADS, OF THE LINK\tPOLICY\tLATE UPLOADS\tP99\tLATE SHORT REQUESTS\tP99")
	for _, share := range []float64{0.2, 0.5, 0.8, 1.1} {
		for _, p := range link.Policies {
			r := link.Run(p, share, seed)
			fmt.Fprintf(w, "%.1f\t%s\t%.1f%%\t%s\t%.1f%%\t%s\n", share, p.Name, 100*r.LateUploads, r.UploadP99, 100*r.LateShort, r.ShortP99)
		}
	}
	return w.Flush()
}
