package cluster

import (
	"fmt"
	"maps"
	"slices"

	"catkinrail.example/catkinrail"
)

// maxAnswers limits the answers to operators that are kept.
const maxAnswers = 8192

// State is the state that control instances agree on, at one version.
type State struct {
	Version   uint64                                         `cbor:"1,keyasint"`
	Services  map[catkinrail.ServiceID]*catkinrail.Service   `cbor:"2,keyasint"`
	Backends  map[catkinrail.BackendID]*catkinrail.Backend   `cbor:"3,keyasint"`
	Instances map[catkinrail.InstanceID]*catkinrail.Instance `cbor:"4,keyasint"`
	View      catkinrail.View                                `cbor:"5,keyasint"`
	Moves     map[uint64]*catkinrail.Move                    `cbor:"6,keyasint"`
	// Answers is ordered by age, oldest first.
	Answers []Answer `cbor:"7,keyasint,omitempty"`
	// The highest identifiers assigned so far.
	LastService  catkinrail.ServiceID     `cbor:"8,keyasint,omitempty"`
	LastBackend  catkinrail.BackendID     `cbor:"9,keyasint,omitempty"`
	LastInstance catkinrail.InstanceID    `cbor:"10,keyasint,omitempty"`
	LostZones    map[catkinrail.Zone]bool `cbor:"11,keyasint,omitempty"`
	// Quarantine maps the endpoint of each deleted service to the version of the
	// deletion. No service may be created there until the quarantine ends.
	Quarantine map[string]uint64 `cbor:"12,keyasint,omitempty"`
	// Document is the operator's document, nil before the first. It is never
	// changed in place.
	Document *catkinrail.Document `cbor:"13,keyasint,omitempty"`
	// Evacuations are the evacuated zones, sorted; nil before the first order. They are
	// never changed in place.
	Evacuations *catkinrail.Evacuations `cbor:"14,keyasint,omitempty"`
	// EvacuationChanges maps each zone to the version of the last change of its
	// evacuation.
	EvacuationChanges map[catkinrail.Zone]uint64 `cbor:"15,keyasint,omitempty"`
}

// New returns the empty state at version zero.
func New() *State {
	s := &State{}
	s.ensureMaps()
	return s
}

// ensureMaps creates the maps that are nil after decoding.
func (s *State) ensureMaps() {
	if s.Services == nil {
		s.Services = map[catkinrail.ServiceID]*catkinrail.Service{}
	}
	if s.Backends == nil {
		s.Backends = map[catkinrail.BackendID]*catkinrail.Backend{}
	}
	if s.Instances == nil {
		s.Instances = map[catkinrail.InstanceID]*catkinrail.Instance{}
	}
	if s.Moves == nil {
		s.Moves = map[uint64]*catkinrail.Move{}
	}
	if s.LostZones == nil {
		s.LostZones = map[catkinrail.Zone]bool{}
	}
	if s.Quarantine == nil {
		s.Quarantine = map[string]uint64{}
	}
	if s.EvacuationChanges == nil {
		s.EvacuationChanges = map[catkinrail.Zone]uint64{}
	}
}

// GapError reports a change that doesn't follow the state's version.
type GapError struct {
	Have, Got uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("change to version %d does not follow version %d", e.Got, e.Have)
}

// Apply brings the state to the version of c. It returns a GapError if c is not the
// next change, and the FieldErrors of an invalid service configuration; the state is
// then unchanged.
func (s *State) Apply(c Change) error {
	if c.Version != s.Version+1 {
		return &GapError{Have: s.Version, Got: c.Version}
	}
	for i := range c.Events {
		if p := c.Events[i].ServicePut; p != nil {
			if err := p.Config.Validate(); err != nil {
				return fmt.Errorf("version %d: %w", c.Version, err)
			}
		}
	}
	s.Version = c.Version
	for i := range c.Events {
		s.applyEvent(&c.Events[i])
	}
	return nil
}

func (s *State) applyEvent(e *Event) {
	switch {
	case e.ServicePut != nil:
		s.putService(e.ServicePut)
	case e.ServiceDeleted != 0:
		s.deleteService(e.ServiceDeleted)
	case e.BackendPut != nil:
		b := *e.BackendPut
		s.Backends[b.ID] = &b
		s.LastBackend = max(s.LastBackend, b.ID)
	case e.BackendRemoved != 0:
		delete(s.Backends, e.BackendRemoved)
	case e.BucketsSet != nil:
		s.setBuckets(e.BucketsSet)
	case e.InstancePut != nil:
		in := *e.InstancePut
		s.Instances[in.ID] = &in
		s.LastInstance = max(s.LastInstance, in.ID)
	case e.InstanceRemoved != 0:
		delete(s.Instances, e.InstanceRemoved)
	case e.ViewSet != nil:
		s.View = *e.ViewSet
	case e.MovePut != nil:
		m := *e.MovePut
		s.Moves[m.ID] = &m
	case e.MoveRemoved != 0:
		delete(s.Moves, e.MoveRemoved)
	case e.Answer != nil:
		s.addAnswer(*e.Answer)
	case e.ZoneLost != nil:
		s.setZoneLost(e.ZoneLost)
	case e.QuarantineEnded != "":
		delete(s.Quarantine, e.QuarantineEnded)
	case e.DocumentPut != nil:
		s.Document = e.DocumentPut
	case e.ZoneEvacuated != nil:
		s.setEvacuated(e.ZoneEvacuated)
	}
}

