package commands

import (
	"context"
	"fmt"
	"io"
	"time"

	"catkinrail.example/catkinrail/protocol/api"
)

func directory(a *App) {
	c := a.kingpin.Command("directory", "Show the backend servers that report to control, and which documents are in force.")
	a.add(c, func(ctx context.Context) error {
		all := &api.DirectoryList{}
		missing, err := a.client.Each(ctx, "directory", func(ctx context.Context, c api.DRPCOperatorClient) error {
			r, err := c.Directory(ctx, &api.Empty{})
			if err != nil {
				return err
			}
			all.Control = append(all.Control, r)
			return nil
		})
		if err != nil {
			return err
		}
		for _, err := range missing {
			fmt.Fprintf(a.errOut, "catkinctl: %v\n", err)
		}
		return a.print(all, func(w io.Writer) { writeDirectory(w, all.GetControl()) })
	})
}

// writeDirectory writes what each control instance has in force and who follows it,
// and then the directory of the one that answered first.
func writeDirectory(w io.Writer, list []*api.DirectoryReply) {
	fmt.Fprintln(w, "CONTROL\tIN TOUCH\tDOCUMENT\tBACKEND SERVERS")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%t\t%d\t%d\n", r.GetControl(), r.GetCurrent(), r.GetDocumentVersion(), len(r.GetBackendServers()))
	}
	fmt.Fprintln(w, "\nENTRY\tZONE\tFOLLOWS\tDOCUMENT\tSINCE")
	for _, r := range list {
		for _, f := range r.GetFollowers() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", f.GetName(), f.GetZone(), r.GetControl(), f.GetDocumentVersion(), age(f.GetAgeMs()))
		}
	}
	fmt.Fprintln(w, "\nSERVICE\tBACKEND SERVER\tZONE\tADDRESS\tSLOTS\tSTATE\tREPORT\tAGE")
	for _, b := range list[0].GetBackendServers() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\n", b.GetService(), b.GetName(), b.GetZone(), b.GetAddress(),
			b.GetSlots(), b.GetState(), b.GetSequence(), age(b.GetAgeMs()))
	}
}

func age(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
