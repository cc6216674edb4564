package load

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/load"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/entry/packet"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

var listen = netip.MustParseAddrPort("198.18.0.1:443")

// standIn is a control instance that answers load reports as the test says.
type standIn struct {
	control.DRPCControlUnimplementedServer
	mu     sync.Mutex
	answer func(ctx context.Context, r *message.LoadReport) (*message.LoadReply, error)
}

func (s *standIn) set(f func(ctx context.Context, r *message.LoadReport) (*message.LoadReply, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = f
}

func (s *standIn) Load(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	s.mu.Lock()
	answer := s.answer
	s.mu.Unlock()
	if answer == nil {
		return s.DRPCControlUnimplementedServer.Load(ctx, f)
	}
	var r message.LoadReport
	if err := cluster.Decode(f.GetBody(), &r); err != nil {
		return nil, err
	}
	reply, err := answer(ctx, &r)
	if err != nil {
		return nil, err
	}
	body, err := cluster.Encode(reply)
	return &control.Frame{Body: body}, err
}

// followed is the address of the control instance that is followed.
type followed string

func (f followed) Control() string { return string(f) }

// newClient returns a client with one flow, which follows the stand-in.
func newClient(t *testing.T, s *standIn) (*Client, *packet.Router) {
	t.Helper()
	l, err := rpc.Listen(t.Context(), "127.0.0.1:0", nil)
	require.NoError(t, err)
	mux := drpcmux.New()
	require.NoError(t, control.DRPCRegisterControl(mux, s))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return rpc.Serve(ctx, l, mux) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	e := token.New("a", 1)
	e.SetDocument(&catkinrail.Document{Version: 1, Services: []string{"s"}, Routes: []catkinrail.Route{{
		Listen: listen, Timeout: time.Second, LatencyTarget: time.Second, Targets: []catkinrail.Target{{Service: "s", Weight: 1}},
	}}})
	e.Update([]token.FollowedBackend{{Incarnation: catkinrail.Incarnation{Name: "b", Identity: 1, StartedAt: 100, Service: "s", Zone: "a"}}}, 0)
	clk := clock.New()
	r := packet.NewRouter(e, clk, clk)
	r.Do(func(e *token.Engine, now int64) {
		e.Decide(&catkinrail.TokenPacket{Flow: catkinrail.FlowKey{Dst: listen.Addr().As16(), DstPort: 443}, Opening: true}, now)
	})
	c := New(Config{
		Name: "e1", Zone: "a", Process: 1, Router: r, Follow: followed(l.Addr().(*net.TCPAddr).String()),
		Clock: clk, Log: logs.Discard(), Metrics: metrics.NewRegistry(),
	})
	t.Cleanup(c.close)
	return c, r
}

func fresh(r *packet.Router) (ok bool) {
	r.Do(func(e *token.Engine, now int64) { ok = e.LoadView().Fresh(now) })
	return ok
}

// TestExchange guards against a client that piles up calls or spins when the control
// instance is of an earlier build or stands still, and that doesn't recover.
func TestExchange(t *testing.T) {
	s := &standIn{}
	c, r := newClient(t, s)
	ctx := t.Context()
	require.Equal(t, backoff, c.exchange(ctx), "an earlier build")
	require.Equal(t, backoff, c.exchange(ctx))
	require.False(t, fresh(r))

	table := load.NewTable("c", 1)
	s.set(func(_ context.Context, r *message.LoadReport) (*message.LoadReply, error) {
		return table.Report(r, time.Now().UnixNano()), nil
	})
	require.Equal(t, interval, c.exchange(ctx))
	require.True(t, fresh(r))
	require.Zero(t, c.failures)

	s.set(func(ctx context.Context, _ *message.LoadReport) (*message.LoadReply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	began := time.Now()
	require.Equal(t, interval, c.exchange(ctx), "a control instance that stands still")
	require.Less(t, time.Since(began), load.Expiry)
	require.Equal(t, backoff, c.exchange(ctx))
	require.EqualValues(t, 4, c.stats.failures.Count())
	require.EqualValues(t, 5, c.stats.reports.Count())
	require.Positive(t, c.stats.received.Count())

	c.cfg.Follow = followed("")
	require.Equal(t, interval, c.exchange(ctx), "nobody to follow")
	require.EqualValues(t, 5, c.stats.reports.Count())
}

// TestIntervalFitsLink guards against an exchange that takes more than its share of a link.
func TestIntervalFitsLink(t *testing.T) {
	tests := []struct {
		name  string
		bits  float64
		bytes int64
		want  time.Duration
	}{
		{"small", 1.4e6, 1500, interval},
		{"large on a thin link", 1.4e6, 2600, 400 * time.Millisecond},
		{"large without a limit of the link", 0, 11_800, 500 * time.Millisecond},
		{"very large", 0, 1 << 20, maxInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(Config{Clock: clock.New(), Log: logs.Discard(), Metrics: metrics.NewRegistry()})
			c.SetLink(tt.bits)
			require.Equal(t, tt.want, c.nextInterval(tt.bytes).Round(time.Millisecond))
		})
	}
}

// TestLoansThroughExchange guards against wants that aren't sent and loans that aren't
// applied.
func TestLoansThroughExchange(t *testing.T) {
	s := &standIn{}
	c, r := newClient(t, s)
	table := load.NewTable("c", 1)
	var wants map[string]int
	s.set(func(_ context.Context, r *message.LoadReport) (*message.LoadReply, error) {
		reply := table.Report(r, time.Now().UnixNano())
		wants = r.Wants
		if r.Wants != nil {
			reply.Loans = []message.Loan{{Token: 2, StartedAt: 100, Flows: 3}}
		}
		return reply, nil
	})
	r.Do(func(e *token.Engine, now int64) {
		e.SetDocument(&catkinrail.Document{
			Version: 2, Services: []string{"s"}, Limits: map[string]catkinrail.ServiceLimits{"s": {WarmupTime: time.Hour, WarmupRate: 1}},
			Routes: []catkinrail.Route{{Listen: listen, LatencyTarget: time.Second, Targets: []catkinrail.Target{{Service: "s", Weight: 1}}}},
		})
		e.Update([]token.FollowedBackend{{Incarnation: catkinrail.Incarnation{
			Name: "cold", Identity: 2, StartedAt: 100, Sequence: 1, Service: "s", Zone: "a", Warmup: time.Hour,
		}}}, now)
	})
	c.exchange(t.Context())
	require.Empty(t, wants, "no flows were opened lately")
	r.Do(func(e *token.Engine, now int64) {
		e.Decide(&catkinrail.TokenPacket{Flow: catkinrail.FlowKey{SrcPort: 2, Dst: listen.Addr().As16(), DstPort: 443}, Opening: true}, now)
	})
	c.exchange(t.Context())
	require.Positive(t, wants["s"])
	r.Do(func(e *token.Engine, _ int64) { require.Equal(t, uint64(3), e.LoanStats().Received) })
}
