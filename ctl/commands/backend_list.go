package commands

import (
	"context"
	"fmt"
	"io"

	"catkinrail.example/catkinrail/protocol/api"
)

func backendList(a *App) {
	c := a.group("backend", "Backend servers.").Command("list", "List the backend servers.")
	service := c.Arg("service", "Name of the service; all services if omitted.").String()
	a.handle(c, func(ctx context.Context) error {
		var list *api.BackendServerList
		err := a.client.Call(ctx, "list backend servers", func(ctx context.Context, c api.DRPCOperatorClient) (err error) {
			list, err = c.ListBackendServers(ctx, &api.NameRequest{Name: *service})
			return err
		})
		if err != nil {
			return err
		}
		return a.print(list, func(w io.Writer) {
			fmt.Fprintln(w, "SERVICE\tNAME\tZONE\tSTATE\tSLOTS\tWEIGHT\tBUCKETS\tLEAVING")
			for _, b := range list.GetBackendServers() {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", b.GetService(), b.GetName(), b.GetZone(), b.GetState(),
					len(b.GetSlots()), b.GetWeight(), b.GetBuckets(), b.GetLeavingBuckets())
			}
		})
	})
}
