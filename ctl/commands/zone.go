package commands

import (
	"context"

	"catkinrail.example/catkinrail/protocol/api"
)

func zoneLost(a *App) {
	a.zoneChange("lost", "Declare that no entry instance of an availability zone runs any more. "+
		"This moves no flows; to take the zone's backend servers out of use, see zone evacuate.", "declare zone", sendZoneLost(true))
}

func zoneRestored(a *App) {
	a.zoneChange("restored", "Withdraw the declaration that an availability zone is lost.", "declare zone", sendZoneLost(false))
}

func zoneEvacuate(a *App) {
	a.zoneChange("evacuate", "Send new flows to the backend servers of other availability zones. Open flows and the zone's "+
		"entry instances go on; to declare that those no longer run, see zone lost.", "evacuate zone", sendEvacuateZone(true))
}

func zoneReturn(a *App) {
	a.zoneChange("return", "End the evacuation of an availability zone: its backend servers get new flows again.",
		"evacuate zone", sendEvacuateZone(false))
}

// sendZone sends a change of an availability zone.
type sendZone func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change, zone string) (*api.ChangeReply, error)

func sendZoneLost(lost bool) sendZone {
	return func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change, zone string) (*api.ChangeReply, error) {
		return c.DeclareZone(ctx, &api.ZoneRequest{Change: change, Zone: zone, Lost: lost})
	}
}

func sendEvacuateZone(evacuated bool) sendZone {
	return func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change, zone string) (*api.ChangeReply, error) {
		return c.EvacuateZone(ctx, &api.EvacuateZoneRequest{Change: change, Zone: zone, Evacuated: evacuated})
	}
}

// zoneChange registers a command that changes an availability zone.
func (a *App) zoneChange(verb, help, step string, send sendZone) {
	var f changeFlags
	c := a.group("zone", "Availability zones.").Command(verb, help)
	zone := c.Arg("zone", "Name of the availability zone.").Required().String()
	f.register(c)
	a.handle(c, func(ctx context.Context) error {
		return a.runChange(ctx, step, &f,
			func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
				return send(ctx, c, change, *zone)
			})
	})
}