func (s *State) putService(p *ServicePut) {
	svc := s.Services[p.ID]
	if svc == nil {
		svc = &catkinrail.Service{ID: p.ID, Seed: p.Seed, Buckets: make([]catkinrail.Bucket, p.Config.Buckets)}
		s.Services[p.ID] = svc
	}
	svc.Config = p.Config
	s.LastService = max(s.LastService, p.ID)
	delete(s.Quarantine, EndpointName(&p.Config))
}

func (s *State) deleteService(id catkinrail.ServiceID) {
	svc := s.Services[id]
	if svc == nil {
		return
	}
	s.Quarantine[EndpointName(&svc.Config)] = s.Version
	delete(s.Services, id)
	maps.DeleteFunc(s.Moves, func(_ uint64, m *catkinrail.Move) bool { return m.Service == id })
	maps.DeleteFunc(s.Backends, func(_ catkinrail.BackendID, b *catkinrail.Backend) bool { return b.Service == id })
}

func (s *State) setBuckets(set *BucketsSet) {
	svc := s.Services[set.Service]
	if svc == nil {
		return
	}
	for _, n := range set.Buckets {
		if int(n) < len(svc.Buckets) {
			svc.Buckets[n] = set.Value
		}
	}
}

func (s *State) addAnswer(a Answer) {
	s.Answers = append(s.Answers, a)
	if len(s.Answers) > maxAnswers {
		s.Answers = slices.Delete(s.Answers, 0, len(s.Answers)-maxAnswers)
	}
}

func (s *State) setZoneLost(z *ZoneLost) {
	if z.Lost {
		s.LostZones[z.Zone] = true
		return
	}
	delete(s.LostZones, z.Zone)
}

// setEvacuated begins or ends the evacuation of a zone.
func (s *State) setEvacuated(z *ZoneEvacuated) {
	next := &catkinrail.Evacuations{Revision: s.Version}
	if s.Evacuations != nil {
		next.Zones = slices.Clone(s.Evacuations.Zones)
	}
	i, found := slices.BinarySearch(next.Zones, z.Zone)
	switch {
	case z.Evacuated && !found:
		next.Zones = slices.Insert(next.Zones, i, z.Zone)
	case !z.Evacuated && found:
		next.Zones = slices.Delete(next.Zones, i, i+1)
	}
	s.Evacuations = next
	s.EvacuationChanges[z.Zone] = s.Version
}

// Evacuated reports whether a zone is evacuated.
func (s *State) Evacuated(zone catkinrail.Zone) bool {
	if s.Evacuations == nil {
		return false
	}
	_, found := slices.BinarySearch(s.Evacuations.Zones, zone)
	return found
}

// HasZone reports whether a registered entry instance, or a backend server that has not ended, is
// in the zone.
func (s *State) HasZone(zone catkinrail.Zone) bool {
	for _, in := range s.Instances {
		if in.Zone == zone {
			return true
		}
	}
	for _, b := range s.Backends {
		if b.Zone == zone && b.State != catkinrail.BackendGone {
			return true
		}
	}
	return false
}

// FindAnswer returns the answer to an operator's request, or nil.
func (s *State) FindAnswer(request string) *Answer {
	for i := len(s.Answers) - 1; i >= 0; i-- {
		if s.Answers[i].Request == request {
			return &s.Answers[i]
		}
	}
	return nil
}

// EndpointName formats the address, port and protocol of a service.
func EndpointName(c *catkinrail.ServiceConfig) string {
	return fmt.Sprintf("%s/%d", c.Addr, c.Proto)
}

// ServiceByName returns the named service, or nil.
func (s *State) ServiceByName(name string) *catkinrail.Service {
	for _, svc := range s.Services {
		if svc.Config.Name == name {
			return svc
		}
	}
	return nil
}

// BackendByName returns the current incarnation of a backend server, or nil.
func (s *State) BackendByName(service catkinrail.ServiceID, name string) *catkinrail.Backend {
	var found *catkinrail.Backend
	for _, b := range s.Backends {
		if b.Service == service && b.Name == name && (found == nil || b.ID > found.ID) {
			found = b
		}
	}
	return found
}

// InstanceByName returns the current incarnation of an entry instance, or nil.
func (s *State) InstanceByName(name string) *catkinrail.Instance {
	var found *catkinrail.Instance
	for _, in := range s.Instances {
		if in.Name == name && (found == nil || in.ID > found.ID) {
			found = in
		}
	}
	return found
}

// BackendsOf returns the backend servers of a service in order of identifier.
func (s *State) BackendsOf(id catkinrail.ServiceID) []*catkinrail.Backend {
	var list []*catkinrail.Backend
	for _, b := range s.Backends {
		if b.Service == id {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b *catkinrail.Backend) int { return int(a.ID) - int(b.ID) })
	return list
}

// SortedKeys returns the keys of m in ascending order.
func SortedKeys[K ~uint32 | ~uint64 | ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
