// Package bench measures the entry instance's speed: the decision alone, and
// forwarding against a bare forwarder.
package bench

import (
	"net/netip"
	"runtime"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/state/cluster"
)

// Sizes of the service that is measured.
const (
	servers        = 14
	slotsPerServer = 2
	buckets        = 2048
	self           = catkinrail.InstanceID(1)
	// now is the time of all decisions, in nanoseconds.
	now = int64(time.Hour)
	// rounds is how often a figure is measured; the median counts.
	rounds = 7
	// decisions is the number of decisions of one round.
	decisions = 2_000_000
)

// serviceAddr is the address of the service that is measured.
var serviceAddr = netip.MustParseAddrPort("192.0.2.1:443")

// newEngine returns an engine with a lease and one service. If moving is set,
// every bucket is open and this instance its only replica.
func newEngine(moving bool, slotAddr func(server, slot int) netip.AddrPort) *route.Engine {
	s := cluster.New()
	cfg := catkinrail.ServiceConfig{Name: "bench", Addr: serviceAddr, Buckets: buckets}
	cfg.SetDefaults()
	events := []cluster.Event{
		{ServicePut: &cluster.ServicePut{ID: 1, Config: cfg, Seed: 42}},
		{InstancePut: &catkinrail.Instance{ID: self, Name: "entry-1", Zone: "kochi", Relay: netip.MustParseAddrPort("127.0.0.1:7301")}},
		{ViewSet: &catkinrail.View{Version: 1, Base: []catkinrail.InstanceID{self}, Zones: map[catkinrail.InstanceID]catkinrail.Zone{self: "kochi"}}},
	}
	for i := range servers {
		b := &catkinrail.Backend{ID: catkinrail.BackendID(i + 1), Name: "host", Service: 1, Zone: "kochi", Weight: 100}
		for slot := range slotsPerServer {
			b.Slots = append(b.Slots, slotAddr(i, slot))
		}
		events = append(events, cluster.Event{BackendPut: b})
	}
	for n := range buckets {
		slot := catkinrail.MakeSlotID(catkinrail.BackendID(n%servers+1), n/servers%slotsPerServer)
		value := catkinrail.Bucket{Cur: slot}
		if moving {
			next := catkinrail.MakeSlotID(catkinrail.BackendID((n+1)%servers+1), 0)
			value = catkinrail.Bucket{Cur: slot, Next: next, Phase: catkinrail.Open}
		}
		events = append(events, cluster.Event{BucketsSet: &cluster.BucketsSet{Service: 1, Value: value, Buckets: []uint16{uint16(n)}}})
	}
	if err := s.Apply(cluster.Change{Version: 1, Events: events}); err != nil {
		panic(err)
	}
	e := route.New(route.Config{Zone: "kochi"})
	e.SetSelf(self)
	e.Replace(s, now)
	e.SetLease(now + int64(time.Hour))
	return e
}

// setFlow makes the header one of the i-th flow.
func setFlow(h *ip.Header, i int) {
	h.Key.Src[10], h.Key.Src[11] = 0xff, 0xff
	h.Key.Src[12], h.Key.Src[13], h.Key.Src[14] = 10, byte(i>>16), byte(i>>8)
	h.Key.SrcPort = uint16(i)
}

// Decision is what was measured of the decision for one kind of bucket.
type Decision struct {
	// Nanos is the median time of a decision.
	Nanos float64
	// Allocs is the number of allocations of a decision.
	Allocs float64
}

// MeasureDecision measures decisions about later packets of so many flows.
func MeasureDecision(flows int, moving bool) Decision {
	e := newEngine(moving, func(server, slot int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(server), byte(slot)}), 6080)
	})
	h := ip.Header{}
	h.Key.Dst = serviceAddr.Addr().As16()
	h.Key.DstPort = serviceAddr.Port()
	h.Key.Proto = catkinrail.ProtoTCP
	if moving {
		openAll(e, &h, flows)
	}
	h.Flags = ip.FlagACK
	var times []float64
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range rounds {
		times = append(times, decide(e, &h, flows))
	}
	runtime.ReadMemStats(&after)
	slices.Sort(times)
	return Decision{
		Nanos:  times[rounds/2],
		Allocs: float64(int((after.Mallocs-before.Mallocs)*100/(rounds*decisions))) / 100,
	}
}

// openAll opens the flows, so that each has a record.
func openAll(e *route.Engine, h *ip.Header, flows int) {
	for i := range flows {
		setFlow(h, i)
		h.Flags = ip.FlagSYN
		e.HandlePacket(h, now)
		h.Flags = ip.FlagACK
		e.HandlePacket(h, now)
	}
}

// decide returns the time of one decision in nanoseconds.
func decide(e *route.Engine, h *ip.Header, flows int) float64 {
	began := time.Now()
	flow := 0
	for range decisions {
		setFlow(h, flow)
		if v := e.HandlePacket(h, now); v.Action != route.Forward {
			panic("packet was not forwarded: " + v.Reason.String())
		}
		if flow++; flow == flows {
			flow = 0
		}
	}
	return float64(time.Since(began).Nanoseconds()) / decisions
}
