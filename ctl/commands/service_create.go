package commands

import (
	"context"

	"catkinrail.example/catkinrail/protocol/api"
)

func serviceCreate(a *App) {
	var f changeFlags
	var s serviceFlags
	c := a.group("service", "Services.").Command("create", "Create a service.")
	s.register(c, true)
	f.register(c)
	a.handle(c, func(ctx context.Context) error {
		return a.runChange(ctx, "create service", &f,
			func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
				svc := &api.Service{}
				s.apply(svc)
				return c.CreateService(ctx, &api.ServiceRequest{Change: change, Service: svc})
			})
	})
}
