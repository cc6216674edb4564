package plan

import (
	"cmp"
	"slices"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/cluster"
)

// draft collects the events of one change. It reads the state and never modifies it.
type draft struct {
	state  *cluster.State
	events []cluster.Event
}

func (d *draft) add(e cluster.Event) {
	d.events = append(d.events, e)
}

// nextVersion returns the version at which the draft takes effect.
func (d *draft) nextVersion() uint64 {
	return d.state.Version + 1
}

// serviceBits is the number of bits for the service in the identifier of a move.
const serviceBits = 20

// moveID returns the identifier of the move that this draft begins for a service.
func (d *draft) moveID(id catkinrail.ServiceID) uint64 {
	return d.nextVersion()<<serviceBits | uint64(id)&(1<<serviceBits-1)
}

// rebalance moves buckets of the service so that the given backend servers own
// their shares.
func (d *draft) rebalance(svc *catkinrail.Service, backends []*catkinrail.Backend) {
	sets := bucketSets{}
	var prepared []uint16
	cancelled := map[uint16]bool{}
	redirected := map[uint16]bool{}
	for _, r := range Rebalance(svc.Buckets, backends) {
		old := svc.Buckets[r.Bucket]
		value := reassign(old, r.Owner, d.slotEnded(old.Cur))
		if value.Phase == catkinrail.Prepare && old.Phase != catkinrail.Prepare {
			prepared = append(prepared, uint16(r.Bucket))
		}
		if value.Phase == catkinrail.Settled && old.Phase == catkinrail.Prepare {
			cancelled[uint16(r.Bucket)] = true
		}
		if old.Phase == catkinrail.Open {
			redirected[uint16(r.Bucket)] = true
		}
		sets.add(value, r.Bucket)
	}
	d.addSets(svc.ID, sets)
	d.cancelPrepared(svc.ID, cancelled)
	d.bumpMoveVersions(svc.ID, redirected)
	if len(prepared) > 0 {
		d.add(cluster.Event{MovePut: &catkinrail.Move{
			ID: d.moveID(svc.ID), Service: svc.ID, Phase: catkinrail.Prepare, Version: d.nextVersion(), Buckets: prepared,
		}})
	}
}

// cancelPrepared removes the buckets from the service's moves in Prepare. Otherwise
// such a move would open them early if a later move prepares them again.
func (d *draft) cancelPrepared(id catkinrail.ServiceID, buckets map[uint16]bool) {
	if len(buckets) == 0 {
		return
	}
	for _, key := range cluster.SortedKeys(d.state.Moves) {
		m := d.state.Moves[key]
		if m.Service != id || m.Phase != catkinrail.Prepare {
			continue
		}
		var rest []uint16
		for _, n := range m.Buckets {
			if !buckets[n] {
				rest = append(rest, n)
			}
		}
		d.replaceMove(m, rest)
	}
}

// bumpMoveVersions gives the open moves that contain the buckets a new version,
// because earlier reports of instances were about other owners.
func (d *draft) bumpMoveVersions(id catkinrail.ServiceID, buckets map[uint16]bool) {
	if len(buckets) == 0 {
		return
	}
	for _, key := range cluster.SortedKeys(d.state.Moves) {
		m := d.state.Moves[key]
		if m.Service != id || m.Phase != catkinrail.Open {
			continue
		}
		if slices.ContainsFunc(m.Buckets, func(n uint16) bool { return buckets[n] }) {
			put := *m
			put.Version = d.nextVersion()
			d.add(cluster.Event{MovePut: &put})
		}
	}
}

// replaceMove reduces a move to the given buckets, in the same phase, or removes it
// if there are none.
func (d *draft) replaceMove(m *catkinrail.Move, buckets []uint16) {
	if len(buckets) == 0 {
		d.add(cluster.Event{MoveRemoved: m.ID})
		return
	}
	if len(buckets) == len(m.Buckets) {
		return
	}
	put := *m
	put.Buckets = buckets
	d.add(cluster.Event{MovePut: &put})
}

