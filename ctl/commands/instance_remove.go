package commands

import (
	"context"

	"catkinrail.example/catkinrail/protocol/api"
)

func instanceRemove(a *App) {
	var f changeFlags
	c := a.group("instance", "Entry instances.").Command("remove", "Declare an entry instance lost for good. It must no longer run.")
	name := c.Arg("name", "Name of the instance.").Required().String()
	f.register(c)
	a.handle(c, func(ctx context.Context) error {
		return a.runChange(ctx, "remove instance", &f,
			func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
				return c.RemoveInstance(ctx, &api.NameRequest{Change: change, Name: *name})
			})
	})
}
