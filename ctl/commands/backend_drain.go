package commands

import (
	"context"

	"catkinrail.example/catkinrail/protocol/api"
)

func backendDrain(a *App) {
	a.backendChange("drain", "Send no new flows to a backend server; it keeps its open flows.", api.DRPCOperatorClient.DrainBackendServer)
}

// backendChange registers a command that changes one backend server.
func (a *App) backendChange(verb, help string,
	send func(api.DRPCOperatorClient, context.Context, *api.BackendServerRequest) (*api.ChangeReply, error),
) {
	var f changeFlags
	c := a.group("backend", "Backend servers.").Command(verb, help)
	service := c.Arg("service", "Name of the service.").Required().String()
	name := c.Arg("name", "Name of the backend server.").Required().String()
	f.register(c)
	a.handle(c, func(ctx context.Context) error {
		return a.runChange(ctx, verb+" backend server", &f,
			func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
				return send(c, ctx, &api.BackendServerRequest{Change: change, Service: *service, Name: *name})
			})
	})
}
