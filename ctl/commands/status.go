package commands

import (
	"context"
	"fmt"
	"io"

	"catkinrail.example/catkinrail/protocol/api"
)

func status(a *App) {
	c := a.kingpin.Command("status", "Show the control instances and the changes in progress.")
	a.handle(c, func(ctx context.Context) error {
		var r *api.StatusReply
		err := a.client.Call(ctx, "status", func(ctx context.Context, c api.DRPCOperatorClient) (err error) {
			r, err = c.Status(ctx, &api.Empty{})
			return err
		})
		if err != nil {
			return err
		}
		return a.print(r, func(w io.Writer) {
			fmt.Fprintf(w, "version\t%d\n", r.GetVersion())
			if r.GetDocumentVersion() > 0 {
				fmt.Fprintf(w, "document\t%d, of %d routes\n", r.GetDocumentVersion(), r.GetDocumentRoutes())
			}
			fmt.Fprintf(w, "term\t%d\n", r.GetTerm())
			fmt.Fprintf(w, "leader\t%s\n", r.GetLeader())
			fmt.Fprintf(w, "view\t%s, %d members\n", r.GetViewPhase(), r.GetViewMembers())
			fmt.Fprintf(w, "moves\t%d, of %d buckets\n", r.GetMoves(), r.GetMovingBuckets())
			fmt.Fprintf(w, "entry instances\t%d, %d lagging\n", r.GetInstances(), r.GetLagging())
			for _, z := range r.GetLostZones() {
				fmt.Fprintf(w, "lost zone\t%s\n", z)
			}
			for _, z := range r.GetEvacuatedZones() {
				fmt.Fprintf(w, "evacuated zone\t%s\n", z)
			}
			fmt.Fprintln(w, "\nCONTROL\tADDRESS\tROLE\tLOG")
			for _, c := range r.GetControl() {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", c.GetName(), c.GetAddress(), c.GetRole(), c.GetMatch())
			}
		})
	})
}
