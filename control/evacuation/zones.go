package evacuation

import (
	"errors"
	"fmt"
	"slices"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/control/follow"
	"catkinrail.example/catkinrail/control/gossip"
)

// errIncomplete means that the directory may lack backend servers of a zone.
var errIncomplete = errors.New("the directory isn't complete yet")

// Zones tells which availability zones are known at a control instance.
type Zones struct {
	core   *core.Core
	listed []catkinrail.Zone
	dir    *gossip.Directory
	follow *follow.Server
}

// NewZones returns the zones that the settings list, those of the backend servers in the
// directory, those of the entry instances that follow this control instance, and those that
// are evacuated. The directory is nil at an instance without one.
func NewZones(c *core.Core, listed []catkinrail.Zone, dir *gossip.Directory, f *follow.Server) *Zones {
	return &Zones{core: c, listed: listed, dir: dir, follow: f}
}

// Check returns a FieldError if the zone's name is empty or no such zone is known. It returns
// ErrUnavailable if the zone may become known, because the settings list no zones and the
// directory isn't complete.
func (z *Zones) Check(zone catkinrail.Zone) error {
	switch {
	case zone == "":
		return &catkinrail.FieldError{Field: "zone", Reason: "is missing"}
	case z.known(zone):
		return nil
	case len(z.listed) == 0 && z.dir != nil && !z.dir.Complete():
		return errors.Join(catkinrail.ErrUnavailable, errIncomplete)
	}
	return &catkinrail.FieldError{Field: "zone", Reason: fmt.Sprintf("%q is not known", zone)}
}

func (z *Zones) known(zone catkinrail.Zone) bool {
	if slices.Contains(z.listed, zone) {
		return true
	}
	if e := z.core.Published().Evacuations; e != nil && slices.Contains(e.Zones, zone) {
		return true
	}
	if slices.ContainsFunc(z.follow.Followers(), func(f follow.Follower) bool { return f.Zone == zone }) {
		return true
	}
	return z.dir != nil && z.dir.HasZone(zone)
}
