package replay

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

// window counts opening packets within a sliding second.
type window []int64

// take counts one opening packet at now if there are fewer than limit whose arrivals can
// be within the same second.
func (w *window) take(now int64, limit int) bool {
	list := *w
	for len(list) > 0 && now-list[0] >= int64(time.Second)+maxTransit {
		list = list[1:]
	}
	ok := len(list) < limit
	if ok {
		list = append(list, now)
	}
	*w = list
	return ok
}

// state holds what each instance remembers of each backend server.
type state[T any] [][]T

func newState[T any](w *World) state[T] {
	s := make(state[T], w.Instances)
	for i := range s {
		s[i] = make([]T, w.Servers)
	}
	return s
}

func (s state[T]) forget(instance int) {
	s[instance] = make([]T, len(s[instance]))
}

// EqualShare gives each entry instance the same share of the budget, saved up to one
// opening packet.
type EqualShare struct {
	// next holds the time from which an instance has saved up one opening packet.
	next state[int64]
}

// NewEqualShare returns the policy.
func NewEqualShare(w *World) Policy { return &EqualShare{newState[int64](w)} }

// Step implements Policy.
func (p *EqualShare) Step(*World) {}

// Take implements Policy.
func (p *EqualShare) Take(w *World, instance, server int) bool {
	n := 0
	for k := range w.Instances {
		if w.Sees(instance, k) {
			n++
		}
	}
	now := w.Steady(instance)
	if now < p.next[instance][server] {
		return false
	}
	p.next[instance][server] = now + int64(float64(time.Second)*float64(n)/float64(w.Tolerance.Budget(w.Rate)))
	return true
}

// Restart implements Policy.
func (p *EqualShare) Restart(_ *World, instance int) { p.next.forget(instance) }

// Bytes implements Policy.
func (p *EqualShare) Bytes() int { return 0 }

// Ownership gives each backend server's whole budget to one entry instance, by rendezvous
// hashing over the instances that it knows.
type Ownership struct {
	sent state[window]
}

// NewOwnership returns the policy.
func NewOwnership(w *World) Policy { return &Ownership{newState[window](w)} }

// Step implements Policy.
func (p *Ownership) Step(*World) {}

// Take implements Policy.
func (p *Ownership) Take(w *World, instance, server int) bool {
	own := weight(uint64(instance), uint64(server))
	for k := range w.Instances {
		if w.Sees(instance, k) && weight(uint64(k), uint64(server)) > own {
			return false
		}
	}
	return p.sent[instance][server].take(w.Steady(instance), w.Tolerance.Budget(w.Rate))
}

// Restart implements Policy.
func (p *Ownership) Restart(_ *World, instance int) { p.sent.forget(instance) }

// Bytes implements Policy.
func (p *Ownership) Bytes() int { return 0 }

func weight(values ...uint64) uint64 {
	var b []byte
	for _, v := range values {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	return xxh3.Hash(b)
}

// TimeSlices gives each backend server to one entry instance at a time, by the wall clock.
type TimeSlices struct {
	slices state[slice]
	length int64
	// flows is the number of opening packets that may be sent in a slice.
	flows int
}

// slice is a slice of time with the opening packets that were sent in it.
type slice struct {
	index int64
	sent  int
}

// minSlice is the length of a slice, ten times the usual skew of clocks.
const minSlice = 100 * time.Millisecond

// NewTimeSlices returns the policy.
func NewTimeSlices(w *World) Policy {
	p := &TimeSlices{slices: newState[slice](w)}
	p.length = int64(max(minSlice.Seconds(), 1/w.Rate) * float64(time.Second))
	// A second touches one slice more than fits into it.
	touched := math.Ceil(float64(int64(time.Second)+maxTransit)/float64(p.length)) + 1
	p.flows = max(1, int(math.Floor(float64(w.Tolerance.Budget(w.Rate))/touched)))
	return p
}

// Step implements Policy.
func (p *TimeSlices) Step(*World) {}

// Take implements Policy.
func (p *TimeSlices) Take(w *World, instance, server int) bool {
	index := w.Wall(instance) / p.length
	if weight(uint64(index), uint64(server))%uint64(w.Instances) != uint64(instance) {
		return false
	}
	s := &p.slices[instance][server]
	if s.index != index {
		*s = slice{index: index}
	}
	if s.sent >= p.flows {
		return false
	}
	s.sent++
	return true
}

// Restart implements Policy.
func (p *TimeSlices) Restart(_ *World, instance int) { p.slices.forget(instance) }

// Bytes implements Policy.
func (p *TimeSlices) Bytes() int { return 0 }
