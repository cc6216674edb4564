package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"

	"catkinrail.example/catkinrail/emulator/control"
)

// controlCommand measures running control instances.
func controlCommand(app *kingpin.Application) command {
	c := app.Command("control", "Measure running control instances with stand-in entry instances.")
	peers := c.Flag("control", "Address of a control instance; repeat it for all.").Required().Strings()
	pids := c.Flag("pid", "Process ID of a control instance; repeat it for all.").Ints()
	entries := c.Flag("entries", "Number of stand-in entry instances in a step; repeat it for several steps.").Default("12", "19", "100", "300").Ints()
	servers := c.Flag("servers", "Number of backend servers in each step.").Default("36").Int()
	services := c.Flag("services", "Number of services in each step.").Default("4").Int()
	changes := c.Flag("changes", "Number of changes in each step.").Default("20").Int()
	return command{clause: c, run: func(ctx context.Context) error {
		var results []control.Result
		for _, n := range *entries {
			r, err := control.Measure(ctx, control.Config{
				Peers: *peers, PIDs: *pids, Entries: n, Services: *services, Servers: *servers, Changes: *changes,
			})
			if err != nil {
				return err
			}
			results = append(results, r)
		}
		return reportControl(results)
	}}
}

// reportControl prints the results and the worst figures over all steps.
func reportControl(results []control.Result) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "entries\tservices\tservers\tin force max\tmedian\tentry core\tentry MB\tentry B/s\tB/change\tleader core\tleader MB\t")
	var worst control.Result
	for _, r := range results {
		fmt.Fprintf(w, "%d\t%d\t%d\t%.3f s\t%.3f s\t%.3f%%\t%.2f\t%.0f\t%.0f\t%.1f%%\t%.0f\t\n", r.Entries, r.Services, r.Servers,
			r.InForceMax.Seconds(), r.InForceMedian.Seconds(), r.EntryCorePercent, r.EntryMegabytes, r.EntryBytes,
			r.ChangeBytes, r.ControlCorePercent, r.ControlMegabytes)
		worst.InForceMax = max(worst.InForceMax, r.InForceMax)
		worst.EntryCorePercent = max(worst.EntryCorePercent, r.EntryCorePercent)
		worst.EntryMegabytes = max(worst.EntryMegabytes, r.EntryMegabytes)
		worst.EntryBytes = max(worst.EntryBytes, r.EntryBytes)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("in-force-seconds: %.3f\n", worst.InForceMax.Seconds())
	fmt.Printf("control-core-percent: %.3f\n", worst.EntryCorePercent)
	fmt.Printf("control-megabytes: %.2f\n", worst.EntryMegabytes)
	fmt.Printf("control-bytes-node-second: %.0f\n", worst.EntryBytes)
	return nil
}
