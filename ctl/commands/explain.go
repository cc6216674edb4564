package commands

import (
	"context"
	"fmt"
	"text/tabwriter"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/ctl/explain"
	"catkinrail.example/catkinrail/ctl/logfile"
)

// lineTimeFormat is the format in which the times of log lines are printed.
const lineTimeFormat = "15:04:05.000"

// explainFlow registers the command that prints the decisions about a flow from log
// files.
func explainFlow(a *App) {
	c := a.kingpin.Command("explain", "Show from log files how a caller's flow was routed and why.")
	caller := c.Arg("caller", "Address and port of the caller.").Required().String()
	files := c.Arg("log", "Log file of an instance; list the files of all instances.").Required().ExistingFiles()
	span := c.Flag("span", "How long before and after the flow to look for changes.").Default("10s").Duration()
	a.handlers[c.FullCommand()] = func(context.Context) error {
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
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l.Time.Format(lineTimeFormat), l.Instance, l.Message, l.Text)
		}
		return w.Flush()
	}
}
