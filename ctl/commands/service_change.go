package commands

import (
	"context"

	"catkinrail.example/catkinrail/protocol/api"
)

func serviceChange(a *App) {
	var f changeFlags
	var s serviceFlags
	c := a.group("service", "Services.").Command("change", "Change settings of a service; the others stay.")
	s.register(c, false)
	f.register(c)
	a.handle(c, func(ctx context.Context) error {
		svc, version, err := a.service(ctx, s.name)
		if err != nil {
			return err
		}
		s.apply(svc)
		// A first attempt must not overwrite a change made since the service was
		// read. A retried request gets its first answer whatever the version.
		if f.expect == 0 && f.request == "" {
			f.expect = version
		}
		return a.runChange(ctx, "change service", &f,
			func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
				return c.ChangeService(ctx, &api.ServiceRequest{Change: change, Service: svc})
			})
	})
}
