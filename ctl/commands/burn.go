package commands

import (
	"context"
	"fmt"
	"io"

	"catkinrail.example/catkinrail/protocol/api"
)

func burnReport(a *App) {
	c := a.kingpin.Command("burn", "Show how much of each service's error budget is spent.")
	service := c.Arg("service", "Name of the service; all services if omitted.").String()
	html := c.Flag("html", "Write an HTML page with plots to this file.").String()
	a.handle(c, func(ctx context.Context) error {
		var r *api.BurnReply
		err := a.client.Call(ctx, "burn report", func(ctx context.Context, c api.DRPCOperatorClient) (err error) {
			r, err = c.Burn(ctx, &api.NameRequest{Name: *service})
			return err
		})
		if err != nil {
			return err
		}
		if *html != "" {
			return writeBurnPage(*html, r)
		}
		return a.print(r, func(w io.Writer) {
			fmt.Fprintln(w, "SERVICE\tWINDOW\tFLOWS\tBROKEN\tREFUSED\tIMBALANCE\tBURN BROKEN\tREFUSED\tIMBALANCE\tCAUSE")
			for _, b := range r.GetRows() {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.1f%%\t%.2f\t%.2f\t%.2f\t%s\n", b.GetService(), b.GetWindow(),
					b.GetFlows(), b.GetBroken(), b.GetRefused(), b.GetImbalancePercent(),
					b.GetBrokenBurn(), b.GetRefusedBurn(), b.GetImbalanceBurn(), b.GetCause())
			}
		})
	})
}
