// Package bench measures an entry instance: routing decisions, forwarding compared
// with a bare forwarder, which makes no decisions, and the memory of its state.
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
	numServers     = 14
	slotsPerServer = 2
	numBuckets     = 2048
	self           = catkinrail.InstanceID(1)
	// now is the time of all decisions, in nanoseconds.
	now = int64(time.Hour)
	// numRounds is how often decisions are measured; the result is the median.
	numRounds         = 7
	decisionsPerRound = 2_000_000
)

// serviceAddr is the address of the service that is measured.
var serviceAddr = netip.MustParseAddrPort("192.0.2.1:443")

// newEngine returns an engine with a lease and one service. If moving is set, every
// bucket is moving, in the phase open, and this instance is its only replica.
func newEngine(moving bool, slotAddr func(server, slot int) netip.AddrPort) *route.Engine {
	s := cluster.New()
	cfg := catkinrail.ServiceConfig{Name: "bench", Addr: serviceAddr, Buckets: numBuckets}
	cfg.SetDefaults()
	events := []cluster.Event{
		{ServicePut: &cluster.ServicePut{ID: 1, Config: cfg, Seed: 42}},
		{InstancePut: &catkinrail.Instance{ID: self, Name: "entry-1", Zone: "kochi", Relay: netip.MustParseAddrPort("127.0.0.1:7301")}},
		{ViewSet: &catkinrail.View{Version: 1, Base: []catkinrail.InstanceID{self}, Zones: map[catkinrail.InstanceID]catkinrail.Zone{self: "kochi"}}},
	}
	for i := range numServers {
		b := &catkinrail.Backend{ID: catkinrail.BackendID(i + 1), Name: "host", Service: 1, Zone: "kochi", Weight: 100}
		for slot := range slotsPerServer {
			b.Slots = append(b.Slots, slotAddr(i, slot))
		}
		events = append(events, cluster.Event{BackendPut: b})
	}
	for n := range numBuckets {
		slot := catkinrail.MakeSlotID(catkinrail.BackendID(n%numServers+1), n/numServers%slotsPerServer)
		value := catkinrail.Bucket{Cur: slot}
		if moving {
			next := catkinrail.MakeSlotID(catkinrail.BackendID((n+1)%numServers+1), 0)
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

// setFlow sets the source address and port to those of the i-th flow.
func setFlow(h *ip.Header, i int) {
	h.Key.Src[10], h.Key.Src[11] = 0xff, 0xff
	h.Key.Src[12], h.Key.Src[13], h.Key.Src[14] = 10, byte(i>>16), byte(i>>8)
	h.Key.SrcPort = uint16(i)
}

// Decision holds the measurements of routing decisions.
type Decision struct {
	// Nanoseconds is the median time per decision.
	Nanoseconds float64
	// Allocs is the number of allocations per decision.
	Allocs float64
}

// MeasureDecision measures decisions about packets of established flows. If moving
// is set, all buckets are moving and every flow has a record.
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
	for range numRounds {
		times = append(times, timeDecisions(e, &h, flows))
	}
	runtime.ReadMemStats(&after)
	slices.Sort(times)
	return Decision{
		Nanoseconds: times[numRounds/2],
		Allocs:      float64(int((after.Mallocs-before.Mallocs)*100/(numRounds*decisionsPerRound))) / 100,
	}
}

// openAll opens the flows. In moving buckets, each then has a record.
func openAll(e *route.Engine, h *ip.Header, flows int) {
	for i := range flows {
		setFlow(h, i)
		h.Flags = ip.FlagSYN
		e.HandlePacket(h, now)
		h.Flags = ip.FlagACK
		e.HandlePacket(h, now)
	}
}

// timeDecisions returns the mean time per decision in nanoseconds.
func timeDecisions(e *route.Engine, h *ip.Header, flows int) float64 {
	began := time.Now()
	flow := 0
	for range decisionsPerRound {
		setFlow(h, flow)
		if v := e.HandlePacket(h, now); v.Action != route.Forward {
			panic("packet was not forwarded: " + v.Reason.String())
		}
		if flow++; flow == flows {
			flow = 0
		}
	}
	return float64(time.Since(began).Nanoseconds()) / decisionsPerRound
}
