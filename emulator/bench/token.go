package bench

import (
	"context"
	"net/netip"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/entry/packet"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/platform"
	"catkinrail.example/catkinrail/platform/standin"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/udp"
)

// newTokenEngine returns an engine with one service, whose backend servers all have
// the address to.
func newTokenEngine(at int64, to netip.AddrPort) *token.Engine {
	e := token.New("a", 1)
	e.SetDocument(&catkinrail.Document{Version: 1, Services: []string{"bench"}, Routes: []catkinrail.Route{{
		Name: "bench", Listen: serviceAddr, Targets: []catkinrail.Target{{Service: "bench", Weight: 1}},
	}}})
	var list []token.FollowedBackend
	for i := range numServers {
		list = append(list, token.FollowedBackend{Incarnation: catkinrail.Incarnation{
			Name: "host-" + string(rune('a'+i)), Identity: uint64(i + 1), StartedAt: 1, Service: "bench", Slots: slotsPerServer, Zone: "a", Addr: to,
		}})
	}
	e.Update(list, at)
	e.RecordContact(at)
	return e
}

// MeasureTokenDecision measures decisions about packets with a token.
func MeasureTokenDecision(flows int) Decision {
	e := newTokenEngine(now, netip.MustParseAddrPort("127.0.0.1:80"))
	p := catkinrail.TokenPacket{Flow: catkinrail.FlowKey{
		Dst: serviceAddr.Addr().As16(), DstPort: serviceAddr.Port(), Proto: catkinrail.ProtoTCP,
	}}
	round := func() float64 {
		began := time.Now()
		for i := range decisionsPerRound {
			n := i % flows
			p.Flow.Src[13], p.Flow.Src[14], p.Flow.SrcPort = byte(n>>16), byte(n>>8), uint16(n)
			p.Token = catkinrail.Token(1 + n%numServers)
			if v := e.Decide(&p, now); v.Action != token.Forward {
				panic("packet was not forwarded: " + v.Reason.String())
			}
		}
		return float64(time.Since(began).Nanoseconds()) / decisionsPerRound
	}
	// The first round lets the engine track the flows; it isn't measured.
	round()
	var times []float64
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range numRounds {
		times = append(times, round())
	}
	runtime.ReadMemStats(&after)
	slices.Sort(times)
	return Decision{
		Nanoseconds: times[numRounds/2],
		Allocs:      float64(int((after.Mallocs-before.Mallocs)*100/(numRounds*decisionsPerRound))) / 100,
	}
}

// forwardByToken forwards as catkinrail-entry does on the platform.
func forwardByToken(ctx context.Context, in *udp.Conn, to netip.AddrPort, handled *atomic.Int64) error {
	clk := clock.New()
	r := packet.NewRouter(newTokenEngine(clk.Nanos(), to), clk, clk)
	w := packet.New(r, in, platform.PacketCodec{}, clk, logs.Discard(), metrics.NewRegistry())
	return readLoop(ctx, in, handled, w.Batch)
}

// tokenPacket returns a packet with a token of the i-th flow.
func tokenPacket(i int) []byte {
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 16), byte(i >> 8)}), uint16(i))
	return standin.DataPacket(src, serviceAddr, uint32(1+i%numServers), make([]byte, payloadSize))
}
