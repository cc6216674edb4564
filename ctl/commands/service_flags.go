package commands

import (
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"catkinrail.example/catkinrail/protocol/api"
)

// serviceFlags are a service's settings on the command line.
type serviceFlags struct {
	name, address, protocol, balance string
	buckets, maxRecords, maxEject    uint32
	idleTimeout                      time.Duration
	broken, refused, imbalance       uint32
}

func (f *serviceFlags) register(c *kingpin.CmdClause, creating bool) {
	c.Arg("name", "Name of the service.").Required().StringVar(&f.name)
	address := c.Flag("address", "IP address and port that the service listens on.")
	if creating {
		address = address.Required()
	}
	address.StringVar(&f.address)
	c.Flag("protocol", "Transport protocol: tcp or udp.").StringVar(&f.protocol)
	c.Flag("balance", "Balancing mode: hashed relays the fewest packets; tracked balances best.").StringVar(&f.balance)
	c.Flag("buckets", "Number of buckets, a power of two; about 128 for each backend server.").Uint32Var(&f.buckets)
	c.Flag("idle-timeout", "Time without a packet after which a flow may expire.").DurationVar(&f.idleTimeout)
	c.Flag("max-records", "Largest number of flow records in one bucket.").Uint32Var(&f.maxRecords)
	c.Flag("max-eject-percent", "Largest share of backend servers, in percent, that failed health checks may eject.").Uint32Var(&f.maxEject)
	c.Flag("objective-broken", "Broken flows in a million that the objective allows.").Uint32Var(&f.broken)
	c.Flag("objective-refused", "Refused flows in a million that the objective allows.").Uint32Var(&f.refused)
	c.Flag("objective-imbalance", "Excess of the most loaded backend server over the mean, in percent, that the objective allows.").Uint32Var(&f.imbalance)
}

// apply sets the fields of s whose flags are neither empty nor zero.
func (f *serviceFlags) apply(s *api.Service) {
	s.Name = f.name
	setString(&s.Address, f.address)
	setString(&s.Protocol, f.protocol)
	setString(&s.Balance, f.balance)
	setUint(&s.Buckets, f.buckets)
	setUint(&s.MaxRecords, f.maxRecords)
	setUint(&s.MaxEjectPercent, f.maxEject)
	setUint(&s.IdleTimeout, uint32(f.idleTimeout/time.Second))
	if s.GetObjective() == nil {
		s.Objective = &api.Objective{}
	}
	setUint(&s.Objective.BrokenPerMillion, f.broken)
	setUint(&s.Objective.RefusedPerMillion, f.refused)
	setUint(&s.Objective.ImbalancePercent, f.imbalance)
}

func setString(to *string, v string) {
	if v != "" {
		*to = v
	}
}

func setUint(to *uint32, v uint32) {
	if v != 0 {
		*to = v
	}
}

// findService returns the named service of the list.
func findService(list *api.ServiceList, name string) (*api.Service, error) {
	for _, s := range list.GetServices() {
		if s.GetName() == name {
			return s, nil
		}
	}
	return nil, fmt.Errorf("%w: no service %q", errInvalid, name)
}
