package commands

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"catkinrail.example/catkinrail/protocol/api"
)

func directory(a *App) {
	c := a.kingpin.Command("directory", "Show the backend servers that report to control, their load by zone, and which documents are in force.")
	a.handle(c, func(ctx context.Context) error {
		replies := &api.DirectoryList{}
		failures, err := a.client.Each(ctx, "directory", func(ctx context.Context, c api.DRPCOperatorClient) error {
			r, err := c.Directory(ctx, &api.Empty{})
			if err != nil {
				return err
			}
			replies.Control = append(replies.Control, r)
			return nil
		})
		if err != nil {
			return err
		}
		for _, err := range failures {
			fmt.Fprintf(a.errOut, "catkinctl: %v\n", err)
		}
		return a.print(replies, func(w io.Writer) { writeDirectory(w, replies.GetControl()) })
	})
}

// writeDirectory writes the document and the evacuations in force at each control instance,
// the entry instances that follow it, and the loads and the directory of the first one in the
// list.
func writeDirectory(w io.Writer, list []*api.DirectoryReply) {
	fmt.Fprintln(w, "CONTROL\tIN TOUCH\tDOCUMENT\tBACKEND SERVERS\tEVACUATIONS\tEVACUATED ZONES")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%t\t%d\t%d\t%d\t%s\n", r.GetControl(), r.GetCurrent(), r.GetDocumentVersion(), len(r.GetBackendServers()),
			r.GetEvacuations(), cmp.Or(strings.Join(r.GetEvacuatedZones(), ", "), "-"))
	}
	fmt.Fprintln(w, "\nENTRY\tZONE\tFOLLOWS\tDOCUMENT\tEVACUATIONS\tSINCE")
	for _, r := range list {
		for _, f := range r.GetFollowers() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", f.GetName(), f.GetZone(), r.GetControl(), f.GetDocumentVersion(),
				f.GetEvacuations(), milliseconds(f.GetAgeMs()))
		}
	}
	if loads := list[0].GetLoads(); len(loads) > 0 {
		fmt.Fprintln(w, "\nSERVICE\tZONE\tSLOTS\tPENDING\tFLOWS\tLATENCY\tREPORTED BY\tAGE")
		for _, z := range loads {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%d\t%s\n", z.GetService(), z.GetZone(), z.GetSlots(), z.GetPending(),
				z.GetFlows(), milliseconds(z.GetLatencyMs()), z.GetInstances(), milliseconds(z.GetAgeMs()))
		}
	}
	fmt.Fprintln(w, "\nSERVICE\tBACKEND SERVER\tZONE\tADDRESS\tSLOTS\tSTATE\tREPORT\tAGE")
	for _, b := range list[0].GetBackendServers() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\n", b.GetService(), b.GetName(), b.GetZone(), b.GetAddress(),
			b.GetSlots(), b.GetState(), b.GetSequence(), milliseconds(b.GetAgeMs()))
	}
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
