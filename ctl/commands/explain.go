package commands

import (
	"context"
	"fmt"
	"text/tabwriter"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/ctl/explain"
	"catkinrail.example/catkinrail/ctl/logfile"
)

// explainTime is how the times of lines are printed.
const explainTime = "15:04:05.000"

// explainFlow prints the decisions about a flow from log files.
func explainFlow(a *App) {
	c := a.kingpin.Command("explain", "Show from log files why a caller's flow went where it did.")
	caller := c.Arg("caller", "Address and port of the caller.").Required().String()
	files := c.Arg("log", "Log file of an instance; give those of all.").Required().ExistingFiles()
	span := c.Flag("span", "How far before and after the flow to look for changes.").Default("10s").Duration()
	a.runs[c.FullCommand()] = func(context.Context) error {
		lines, err := logfile.ReadFiles(*files)
		if err != nil {
			return err
		}
		found, err := explain.Explain(lines, *caller, *span)
		if err != nil {
			return catkinrail.At(err, "explain", *caller)
		}
		w := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
		for _, l := range found {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l.Time.Format(explainTime), l.Instance, l.Message, l.Text)
		}
		return w.Flush()
	}
}
