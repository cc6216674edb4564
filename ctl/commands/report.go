package commands

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"catkinrail.example/catkinrail/ctl/logfile"
	"catkinrail.example/catkinrail/ctl/report"
)

// Defaults of the report.
const (
	defaultRefusedPerMillion  = "1000"
	defaultRepeatedPerMillion = "10000"
	defaultWorstSeconds       = "10"
	// maxEventsPerSecond limits the events that are printed for a second.
	maxEventsPerSecond = 5
)

// logReport registers the command that reports from log files how callers were
// served.
func logReport(a *App) {
	c := a.kingpin.Command("report", "Show from log files how callers were served, and the worst seconds.")
	files := c.Arg("log", "Log file of an instance; list the files of all instances.").Required().ExistingFiles()
	var o report.Objective
	c.Flag("objective-refused", "Refused flows in a million that the objective allows.").Default(defaultRefusedPerMillion).Uint64Var(&o.Refused)
	c.Flag("objective-repeated", "Flows with a retransmitted opening packet in a million that the objective allows.").Default(defaultRepeatedPerMillion).Uint64Var(&o.Repeated)
	worst := c.Flag("worst", "How many of the worst seconds to show.").Default(defaultWorstSeconds).Int()
	html := c.Flag("html", "Write an HTML page with a plot to this file.").String()
	a.handlers[c.FullCommand()] = func(context.Context) error {
		lines, err := logfile.ReadFiles(*files)
		if err != nil {
			return err
		}
		r := report.New(lines, o)
		if *html != "" {
			return writeReportPage(*html, r, *worst)
		}
		if a.output == "json" {
			return a.printJSON(r)
		}
		w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
		writeReport(w, r, *worst)
		return w.Flush()
	}
}

func writeReport(w io.Writer, r *report.Report, worst int) {
	fmt.Fprintln(w, "\tFLOWS\tREFUSED\tREPEATED\tDROPPED\tNO ROUTE\tLINES LEFT OUT\tREASONS")
	writeCounts(w, "all", &r.Total)
	fmt.Fprintf(w, "burn\t\t%.2f\t%.2f\n", r.RefusedBurn, r.RepeatedBurn)
	for _, s := range r.Worst(worst) {
		fmt.Fprintln(w)
		writeCounts(w, s.Time.Format("15:04:05"), &s.Counts)
		for i, e := range s.Events {
			if i == maxEventsPerSecond {
				fmt.Fprintf(w, "  and %d more\n", len(s.Events)-maxEventsPerSecond)
				break
			}
			fmt.Fprintf(w, "  %s %s: %s %s\n", e.Time.Format(lineTimeFormat), e.Instance, e.Message, e.Text)
		}
	}
}

func writeCounts(w io.Writer, label string, c *report.Counts) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", label, c.Flows, c.Refused, c.Repeated, c.Dropped, c.NoRoute, c.Skipped, c.ReasonText())
}