// slotEnded calls SlotEnded with the draft's state.
func (d *draft) slotEnded(slot catkinrail.SlotID) bool {
	return SlotEnded(d.state, slot)
}

// SlotEnded reports whether a slot can hold no flow, because its backend server has
// ended or doesn't exist.
func SlotEnded(s *cluster.State, slot catkinrail.SlotID) bool {
	if slot == catkinrail.NoSlot {
		return true
	}
	b := s.Backends[slot.Backend()]
	return b == nil || b.State == catkinrail.BackendGone
}

// reassign returns the bucket with a new owner. curEnded is set if its current slot can
// hold no flow.
//
// A settled bucket is prepared first. A bucket in Prepare has placed no flow on
// its next slot yet, so the next slot is replaced. A bucket in Open already keeps
// a record of each new flow, so new flows go to the new owner at once. A bucket
// that never had a slot has no flow to keep.
func reassign(b catkinrail.Bucket, owner catkinrail.SlotID, curEnded bool) catkinrail.Bucket {
	if b.Cur == catkinrail.NoSlot {
		return catkinrail.Bucket{Cur: owner}
	}
	switch b.Phase {
	case catkinrail.Open:
		return catkinrail.Bucket{Cur: b.Cur, Next: owner, Phase: catkinrail.Open}
	case catkinrail.Prepare:
		if b.Cur == owner && !curEnded {
			return catkinrail.Bucket{Cur: owner}
		}
	}
	return catkinrail.Bucket{Cur: b.Cur, Next: owner, Phase: catkinrail.Prepare}
}

// bucketSets groups buckets by their new value.
type bucketSets map[catkinrail.Bucket][]uint16

func (s bucketSets) add(value catkinrail.Bucket, n int) {
	s[value] = append(s[value], uint16(n))
}

// addSets adds an event for each set, in a fixed order.
func (d *draft) addSets(id catkinrail.ServiceID, sets bucketSets) {
	values := make([]catkinrail.Bucket, 0, len(sets))
	for v := range sets {
		values = append(values, v)
	}
	slices.SortFunc(values, func(a, b catkinrail.Bucket) int {
		return cmp.Or(cmp.Compare(a.Cur, b.Cur), cmp.Compare(a.Next, b.Next), cmp.Compare(a.Phase, b.Phase))
	})
	for _, v := range values {
		d.add(cluster.Event{BucketsSet: &cluster.BucketsSet{Service: id, Value: v, Buckets: sets[v]}})
	}
}

// openMove opens the prepared buckets of a move: new flows go to their next slot.
func (d *draft) openMove(m *catkinrail.Move) {
	svc := d.state.Services[m.Service]
	sets := bucketSets{}
	var open []uint16
	for _, n := range m.Buckets {
		b := svc.Buckets[n]
		if b.Phase != catkinrail.Prepare {
			continue
		}
		b.Phase = catkinrail.Open
		sets.add(b, int(n))
		open = append(open, n)
	}
	d.addSets(svc.ID, sets)
	if len(open) == 0 {
		d.add(cluster.Event{MoveRemoved: m.ID})
		return
	}
	d.add(cluster.Event{MovePut: &catkinrail.Move{
		ID: m.ID, Service: m.Service, Phase: catkinrail.Open, Version: d.nextVersion(), Buckets: open,
	}})
}

// settleMove settles the open buckets of a move on their next slot and removes the
// move.
func (d *draft) settleMove(m *catkinrail.Move) {
	svc := d.state.Services[m.Service]
	sets := bucketSets{}
	for _, n := range m.Buckets {
		if b := svc.Buckets[n]; b.Phase == catkinrail.Open {
			sets.add(catkinrail.Bucket{Cur: b.Next}, int(n))
		}
	}
	d.addSets(svc.ID, sets)
	d.add(cluster.Event{MoveRemoved: m.ID})
}
