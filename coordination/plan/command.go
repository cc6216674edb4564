package plan

import (
	"errors"
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

// Errors returned by commands. Each means that the command had no effect.
var (
	ErrConflict       = errors.New("version conflict")
	ErrExists         = errors.New("already exists")
	ErrNotFound       = errors.New("not found")
	ErrQuarantine     = errors.New("address is in quarantine")
	ErrImmutable      = errors.New("field can't be changed")
	ErrRequestReused  = errors.New("request identifier was used for another command")
	ErrInvalid        = errors.New("invalid")
	ErrReportedNotRun = errors.New("request was reported as not run and won't run any more")
)

// Command is an operator's command. Exactly one of the pointers is set.
type Command struct {
	// Request identifies the command; a retry with it returns the first answer.
	Request string `cbor:"1,keyasint"`
	// Expect is the version of the state that the command requires; zero for any.
	Expect  uint64                    `cbor:"2,keyasint,omitempty"`
	Create  *catkinrail.ServiceConfig `cbor:"3,keyasint,omitempty"`
	Change  *catkinrail.ServiceConfig `cbor:"4,keyasint,omitempty"`
	Delete  *string                   `cbor:"5,keyasint,omitempty"`
	Drain   *BackendRef               `cbor:"6,keyasint,omitempty"`
	Readmit *BackendRef               `cbor:"7,keyasint,omitempty"`
	// Remove declares an entry instance lost for good.
	Remove *string           `cbor:"8,keyasint,omitempty"`
	Zone   *cluster.ZoneLost `cbor:"9,keyasint,omitempty"`
	// Evacuate begins or ends the evacuation of a zone.
	Evacuate *cluster.ZoneEvacuated `cbor:"10,keyasint,omitempty"`
}

// BackendRef refers to a backend server of a service by name.
type BackendRef struct {
	Service string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
}

// digest returns a hash of the command without its request identifier. It is never
// notRunDigest.
func (c *Command) digest() (uint64, error) {
	plain := *c
	plain.Request = ""
	b, err := cluster.Encode(&plain)
	if err != nil {
		return 0, err
	}
	return max(xxh3.Hash(b), notRunDigest+1), nil
}

// notRunDigest is the digest in the answer to a request that was reported as not run.
const notRunDigest = 0

// Outcome returns the answer to a request, and whether the request ran. If it didn't,
// the events keep it from ever running, so that a delayed copy of the request can't
// run after it was reported as not run.
func Outcome(s *cluster.State, request string) ([]cluster.Event, *cluster.Answer, bool) {
	if a := s.FindAnswer(request); a != nil {
		return nil, a, a.Digest != notRunDigest
	}
	a := &cluster.Answer{Request: request, Digest: notRunDigest, Version: s.Version + 1, Detail: "not run"}
	return []cluster.Event{{Answer: a}}, a, false
}

// Evaluate returns the events that carry out the command, the last of which is its
// answer. If the command was carried out before, it returns the first answer and no
// events.
func Evaluate(s *cluster.State, c *Command) ([]cluster.Event, *cluster.Answer, error) {
	digest, err := c.digest()
	if err != nil {
		return nil, nil, err
	}
	if c.Request == "" {
		return nil, nil, &catkinrail.FieldError{Field: "request", Reason: "is missing"}
	}
	if a := s.FindAnswer(c.Request); a != nil {
		if a.Digest == notRunDigest {
			return nil, nil, fmt.Errorf("request %q: %w", c.Request, ErrReportedNotRun)
		}
		if a.Digest != digest {
			return nil, nil, fmt.Errorf("request %q: %w", c.Request, ErrRequestReused)
		}
		return nil, a, nil
	}
	if c.Expect != 0 && c.Expect != s.Version {
		return nil, nil, fmt.Errorf("expected version %d, have %d: %w", c.Expect, s.Version, ErrConflict)
	}
	d := &draft{state: s}
	detail, err := d.run(c)
	if err != nil {
		return nil, nil, err
	}
	answer := &cluster.Answer{Request: c.Request, Digest: digest, Version: d.nextVersion(), Detail: detail}
	d.add(cluster.Event{Answer: answer})
	return d.events, answer, nil
}

func (d *draft) run(c *Command) (string, error) {
	switch {
	case c.Create != nil:
		return d.create(*c.Create)
	case c.Change != nil:
		return d.change(*c.Change)
	case c.Delete != nil:
		return d.delete(*c.Delete)
	case c.Drain != nil:
		return d.drain(c.Drain, true)
	case c.Readmit != nil:
		return d.drain(c.Readmit, false)
	case c.Remove != nil:
		return d.remove(*c.Remove)
	case c.Zone != nil:
		return d.declareZone(c.Zone)
	case c.Evacuate != nil:
		return d.evacuate(c.Evacuate)
	}
	return "", fmt.Errorf("command is empty: %w", ErrInvalid)
}

func (d *draft) create(cfg catkinrail.ServiceConfig) (string, error) {
	cfg.SetDefaults()
	if err := cfg.Validate(); err != nil {
		return "", errors.Join(ErrInvalid, err)
	}
	if d.state.ServiceByName(cfg.Name) != nil {
		return "", fmt.Errorf("service %q: %w", cfg.Name, ErrExists)
	}
	for _, svc := range d.state.Services {
		if svc.Config.Endpoint() == cfg.Endpoint() {
			return "", fmt.Errorf("address %s of service %q: %w", cfg.Addr, svc.Config.Name, ErrExists)
		}
	}
	if v := d.state.Quarantine[cluster.EndpointName(&cfg)]; v != 0 {
		return "", fmt.Errorf("address %s, until every entry instance has version %d: %w", cfg.Addr, v, ErrQuarantine)
	}
	id := d.state.LastService + 1
	d.add(cluster.Event{ServicePut: &cluster.ServicePut{
		ID: id, Config: cfg, Seed: xxh3.HashString(fmt.Sprintf("%s %d %d", cfg.Name, id, d.nextVersion())),
	}})
	return fmt.Sprintf("service %s created", cfg.Name), nil
}

func (d *draft) change(cfg catkinrail.ServiceConfig) (string, error) {
	svc := d.state.ServiceByName(cfg.Name)
	if svc == nil {
		return "", fmt.Errorf("service %q: %w", cfg.Name, ErrNotFound)
	}
	cfg.SetDefaults()
	if err := cfg.Validate(); err != nil {
		return "", errors.Join(ErrInvalid, err)
	}
	if err := checkImmutable(&svc.Config, &cfg); err != nil {
		return "", err
	}
	d.add(cluster.Event{ServicePut: &cluster.ServicePut{ID: svc.ID, Config: cfg, Seed: svc.Seed}})
	return fmt.Sprintf("service %s changed", cfg.Name), nil
}

// checkImmutable returns an error that joins ErrImmutable and a FieldError for each
// changed field that is immutable, because changing it would send packets of open
// flows elsewhere.
func checkImmutable(old, cfg *catkinrail.ServiceConfig) error {
	var errs []error
	check := func(same bool, field string) {
		if !same {
			reason := "is fixed for the life of the service; create another service"
			errs = append(errs, &catkinrail.FieldError{Field: field, Reason: reason})
		}
	}
	check(old.Addr == cfg.Addr, "address")
	check(old.Proto == cfg.Proto, "protocol")
	check(old.Buckets == cfg.Buckets, "buckets")
	check(old.Balance == cfg.Balance, "balance")
	if len(errs) > 0 {
		return errors.Join(append([]error{ErrImmutable}, errs...)...)
	}
	return nil
}

func (d *draft) delete(name string) (string, error) {
	svc := d.state.ServiceByName(name)
	if svc == nil {
		return "", fmt.Errorf("service %q: %w", name, ErrNotFound)
	}
	d.add(cluster.Event{ServiceDeleted: svc.ID})
	return fmt.Sprintf("service %s deleted", name), nil
}

func (d *draft) drain(ref *BackendRef, drained bool) (string, error) {
	svc := d.state.ServiceByName(ref.Service)
	if svc == nil {
		return "", fmt.Errorf("service %q: %w", ref.Service, ErrNotFound)
	}
	b := d.state.BackendByName(svc.ID, ref.Name)
	if b == nil || b.State == catkinrail.BackendGone {
		return "", fmt.Errorf("backend server %q of service %q: %w", ref.Name, ref.Service, ErrNotFound)
	}
	put := *b
	put.Drained = drained
	d.setState(&put, false)
	verb := "readmitted"
	switch {
	case drained:
		verb = "draining"
	case put.Evacuated:
		verb = "readmitted once the evacuation of its zone ends"
	}
	d.putBackend(svc, &put)
	return fmt.Sprintf("backend server %s %s", ref.Name, verb), nil
}

// putBackend updates the backend server and rebalances its service.
func (d *draft) putBackend(svc *catkinrail.Service, b *catkinrail.Backend) {
	d.add(cluster.Event{BackendPut: b})
	d.rebalanceWith(svc, b)
}

// rebalanceWith rebalances the service as if the given backend servers were already
// in the state. It leaves alone tracked services and those without assigned buckets.
func (d *draft) rebalanceWith(svc *catkinrail.Service, changed ...*catkinrail.Backend) {
	list := d.state.BackendsOf(svc.ID)
	for _, c := range changed {
		list = slices.DeleteFunc(list, func(b *catkinrail.Backend) bool { return b.ID == c.ID })
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *catkinrail.Backend) int { return int(a.ID) - int(b.ID) })
	if svc.Config.Balance == catkinrail.BalanceTracked || unassigned(svc) {
		return
	}
	d.rebalance(svc, list)
}

// unassigned reports whether the service's buckets have no slots yet. The planner
// assigns them after initialAssignmentDelay.
func unassigned(svc *catkinrail.Service) bool {
	return svc.Buckets[0].Owner() == catkinrail.NoSlot
}

func (d *draft) remove(name string) (string, error) {
	in := d.state.InstanceByName(name)
	if in == nil {
		return "", fmt.Errorf("instance %q: %w", name, ErrNotFound)
	}
	d.removeInstances([]catkinrail.InstanceID{in.ID})
	return fmt.Sprintf("instance %s removed", name), nil
}

func (d *draft) declareZone(z *cluster.ZoneLost) (string, error) {
	if z.Zone == "" {
		return "", &catkinrail.FieldError{Field: "zone", Reason: "is missing"}
	}
	d.add(cluster.Event{ZoneLost: z})
	if z.Lost {
		return fmt.Sprintf("availability zone %s declared lost", z.Zone), nil
	}
	return fmt.Sprintf("availability zone %s declared restored", z.Zone), nil
}
