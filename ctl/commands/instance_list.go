package commands

import (
	"context"
	"fmt"
	"io"
	"time"

	"catkinrail.example/catkinrail/protocol/api"
)

func instanceList(a *App) {
	c := a.group("instance", "Entry instances.").Command("list", "List the entry instances and the version that each has in force.")
	a.handle(c, func(ctx context.Context) error {
		var list *api.InstanceList
		err := a.client.Call(ctx, "list instances", func(ctx context.Context, c api.DRPCOperatorClient) (err error) {
			list, err = c.ListInstances(ctx, &api.Empty{})
			return err
		})
		if err != nil {
			return err
		}
		return a.print(list, func(w io.Writer) {
			fmt.Fprintln(w, "NAME\tID\tZONE\tRELAY\tSTATE\tVERSION\tLAG")
			for _, in := range list.GetInstances() {
				fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%d\t%s\n", in.GetName(), in.GetId(), in.GetZone(), in.GetRelay(),
					in.GetState(), in.GetVersion(), time.Duration(in.GetLagMillis())*time.Millisecond)
			}
		})
	})
}
