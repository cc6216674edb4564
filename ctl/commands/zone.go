package commands

import (
	"context"

	"catkinrail.example/catkinrail/protocol/api"
)

func zoneLost(a *App) {
	a.zoneChange("lost", "Declare that no instance of an availability zone runs any more.", true)
}

func zoneRestored(a *App) {
	a.zoneChange("restored", "Withdraw the declaration that an availability zone is lost.", false)
}

func (a *App) zoneChange(verb, help string, lost bool) {
	var f changeFlags
	c := a.group("zone", "Availability zones.").Command(verb, help)
	zone := c.Arg("zone", "Name of the availability zone.").Required().String()
	f.register(c)
	a.handle(c, func(ctx context.Context) error {
		return a.runChange(ctx, "declare zone", &f,
			func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
				return c.DeclareZone(ctx, &api.ZoneRequest{Change: change, Zone: *zone, Lost: lost})
			})
	})
}
