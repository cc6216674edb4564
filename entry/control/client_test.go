package control

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/entry/backend"
	"catkinrail.example/catkinrail/entry/fabric"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// fakeLeader is a leader that answers heartbeats until it has listed the control instances.
type fakeLeader struct {
	control.DRPCControlUnimplementedServer
	list  []string
	beats atomic.Int32
	stop  context.CancelFunc
}

// Register implements control.DRPCControlServer.
func (f *fakeLeader) Register(context.Context, *control.Frame) (*control.Frame, error) {
	body, err := cluster.Encode(&message.RegisterReply{ID: 1})
	return &control.Frame{Body: body}, err
}

// Heartbeat implements control.DRPCControlServer.
func (f *fakeLeader) Heartbeat(_ context.Context, in *control.Frame) (*control.Frame, error) {
	var hb message.Heartbeat
	if err := cluster.Decode(in.GetBody(), &hb); err != nil {
		return nil, err
	}
	f.beats.Add(1)
	reply := &message.HeartbeatReply{Term: 1}
	if hb.Members != 7 {
		reply.Control, reply.Members = f.list, 7
	} else if len(f.list) > 0 {
		f.stop()
	}
	body, err := cluster.Encode(reply)
	return &control.Frame{Body: body}, err
}

// serve runs the leader on loopback and returns its address.
func serve(t *testing.T, f *fakeLeader) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, control.DRPCRegisterControl(mux, f))
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	var g errgroup.Group
	g.Go(func() error { return rpc.Serve(ctx, l, mux) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return l.Addr().String()
}

// TestFollowsExchangedInstances guards against an entry instance that knows no control instance any
// more once those in its settings have been exchanged.
func TestFollowsExchangedInstances(t *testing.T) {
	next := &fakeLeader{}
	old := &fakeLeader{list: []string{serve(t, next)}}
	clk, e := clock.New(), route.New(route.Config{Zone: "a"})
	c := New(Config{
		Registration: plan.Registration{Name: "entry-1", Zone: "a", Relay: netip.MustParseAddrPort("127.0.0.1:9"), Incarnation: 1},
		Peers:        []string{serve(t, old)}, Clock: clk, Engine: e, Registry: backend.New(clk, "a", e.ServiceKnown),
		Stats: fabric.NewStats(metrics.NewRegistry()), Log: logs.Discard(), Limiter: logs.NewLimiter(clk, time.Second),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return c.Run(ctx) })
	require.Eventually(t, func() bool { return next.beats.Load() > 0 }, 10*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, g.Wait())
}

// TestReturnsToSettings guards against an entry instance that, after an outage of all control
// instances, tries only those that a leader listed or only those in its settings.
func TestReturnsToSettings(t *testing.T) {
	clk := clock.New()
	c := New(Config{Peers: []string{"s:1", "s:2"}, Log: logs.Discard(), Limiter: logs.NewLimiter(clk, time.Second)})
	c.setInstances([]string{"a:1", "b:1"})
	inUse := c.addrs()[0]
	require.Equal(t, []string{inUse, "a:1", "b:1"}, c.addrs())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 {
		c.tryNextPeer(ctx, context.DeadlineExceeded)
	}
	require.ElementsMatch(t, []string{"s:1", "s:2", "a:1", "b:1"}, c.addrs())
}
