package commands

import (
	"context"

	"catkinrail.example/catkinrail/protocol/api"
)

func serviceDelete(a *App) {
	var f changeFlags
	c := a.group("service", "Services.").Command("delete", "Delete a service.")
	name := c.Arg("name", "Name of the service.").Required().String()
	f.register(c)
	a.handle(c, func(ctx context.Context) error {
		return a.runChange(ctx, "delete service", &f,
			func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
				return c.DeleteService(ctx, &api.NameRequest{Change: change, Name: *name})
			})
	})
}
