package bench

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/state/cluster"
)

// Sizes of the state for MeasureState.
const (
	stateServices = 100
	stateBuckets  = 4096
	stateChanges  = 20
	recordFlows   = 500_000
)

// State holds the measurements of an entry instance's state.
type State struct {
	// RecordBytes is the memory per flow record.
	RecordBytes float64
	// BucketBytes is the memory per bucket.
	BucketBytes float64
	// BucketNanos is the time, in nanoseconds, that a new version takes per bucket.
	BucketNanos float64
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// MeasureState measures the memory per record and per bucket, and the time that a
// new version takes per bucket.
func MeasureState() State {
	var s State
	e := newEngine(true, func(server, slot int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(server), byte(slot)}), 6080)
	})
	h := ip.Header{}
	h.Key.Dst, h.Key.DstPort, h.Key.Proto = serviceAddr.Addr().As16(), serviceAddr.Port(), catkinrail.ProtoTCP
	before := heapBytes()
	openAll(e, &h, recordFlows)
	s.RecordBytes = (heapBytes() - before) / float64(e.Records())

	before = heapBytes()
	e = route.New(route.Config{Zone: "kochi"})
	e.Replace(largeState(), now)
	total := float64(stateServices * stateBuckets)
	s.BucketBytes = (heapBytes() - before) / total
	began := time.Now()
	for i := range uint64(stateChanges) {
		if err := e.Update([]cluster.Change{{Version: 2 + i}}, now); err != nil {
			panic(err)
		}
	}
	s.BucketNanos = float64(time.Since(began).Nanoseconds()) / stateChanges / total
	return s
}

// largeState returns a state with stateServices services of stateBuckets settled
// buckets each.
func largeState() *cluster.State {
	s := cluster.New()
	var events []cluster.Event
	for i := range stateServices {
		cfg := catkinrail.ServiceConfig{
			Name: fmt.Sprintf("service-%d", i), Buckets: stateBuckets,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
		}
		cfg.SetDefaults()
		id := catkinrail.ServiceID(i + 1)
		events = append(events,
			cluster.Event{ServicePut: &cluster.ServicePut{ID: id, Config: cfg}},
			cluster.Event{BackendPut: &catkinrail.Backend{ID: catkinrail.BackendID(i + 1), Service: id, Zone: "kochi", Weight: 100, Slots: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:6080")}}},
		)
		all := make([]uint16, stateBuckets)
		for n := range all {
			all[n] = uint16(n)
		}
		value := catkinrail.Bucket{Cur: catkinrail.MakeSlotID(catkinrail.BackendID(i+1), 0)}
		events = append(events, cluster.Event{BucketsSet: &cluster.BucketsSet{Service: id, Value: value, Buckets: all}})
	}
	if err := s.Apply(cluster.Change{Version: 1, Events: events}); err != nil {
		panic(err)
	}
	return s
}
