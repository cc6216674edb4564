package route

import (
	"net/netip"
	"sync/atomic"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

// table is a version of the cluster state, compiled for looking up packets. It is
// immutable once it is published, except for the counters in moves.
type table struct {
	version  uint64
	view     catkinrail.View
	services map[endpoint]*service
	byID     map[catkinrail.ServiceID]*service
	slots    map[catkinrail.SlotID]*slot
	peers    map[catkinrail.InstanceID]peer
	moves    map[uint64]*move
}

// endpoint is a catkinrail.Endpoint as plain bytes, which hash faster.
type endpoint [20]byte

func endpointOf(e catkinrail.Endpoint) endpoint {
	var k endpoint
	copy(k[:], e.Addr[:])
	k[16], k[17], k[18] = byte(e.Port>>8), byte(e.Port), e.Proto
	return k
}

// endpointOfFlow returns the endpoint that the flow's packets are sent to.
func endpointOfFlow(f *catkinrail.FlowKey) endpoint {
	var k endpoint
	copy(k[:], f.Dst[:])
	k[16], k[17], k[18] = byte(f.DstPort>>8), byte(f.DstPort), f.Proto
	return k
}

type slot struct {
	id    catkinrail.SlotID
	addr  netip.AddrPort
	zone  catkinrail.Zone
	state catkinrail.BackendState
	// admitUntil is the time, in nanoseconds of the clock, from which the slot gets no
	// new flows. It is zero while the backend server is active.
	admitUntil int64
}

// admits reports whether the slot may get a new flow. The slot of a backend server
// that drains still gets new flows until admitUntil, so that the bucket's other
// replicas can prepare.
func (s *slot) admits(now int64) bool {
	if s == nil {
		return false
	}
	switch s.state {
	case catkinrail.BackendActive:
		return s.addr.IsValid()
	case catkinrail.BackendGone:
		return false
	}
	return now < s.admitUntil
}

type peer struct {
	addr netip.AddrPort
	zone catkinrail.Zone
}

// move holds what this instance observed of a move's flows.
type move struct {
	id uint64
	// unrecorded is the time, in nanoseconds of the clock, of the last packet without a
	// record in the move's buckets, or zero.
	unrecorded atomic.Int64
}

type service struct {
	id      catkinrail.ServiceID
	cfg     catkinrail.ServiceConfig
	seed    uint64
	mask    uint64
	tracked bool
	buckets []bucket
	// active lists the slots that take new flows, with their weights.
	active []weightedSlot
}

type weightedSlot struct {
	slot   catkinrail.SlotID
	weight int64
	zone   catkinrail.Zone
}

type bucket struct {
	catkinrail.Bucket
	// lookup is nil if every flow of the bucket is on Cur.
	lookup *lookup
	// slot is the slot that Cur identifies, or nil.
	slot *slot
}

// lookup describes where to look up the flows of a bucket that may not all be on Cur.
type lookup struct {
	replicas
	move *move
}

// compile builds the table for a state. It reuses parts of the old table that the
// change didn't affect.
func (e *Engine) compile(s *cluster.State, old *table, now int64) *table {
	t := &table{
		version:  s.Version,
		view:     s.View,
		services: make(map[endpoint]*service, len(s.Services)),
		byID:     make(map[catkinrail.ServiceID]*service, len(s.Services)),
		slots:    make(map[catkinrail.SlotID]*slot, 2*len(s.Backends)),
		peers:    make(map[catkinrail.InstanceID]peer, len(s.Instances)),
		moves:    make(map[uint64]*move, len(s.Moves)),
	}
	for _, b := range s.Backends {
		for i, addr := range b.Slots {
			id := catkinrail.MakeSlotID(b.ID, i)
			c := &slot{id: id, addr: addr, zone: b.Zone, state: b.State}
			if b.State != catkinrail.BackendActive {
				c.admitUntil = admitDeadline(old, id, now)
			}
			t.slots[id] = c
		}
	}
	for id, in := range s.Instances {
		t.peers[id] = peer{addr: in.Relay, zone: in.Zone}
	}
	moveOf := map[catkinrail.ServiceID]map[uint16]*move{}
	for id, m := range s.Moves {
		t.moves[id] = reuseMove(old, id)
		if moveOf[m.Service] == nil {
			moveOf[m.Service] = map[uint16]*move{}
		}
		for _, n := range m.Buckets {
			moveOf[m.Service][n] = t.moves[id]
		}
	}
	r := newReplicaChooser(&s.View, e.cfg.Copies)
	active := activeSlots(s)
	for id, svc := range s.Services {
		c := compileService(svc, active[id])
		c.compileBuckets(t, svc, moveOf[id], r, reusableService(old, t, id))
		t.services[endpointOf(svc.Config.Endpoint())] = c
		t.byID[id] = c
	}
	return t
}

func reuseMove(old *table, id uint64) *move {
	if old != nil && old.moves[id] != nil {
		return old.moves[id]
	}
	return &move{id: id}
}

func activeSlots(s *cluster.State) map[catkinrail.ServiceID][]weightedSlot {
	active := map[catkinrail.ServiceID][]weightedSlot{}
	for _, id := range cluster.SortedKeys(s.Backends) {
		b := s.Backends[id]
		if b.State != catkinrail.BackendActive || b.Weight == 0 {
			continue
		}
		for i := range b.Slots {
			w := weightedSlot{slot: catkinrail.MakeSlotID(id, i), weight: int64(b.Weight), zone: b.Zone}
			active[b.Service] = append(active[b.Service], w)
		}
	}
	return active
}

func compileService(svc *catkinrail.Service, active []weightedSlot) *service {
	return &service{
		id:      svc.ID,
		cfg:     svc.Config,
		seed:    svc.Seed,
		mask:    uint64(len(svc.Buckets) - 1),
		tracked: svc.Config.Balance == catkinrail.BalanceTracked,
		active:  active,
	}
}

// reusableService returns the service's old compiled form, or nil if its replicas were
// chosen under another view.
func reusableService(old, t *table, id catkinrail.ServiceID) *service {
	if old == nil || old.view.Version != t.view.Version {
		return nil
	}
	return old.byID[id]
}

// compileBuckets fills the buckets. Choosing replicas takes time proportional to the
// size of the view, so replicas chosen under the same view are reused.
func (c *service) compileBuckets(t *table, svc *catkinrail.Service, moveOf map[uint16]*move, r *replicaChooser, old *service) {
	c.buckets = make([]bucket, len(svc.Buckets))
	for n, b := range svc.Buckets {
		c.buckets[n].Bucket = b
		c.buckets[n].slot = t.slots[b.Cur]
		if b.Phase == catkinrail.Settled && !c.tracked {
			continue
		}
		l := &lookup{move: moveOf[uint16(n)]}
		if old != nil && old.buckets[n].lookup != nil {
			l.replicas = old.buckets[n].lookup.replicas
		} else {
			l.replicas = *r.choose(bucketHash(svc.ID, n))
		}
		c.buckets[n].lookup = l
	}
}

// admitDeadline returns the time from which a slot whose backend server isn't active
// gets no new flows. It keeps a time that the old table set. The first cluster state
// has no grace period, because the drain may have begun long ago.
func admitDeadline(old *table, id catkinrail.SlotID, now int64) int64 {
	if old == nil || old.version == 0 {
		return now
	}
	before, ok := old.slots[id]
	if ok && before.admitUntil != 0 {
		return before.admitUntil
	}
	return now + int64(drainGracePeriod)
}
