package bench

import (
	"context"
	"net/netip"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/entry/fabric"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/udp"
)

// Sizes of the forwarding measurement.
const (
	senders     = 2
	benchFlows  = 4096
	payloadSize = 200
	// warmTime is not counted, runTime is.
	warmTime = 300 * time.Millisecond
	runTime  = 1500 * time.Millisecond
	pairs    = 5
)

// Forwarding is what was measured of forwarding.
type Forwarding struct {
	// Entry and Bare are packets a second of the entry instance and of the bare
	// forwarder, medians of several runs in turn.
	Entry, Bare float64
	// Ratio is the median of the ratios of the pairs.
	Ratio float64
}

// forwarder forwards what comes in to one address, and counts it.
type forwarder func(ctx context.Context, in *udp.Conn, to netip.AddrPort, handled *atomic.Int64) error

// load is what a forwarder is measured with.
type load struct {
	forward forwarder
	// packet returns the i-th flow's packet.
	packet func(i int) []byte
}

// MeasureForwarding measures one worker of the entry instance and one bare
// forwarder in turn, each on one thread, under the same load of IP in UDP.
func MeasureForwarding(ctx context.Context) (Forwarding, error) {
	return measurePairs(ctx, load{forward: runEntry, packet: ipPacket})
}

// MeasureTokenForwarding is MeasureForwarding for packets with a routing token.
func MeasureTokenForwarding(ctx context.Context) (Forwarding, error) {
	return measurePairs(ctx, load{forward: runToken, packet: tokenPacket})
}

func measurePairs(ctx context.Context, l load) (Forwarding, error) {
	var entries, bares, ratios []float64
	for range pairs {
		e, err := forwardRate(ctx, l)
		if err != nil {
			return Forwarding{}, err
		}
		b, err := forwardRate(ctx, load{forward: runBare, packet: l.packet})
		if err != nil {
			return Forwarding{}, err
		}
		entries, bares, ratios = append(entries, e), append(bares, b), append(ratios, e/b)
	}
	return Forwarding{Entry: median(entries), Bare: median(bares), Ratio: median(ratios)}, nil
}

func median(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/2]
}

// forwardRate returns the packets a second that reach the sink.
func forwardRate(ctx context.Context, l load) (float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	in, err := udp.Listen(ctx, loopback)
	if err != nil {
		return 0, err
	}
	sink, err := udp.Listen(ctx, loopback)
	if err != nil {
		return 0, err
	}
	g, ctx := errgroup.WithContext(ctx)
	var handled atomic.Int64
	g.Go(func() error { return discard(ctx, sink) })
	g.Go(func() error {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		return l.forward(ctx, in, sink.LocalAddr(), &handled)
	})
	for i := range senders {
		g.Go(func() error { return send(ctx, in.LocalAddr(), l.packet, i) })
	}
	clock.Sleep(ctx, warmTime)
	before, began := handled.Load(), time.Now()
	clock.Sleep(ctx, runTime)
	rate := float64(handled.Load()-before) / time.Since(began).Seconds()
	cancel()
	return rate, g.Wait()
}

// runEntry forwards as the daemon does.
func runEntry(ctx context.Context, in *udp.Conn, to netip.AddrPort, handled *atomic.Int64) error {
	e := newEngine(false, func(int, int) netip.AddrPort { return to })
	clk := clock.New()
	e.SetLease(clk.Nanos() + int64(time.Hour))
	w := fabric.New(e, clk, in, relay.Key{}, fabric.NewStats(metrics.NewRegistry()), false)
	return loop(ctx, in, handled, w.Batch)
}

// runBare forwards every datagram to one address.
func runBare(ctx context.Context, in *udp.Conn, to netip.AddrPort, handled *atomic.Int64) error {
	return loop(ctx, in, handled, func(n int) {
		for i := range n {
			b, _ := in.Datagram(i)
			in.Queue(to, b)
		}
		in.Flush()
	})
}

// loop reads batches until ctx ends.
func loop(ctx context.Context, in *udp.Conn, handled *atomic.Int64, batch func(n int)) error {
	stop := context.AfterFunc(ctx, func() { in.Close() })
	defer stop()
	for {
		n, err := in.Read()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		batch(n)
		handled.Add(int64(n))
	}
}

func discard(ctx context.Context, sink *udp.Conn) error {
	return loop(ctx, sink, &atomic.Int64{}, func(int) {})
}

// send sends packets of many flows as fast as it can until ctx ends.
func send(ctx context.Context, to netip.AddrPort, packet func(i int) []byte, worker int) error {
	conn, err := udp.Listen(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return err
	}
	defer conn.Close()
	packets := make([][]byte, benchFlows)
	for i := range packets {
		packets[i] = packet(worker*benchFlows + i)
	}
	for i := 0; ctx.Err() == nil; i++ {
		conn.Queue(to, packets[i%benchFlows])
	}
	return nil
}

func ipPacket(i int) []byte {
	h := ip.Header{}
	setFlow(&h, i)
	h.Key.Dst = serviceAddr.Addr().As16()
	h.Key.DstPort = serviceAddr.Port()
	h.Key.Proto = catkinrail.ProtoTCP
	return ip.Append(nil, &ip.Segment{Key: h.Key, Flags: ip.FlagACK, Payload: make([]byte, payloadSize)})
}
