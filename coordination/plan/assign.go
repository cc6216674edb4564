// Package plan decides how the cluster state changes: it evaluates operators'
// commands and backend servers' announcements, and decides when a move or a change of
// view may take its next step. Its functions return events and never modify the state.
package plan

import (
	"cmp"
	"slices"

	"catkinrail.example/catkinrail"
)

// share is the number of buckets that a slot should own (want) and owns (have).
type share struct {
	slot   catkinrail.SlotID
	weight uint64
	want   int
	have   int
}

// shares divides n buckets among the slots of active backend servers by weight. The
// largest remainders are rounded up.
func shares(backends []*catkinrail.Backend, n int) []share {
	var list []share
	total := uint64(0)
	for _, b := range backends {
		if b.State != catkinrail.BackendActive || b.Weight == 0 {
			continue
		}
		for i := range b.Slots {
			list = append(list, share{slot: catkinrail.MakeSlotID(b.ID, i), weight: uint64(b.Weight)})
			total += uint64(b.Weight)
		}
	}
	if total == 0 {
		return nil
	}
	rest := n
	order := make([]int, len(list))
	for i := range list {
		list[i].want = int(uint64(n) * list[i].weight / total)
		rest -= list[i].want
		order[i] = i
	}
	remainder := func(i int) uint64 { return uint64(n) * list[i].weight % total }
	// Among equal remainders, the first slots of all backend servers come before the
	// second ones, so that rounding up is spread over the backend servers.
	slices.SortStableFunc(order, func(a, b int) int {
		if c := cmp.Compare(remainder(b), remainder(a)); c != 0 {
			return c
		}
		return cmp.Compare(list[a].slot.Index(), list[b].slot.Index())
	})
	for i := 0; rest > 0; i++ {
		list[order[i]].want++
		rest--
	}
	return list
}

// Reassignment gives one bucket another owner.
type Reassignment struct {
	Bucket int
	Owner  catkinrail.SlotID
}

// Rebalance returns the fewest reassignments that give every active slot its share of
// the buckets. A slot gives up moving buckets before settled ones, and freed buckets
// return to their current slot if it lacks some.
func Rebalance(buckets []catkinrail.Bucket, backends []*catkinrail.Backend) []Reassignment {
	list := shares(backends, len(buckets))
	if len(list) == 0 {
		return nil
	}
	index := make(map[catkinrail.SlotID]int, len(list))
	for i := range list {
		index[list[i].slot] = i
	}
	free := surplus(buckets, list, index)
	return assignFree(buckets, list, index, free)
}

// surplus returns, in order, the buckets whose owner is inactive and those that
// owners have beyond their share.
func surplus(buckets []catkinrail.Bucket, list []share, index map[catkinrail.SlotID]int) []int {
	var free []int
	owned := make([][]int, len(list))
	for n, b := range buckets {
		i, ok := index[b.Owner()]
		if !ok {
			free = append(free, n)
			continue
		}
		owned[i] = append(owned[i], n)
	}
	for i := range list {
		list[i].have = len(owned[i])
		over := list[i].have - list[i].want
		if over <= 0 {
			continue
		}
		// A bucket that is already moving costs less to reassign than a settled one.
		slices.SortStableFunc(owned[i], func(a, b int) int {
			return cmp.Compare(buckets[b].Phase, buckets[a].Phase)
		})
		free = append(free, owned[i][:over]...)
		list[i].have = list[i].want
	}
	slices.Sort(free)
	return free
}

// assignFree gives the free buckets to slots that have less than their share: moving
// ones to their current slot where possible, the rest in turn.
func assignFree(buckets []catkinrail.Bucket, list []share, index map[catkinrail.SlotID]int, free []int) []Reassignment {
	var out []Reassignment
	var rest []int
	for _, n := range free {
		i, ok := index[buckets[n].Cur]
		if !ok || list[i].have >= list[i].want || buckets[n].Phase == catkinrail.Settled {
			rest = append(rest, n)
			continue
		}
		list[i].have++
		out = append(out, Reassignment{Bucket: n, Owner: list[i].slot})
	}
	i := 0
	for _, n := range rest {
		for list[i].have >= list[i].want {
			i = (i + 1) % len(list)
		}
		list[i].have++
		out = append(out, Reassignment{Bucket: n, Owner: list[i].slot})
		i = (i + 1) % len(list)
	}
	return out
}
