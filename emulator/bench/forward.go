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
	// warmUpTime comes before measureTime and is not measured.
	warmUpTime  = 300 * time.Millisecond
	measureTime = 1500 * time.Millisecond
	// numPairs is the number of measurements of each forwarder, in alternation.
	numPairs = 5
)

// Forwarding holds the measurements of forwarding.
type Forwarding struct {
	// Entry and Bare are the median packets per second of the entry instance and of
	// the bare forwarder.
	Entry, Bare float64
	// Ratio is the median ratio of Entry to Bare in a pair of measurements.
	Ratio float64
}

// forwarder forwards the datagrams from in to one address, and adds their number to
// handled, until ctx ends.
type forwarder func(ctx context.Context, in *udp.Conn, to netip.AddrPort, handled *atomic.Int64) error

// load is a forwarder and the packets to measure it with.
type load struct {
	forward forwarder
	// packet returns a packet of the i-th flow.
	packet func(i int) []byte
}

// MeasureForwarding measures a worker of the entry instance and a bare forwarder
// in alternation, each on one thread, with the same packets as IP in UDP.
func MeasureForwarding(ctx context.Context) (Forwarding, error) {
	return measurePairs(ctx, load{forward: forwardByEntry, packet: ipPacket})
}

// MeasureTokenForwarding is like MeasureForwarding for packets with a routing token.
func MeasureTokenForwarding(ctx context.Context) (Forwarding, error) {
	return measurePairs(ctx, load{forward: forwardByToken, packet: tokenPacket})
}

// measurePairs measures the load's forwarder and the bare one in alternation.
func measurePairs(ctx context.Context, l load) (Forwarding, error) {
	var entries, bares, ratios []float64
	for range numPairs {
		e, err := forwardRate(ctx, l)
		if err != nil {
			return Forwarding{}, err
		}
		b, err := forwardRate(ctx, load{forward: forwardBare, packet: l.packet})
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

// forwardRate returns the packets per second that the forwarder handles.
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
		g.Go(func() error { return sendLoop(ctx, in.LocalAddr(), l.packet, i) })
	}
	clock.Sleep(ctx, warmUpTime)
	before, began := handled.Load(), time.Now()
	clock.Sleep(ctx, measureTime)
	rate := float64(handled.Load()-before) / time.Since(began).Seconds()
	cancel()
	return rate, g.Wait()
}

// forwardByEntry forwards as catkinrail-entry does in bucket mode.
func forwardByEntry(ctx context.Context, in *udp.Conn, to netip.AddrPort, handled *atomic.Int64) error {
	e := newEngine(false, func(int, int) netip.AddrPort { return to })
	clk := clock.New()
	e.SetLease(clk.Nanos() + int64(time.Hour))
	w := fabric.New(e, clk, in, relay.Key{}, fabric.NewStats(metrics.NewRegistry()), false)
	return readLoop(ctx, in, handled, w.Batch)
}

// forwardBare forwards every datagram to one address.
func forwardBare(ctx context.Context, in *udp.Conn, to netip.AddrPort, handled *atomic.Int64) error {
	return readLoop(ctx, in, handled, func(n int) {
		for i := range n {
			b, _ := in.Datagram(i)
			in.Queue(to, b)
		}
		in.Flush()
	})
}

// readLoop reads batches of datagrams, passes the size of each to batch and adds it
// to handled, until ctx ends.
func readLoop(ctx context.Context, in *udp.Conn, handled *atomic.Int64, batch func(n int)) error {
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

// discard reads and drops datagrams until ctx ends.
func discard(ctx context.Context, sink *udp.Conn) error {
	return readLoop(ctx, sink, &atomic.Int64{}, func(int) {})
}

// sendLoop sends packets of benchFlows flows as fast as it can until ctx ends.
func sendLoop(ctx context.Context, to netip.AddrPort, packet func(i int) []byte, worker int) error {
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

// ipPacket returns a TCP packet of the i-th flow.
func ipPacket(i int) []byte {
	h := ip.Header{}
	setFlow(&h, i)
	h.Key.Dst = serviceAddr.Addr().As16()
	h.Key.DstPort = serviceAddr.Port()
	h.Key.Proto = catkinrail.ProtoTCP
	return ip.Append(nil, &ip.Segment{Key: h.Key, Flags: ip.FlagACK, Payload: make([]byte, payloadSize)})
}
