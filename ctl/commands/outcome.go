package commands

import (
	"context"
	"fmt"
	"io"

	"catkinrail.example/catkinrail/protocol/api"
)

func outcome(a *App) {
	c := a.kingpin.Command("outcome", "Show whether a request ran. A request that is reported as not run never will.")
	request := c.Arg("request", "Identifier of the request.").Required().String()
	a.handle(c, func(ctx context.Context) error {
		var r *api.ChangeReply
		err := a.client.Call(ctx, "outcome", func(ctx context.Context, c api.DRPCOperatorClient) (err error) {
			r, err = c.Outcome(ctx, &api.OutcomeRequest{Request: *request})
			return err
		})
		if err != nil {
			return err
		}
		return a.print(r, func(w io.Writer) {
			if !r.GetRan() {
				fmt.Fprintln(w, "not run")
				return
			}
			fmt.Fprintf(w, "ran at version %d: %s\n", r.GetVersion(), r.GetDetail())
		})
	})
}
