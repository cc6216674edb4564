// Package control measures control instances with stand-in entry instances: these
// use the real control client and routing engine, but open no sockets for packets.
package control

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/entry/backend"
	"catkinrail.example/catkinrail/entry/control"
	"catkinrail.example/catkinrail/entry/fabric"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/api"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// numZones is the number of zones that the stand-ins are spread over.
const numZones = 6

// standIn is a stand-in entry instance.
type standIn struct {
	engine *route.Engine
	client *control.Client
	stats  *fabric.Stats
	reg    *backend.Registry
}

func newStandIn(i int, peers []string, clk *clock.System) *standIn {
	zone := catkinrail.Zone(fmt.Sprintf("zone-%d", i%numZones))
	s := &standIn{engine: route.New(route.Config{Zone: zone}), stats: fabric.NewStats(metrics.NewRegistry())}
	s.reg = backend.New(clk, zone, s.engine.ServiceKnown)
	s.client = control.New(control.Config{
		Registration: plan.Registration{
			Name: fmt.Sprintf("stand-in-%d", i), Zone: zone, Incarnation: uint64(clk.Nanos()),
			Relay: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, byte(i >> 8), byte(i)}), 7300),
		},
		Peers: peers, Clock: clk, Engine: s.engine, Registry: s.reg, Stats: s.stats,
		Log: logs.Discard(), Limiter: logs.NewLimiter(clk, time.Minute),
	})
	return s
}

// operator sends an operator's calls to the control instance that leads.
type operator struct {
	clients []*rpc.Client
	changes int
}

func newOperator(peers []string) *operator {
	o := &operator{}
	for _, p := range peers {
		o.clients = append(o.clients, rpc.NewClient(p, nil))
	}
	return o
}

const callTimeout = 2 * time.Second

// change makes a change at the first control instance that accepts it, and returns
// the version at which it took effect.
func (o *operator) change(ctx context.Context, f func(context.Context, api.DRPCOperatorClient, *api.Change) (*api.ChangeReply, error)) (uint64, error) {
	o.changes++
	c := &api.Change{Request: fmt.Sprintf("%d-%d", time.Now().UnixNano(), o.changes)}
	var reply *api.ChangeReply
	var last error
	for _, cl := range o.clients {
		last = cl.Call(ctx, "change", callTimeout, func(ctx context.Context, conn drpc.Conn) (err error) {
			reply, err = f(ctx, api.NewDRPCOperatorClient(conn), c)
			return err
		})
		if last == nil {
			return reply.GetVersion(), nil
		}
	}
	return 0, last
}

// fleet is a group of running stand-ins.
type fleet struct {
	instances []*standIn
	group     *errgroup.Group
	stop      context.CancelFunc
}

func startFleet(ctx context.Context, n int, peers []string, clk *clock.System) *fleet {
	ctx, cancel := context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	f := &fleet{group: g, stop: cancel}
	for i := range n {
		s := newStandIn(i, peers, clk)
		f.instances = append(f.instances, s)
		g.Go(func() error { return s.client.Run(ctx) })
		g.Go(func() error { return tick(ctx, s.engine, clk) })
	}
	return f
}

const tickInterval = 50 * time.Millisecond

// tick does an engine's periodic work until ctx ends. It drops the messages to other
// stand-ins: these hold no records.
func tick(ctx context.Context, e *route.Engine, clk *clock.System) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			e.Tick(clk.Nanos())
		}
	}
}

// lowestVersion returns the lowest state version among the stand-ins.
func (f *fleet) lowestVersion() uint64 {
	lowest := f.instances[0].engine.Version()
	for _, s := range f.instances {
		lowest = min(lowest, s.engine.Version())
	}
	return lowest
}

// controlBytes returns the bytes that all stand-ins have exchanged with control.
func (f *fleet) controlBytes() int64 {
	total := int64(0)
	for _, s := range f.instances {
		total += s.client.Bytes()
	}
	return total
}

// leave shuts all stand-ins down gracefully.
func (f *fleet) leave(ctx context.Context) error {
	for _, s := range f.instances {
		s.client.Leave()
		s.client.CompleteLeave()
	}
	clock.Sleep(ctx, leaveWait)
	f.stop()
	return f.group.Wait()
}

// leaveWait is the time for the heartbeats that report that the stand-ins left.
const leaveWait = 3 * time.Second

// awaitVersion waits until every stand-in has the version, and returns how long that
// took.
func (f *fleet) awaitVersion(ctx context.Context, version uint64, timeout time.Duration) (time.Duration, error) {
	began := time.Now()
	for f.lowestVersion() < version {
		if time.Since(began) > timeout || ctx.Err() != nil {
			return 0, fmt.Errorf("wait for version %d at every stand-in (timeout %s): the lowest version is %d", version, timeout, f.lowestVersion())
		}
		clock.Sleep(ctx, time.Millisecond)
	}
	return time.Since(began), nil
}
