package plan

import (
	"fmt"
	"net/netip"
	"slices"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

// defaultWeight is the weight, in percent, of a backend server that announces none.
const defaultWeight = 100

// Announcement is a backend server's report about itself in bucket mode.
type Announcement struct {
	Service     string           `cbor:"1,keyasint" json:"service"`
	Name        string           `cbor:"2,keyasint" json:"name"`
	Zone        catkinrail.Zone  `cbor:"3,keyasint" json:"zone"`
	Slots       []netip.AddrPort `cbor:"4,keyasint" json:"slots"`
	Incarnation uint64           `cbor:"5,keyasint" json:"incarnation"`
	// Draining asks for no new flows.
	Draining bool `cbor:"6,keyasint,omitempty" json:"draining,omitempty"`
	// Weight scales the share of new flows, in percent; zero means 100.
	Weight uint32 `cbor:"7,keyasint,omitempty" json:"weight,omitempty"`
}

// maxWeight is the largest weight of a backend server, in percent.
const maxWeight = 1000

// Validate returns a FieldError for the first invalid field, or nil.
func (a *Announcement) Validate() error {
	switch {
	case a.Service == "":
		return &catkinrail.FieldError{Field: "service", Reason: "is missing"}
	case a.Name == "":
		return &catkinrail.FieldError{Field: "name", Reason: "is missing"}
	case a.Zone == "":
		return &catkinrail.FieldError{Field: "zone", Reason: "is missing"}
	case a.Incarnation == 0:
		return &catkinrail.FieldError{Field: "incarnation", Reason: "must be greater than 0"}
	case len(a.Slots) == 0 || len(a.Slots) > catkinrail.MaxSlots:
		return &catkinrail.FieldError{Field: "slots", Reason: fmt.Sprintf("must name 1 to %d addresses", catkinrail.MaxSlots)}
	case a.Weight > maxWeight:
		return &catkinrail.FieldError{Field: "weight", Reason: fmt.Sprintf("must be at most %d", maxWeight)}
	}
	for i, slot := range a.Slots {
		if !slot.IsValid() || slot.Port() == 0 {
			return &catkinrail.FieldError{Field: fmt.Sprintf("slots[%d]", i), Reason: "must be an IP address and a port"}
		}
	}
	return nil
}

// Announce returns the events that an announcement causes, none if it changes nothing.
// Announcements of earlier incarnations are ignored.
func Announce(s *cluster.State, a *Announcement) ([]cluster.Event, error) {
	if err := a.Validate(); err != nil {
		return nil, err
	}
	svc := s.ServiceByName(a.Service)
	if svc == nil {
		return nil, fmt.Errorf("service %q: %w", a.Service, ErrNotFound)
	}
	d := &draft{state: s}
	old := s.BackendByName(svc.ID, a.Name)
	switch {
	case old == nil || a.Incarnation > old.Incarnation:
		d.admit(svc, old, a)
	case a.Incarnation == old.Incarnation:
		d.refresh(svc, old, a)
	}
	return d.events, nil
}

// admit adds a new incarnation. The flows of the earlier one are lost, but an
// operator's drain carries over.
func (d *draft) admit(svc *catkinrail.Service, old *catkinrail.Backend, a *Announcement) {
	b := &catkinrail.Backend{
		ID: d.state.LastBackend + 1, Name: a.Name, Service: svc.ID, Zone: a.Zone,
		Slots: a.Slots, Incarnation: a.Incarnation, Weight: announcedWeight(a), FullWeight: announcedWeight(a),
	}
	if d.serving(svc) {
		// A cold backend server starts with a part of its weight.
		b.Weight = max(b.FullWeight/warmUpSteps, 1)
	}
	b.Drained = old != nil && old.Drained
	d.setState(b, a.Draining)
	changed := []*catkinrail.Backend{b}
	if old != nil && old.State != catkinrail.BackendGone {
		ended := *old
		ended.State = catkinrail.BackendGone
		d.add(cluster.Event{BackendPut: &ended})
		changed = append(changed, &ended)
	}
	d.add(cluster.Event{BackendPut: b})
	if old != nil && slices.Equal(old.Slots, b.Slots) {
		svc = d.transferBuckets(svc, old.ID, b.ID)
	}
	d.rebalanceWith(svc, changed...)
}

// transferBuckets gives the buckets of an incarnation to the next one at the same
// addresses. An instance without the new version sends new flows there too, so the
// buckets must not move. It returns the service with the new buckets.
func (d *draft) transferBuckets(svc *catkinrail.Service, old, next catkinrail.BackendID) *catkinrail.Service {
	updated := *svc
	updated.Buckets = slices.Clone(svc.Buckets)
	sets := bucketSets{}
	redirected := map[uint16]bool{}
	replace := func(s *catkinrail.SlotID) {
		if s.Backend() == old && *s != catkinrail.NoSlot {
			*s = catkinrail.MakeSlotID(next, s.Index())
		}
	}
	for n := range updated.Buckets {
		b := &updated.Buckets[n]
		replace(&b.Cur)
		replace(&b.Next)
		if *b != svc.Buckets[n] {
			sets.add(*b, n)
			redirected[uint16(n)] = true
		}
	}
	d.addSets(svc.ID, sets)
	d.bumpMoveVersions(svc.ID, redirected)
	return &updated
}

// refresh applies another announcement of the current incarnation. A backend server
// that was out of contact for a while without restarting still has its flows.
func (d *draft) refresh(svc *catkinrail.Service, old *catkinrail.Backend, a *Announcement) {
	put := *old
	if full := announcedWeight(a); full != old.FullWeight {
		put.Weight, put.FullWeight = full, full
	}
	put.Silent = false
	if old.State != catkinrail.BackendEjected || old.Silent {
		d.setState(&put, a.Draining)
	}
	if put.State == old.State && put.Evacuated == old.Evacuated && put.FullWeight == old.FullWeight {
		return
	}
	d.putBackend(svc, &put)
}

// warmUpSteps is the number of steps in which a cold backend server reaches its full
// weight.
const warmUpSteps = 4

// serving reports whether the service's buckets are assigned. Other backend servers
// then take new flows, so that a cold one need not take its whole share at once.
func (d *draft) serving(svc *catkinrail.Service) bool {
	return !unassigned(svc)
}

func announcedWeight(a *Announcement) uint32 {
	if a.Weight == 0 {
		return defaultWeight
	}
	return a.Weight
}

// setState sets whether a backend server drains: because it announces so, because an operator
// drains it, or because its zone is evacuated.
func (d *draft) setState(b *catkinrail.Backend, announced bool) {
	b.Evacuated = !announced && !b.Drained && d.state.Evacuated(b.Zone)
	b.State = catkinrail.BackendActive
	if announced || b.Drained || b.Evacuated {
		b.State = catkinrail.BackendDraining
	}
}

// Expire returns the events that end backend servers which stopped announcing
// themselves. Their flows count as lost.
func Expire(s *cluster.State, ids []catkinrail.BackendID) []cluster.Event {
	d := &draft{state: s}
	byService := map[catkinrail.ServiceID][]*catkinrail.Backend{}
	for _, id := range ids {
		b := s.Backends[id]
		if b == nil || b.State == catkinrail.BackendGone {
			continue
		}
		put := *b
		put.State = catkinrail.BackendGone
		d.add(cluster.Event{BackendPut: &put})
		byService[b.Service] = append(byService[b.Service], &put)
	}
	d.rebalanceAll(byService)
	return d.events
}

// Eject returns the events that eject backend servers whose health checks failed and
// readmit ejected ones that are healthy. Each service limits the share of backend
// servers that is ejected at once (MaxEject).
func Eject(s *cluster.State, failed, healthy []catkinrail.BackendID) []cluster.Event {
	d := &draft{state: s}
	byService := map[catkinrail.ServiceID][]*catkinrail.Backend{}
	put := func(b *catkinrail.Backend) {
		d.add(cluster.Event{BackendPut: b})
		byService[b.Service] = append(byService[b.Service], b)
	}
	for _, id := range healthy {
		if b := s.Backends[id]; b != nil && b.State == catkinrail.BackendEjected {
			c := *b
			d.setState(&c, false)
			put(&c)
		}
	}
	for _, id := range failed {
		b := s.Backends[id]
		if b != nil && b.State == catkinrail.BackendActive && ejectable(s, b.Service, byService[b.Service]) {
			c := *b
			c.State = catkinrail.BackendEjected
			put(&c)
		}
	}
	d.rebalanceAll(byService)
	return d.events
}

// ejectable reports whether one more backend server may be ejected.
func ejectable(s *cluster.State, id catkinrail.ServiceID, changed []*catkinrail.Backend) bool {
	svc := s.Services[id]
	if svc == nil {
		return false
	}
	states := map[catkinrail.BackendID]catkinrail.BackendState{}
	for _, b := range s.BackendsOf(id) {
		states[b.ID] = b.State
	}
	for _, b := range changed {
		states[b.ID] = b.State
	}
	present, ejected := 0, 0
	for _, state := range states {
		switch state {
		case catkinrail.BackendActive:
			present++
		case catkinrail.BackendEjected:
			present++
			ejected++
		}
	}
	return (ejected+1)*100 <= present*svc.Config.MaxEject
}

// Registration is what an entry instance reports about itself when it starts.
type Registration struct {
	Name        string          `cbor:"1,keyasint"`
	Zone        catkinrail.Zone `cbor:"2,keyasint"`
	Relay       netip.AddrPort  `cbor:"3,keyasint"`
	Incarnation uint64          `cbor:"4,keyasint"`
}

// Register returns the events that admit an entry instance, and its identifier.
// Registering the same incarnation again returns the same identifier.
func Register(s *cluster.State, r *Registration) ([]cluster.Event, catkinrail.InstanceID, error) {
	if r.Name == "" || r.Zone == "" || !r.Relay.IsValid() || r.Incarnation == 0 {
		return nil, 0, fmt.Errorf("register instance %q: name, zone, relay address or incarnation is missing: %w", r.Name, ErrInvalid)
	}
	old := s.InstanceByName(r.Name)
	if old != nil && old.Incarnation == r.Incarnation {
		return nil, old.ID, nil
	}
	if old != nil && old.Incarnation > r.Incarnation {
		return nil, 0, fmt.Errorf("register instance %q: a newer incarnation is registered: %w", r.Name, ErrConflict)
	}
	d := &draft{state: s}
	id := s.LastInstance + 1
	d.add(cluster.Event{InstancePut: &catkinrail.Instance{
		ID: id, Name: r.Name, Zone: r.Zone, Relay: r.Relay, Incarnation: r.Incarnation, Since: d.nextVersion(),
	}})
	if old != nil {
		d.removeInstances([]catkinrail.InstanceID{old.ID})
	}
	return d.events, id, nil
}

// Leave returns the events that mark an entry instance as leaving. It keeps
// forwarding until the view no longer contains it.
func Leave(s *cluster.State, id catkinrail.InstanceID) []cluster.Event {
	in := s.Instances[id]
	if in == nil || in.Leaving {
		return nil
	}
	put := *in
	put.Leaving = true
	return []cluster.Event{{InstancePut: &put}}
}

// CompleteLeave returns the events that remove an entry instance which has completed
// its graceful shutdown.
func CompleteLeave(s *cluster.State, id catkinrail.InstanceID) []cluster.Event {
	d := &draft{state: s}
	d.removeInstances([]catkinrail.InstanceID{id})
	return d.events
}

// removeInstances removes the instances from the state and from the view.
func (d *draft) removeInstances(ids []catkinrail.InstanceID) {
	for _, id := range ids {
		if d.state.Instances[id] != nil {
			d.add(cluster.Event{InstanceRemoved: id})
		}
	}
	d.exclude(ids)
}

// excludeSilent marks the instances as silent and removes them from the view. They
// stay registered.
func (d *draft) excludeSilent(ids []catkinrail.InstanceID) {
	for _, id := range ids {
		d.setSilent(id, true)
	}
	d.exclude(ids)
}

func (d *draft) setSilent(id catkinrail.InstanceID, silent bool) {
	put := *d.state.Instances[id]
	put.Silent = silent
	d.add(cluster.Event{InstancePut: &put})
}

// exclude removes the instances from the view. The view goes back to Prepare with the
// remaining members of Base, which hold every record, and a target without the
// excluded instances.
func (d *draft) exclude(ids []catkinrail.InstanceID) {
	v := d.state.View
	inView := func(id catkinrail.InstanceID) bool {
		return slices.Contains(v.Base, id) || slices.Contains(v.Target, id)
	}
	if !slices.ContainsFunc(ids, inView) {
		return
	}
	dead := slices.Clone(v.Dead)
	for _, id := range ids {
		if slices.Contains(v.Base, id) && !slices.Contains(dead, id) {
			dead = append(dead, id)
		}
	}
	target := v.Target
	if v.Phase == catkinrail.Settled {
		target = v.Base
	}
	target = slices.DeleteFunc(slices.Clone(target), func(id catkinrail.InstanceID) bool {
		return slices.Contains(ids, id)
	})
	d.setView(catkinrail.View{Phase: catkinrail.Prepare, Base: v.Base, Target: target, Dead: dead})
}

// setView sets the view, with the version of this draft and the zones of its members.
func (d *draft) setView(v catkinrail.View) {
	v.Version = d.nextVersion()
	v.Zones = map[catkinrail.InstanceID]catkinrail.Zone{}
	for _, id := range slices.Concat(v.Base, v.Target) {
		if in := d.state.Instances[id]; in != nil {
			v.Zones[id] = in.Zone
			continue
		}
		v.Zones[id] = d.state.View.Zones[id]
	}
	d.add(cluster.Event{ViewSet: &v})
}

// PrepareExceptions returns the events that make every instance look up the flows of
// settled buckets in which a partitioned zone placed flows on other slots. They prepare
// a move of each bucket to its current slot.
func PrepareExceptions(s *cluster.State, service catkinrail.ServiceID, buckets []uint32) []cluster.Event {
	svc := s.Services[service]
	if svc == nil {
		return nil
	}
	d := &draft{state: s}
	sets := bucketSets{}
	var prepared []uint16
	for _, n := range buckets {
		if int(n) >= len(svc.Buckets) || svc.Buckets[n].Phase != catkinrail.Settled {
			continue
		}
		cur := svc.Buckets[n].Cur
		sets.add(catkinrail.Bucket{Cur: cur, Next: cur, Phase: catkinrail.Prepare}, int(n))
		prepared = append(prepared, uint16(n))
	}
	if len(prepared) == 0 {
		return nil
	}
	d.addSets(service, sets)
	d.add(cluster.Event{MovePut: &catkinrail.Move{
		ID: d.moveID(service), Service: service, Phase: catkinrail.Prepare, Version: d.nextVersion(), Buckets: prepared,
	}})
	return d.events
}

// EjectSilent returns the events that eject backend servers which stopped announcing
// themselves. They take no new flows but keep their open ones.
func EjectSilent(s *cluster.State, ids []catkinrail.BackendID) []cluster.Event {
	d := &draft{state: s}
	byService := map[catkinrail.ServiceID][]*catkinrail.Backend{}
	for _, id := range ids {
		b := s.Backends[id]
		if b == nil || b.State != catkinrail.BackendActive {
			continue
		}
		put := *b
		put.State, put.Silent = catkinrail.BackendEjected, true
		d.add(cluster.Event{BackendPut: &put})
		byService[b.Service] = append(byService[b.Service], &put)
	}
	d.rebalanceAll(byService)
	return d.events
}

// rebalanceAll rebalances each of the services with its changed backend servers.
func (d *draft) rebalanceAll(byService map[catkinrail.ServiceID][]*catkinrail.Backend) {
	for _, id := range cluster.SortedKeys(byService) {
		if svc := d.state.Services[id]; svc != nil {
			d.rebalanceWith(svc, byService[id]...)
		}
	}
}
