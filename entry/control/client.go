// Package control speaks to the control instances: it registers the entry
// instance, fetches the configuration, renews the lease and reports.
package control

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/entry/backend"
	"catkinrail.example/catkinrail/entry/fabric"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/api"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Timing of calls.
const (
	// callTimeout bounds a heartbeat, the time that its answer may wait included.
	callTimeout = 750 * time.Millisecond
	// minBackoff and maxBackoff bound the time between attempts that failed.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// snapshotTimeout bounds a call that may carry the whole state.
	snapshotTimeout = 5 * time.Second
	logInterval     = 10 * time.Second
)

// Config is what a client is made of.
type Config struct {
	Registration plan.Registration
	Peers        []string
	Credentials  *rpc.Credentials
	Clock        fabric.Nanos
	Engine       *route.Engine
	Registry     *backend.Registry
	Stats        *fabric.Stats
	Log          *logs.Logger
	Limiter      *logs.Limiter
}

// Client keeps the entry instance in touch with the control leader.
type Client struct {
	cfg     Config
	clients []*rpc.Client
	// at is the index of the control instance that is spoken to.
	at      int
	term    uint64
	backoff time.Duration
	leaving atomic.Bool
	left    atomic.Bool
	// registered is cleared when control no longer knows the instance.
	registered bool
	ready      atomic.Bool
}

// New returns a client that tries the control instances in turn.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, backoff: minBackoff}
	for _, addr := range cfg.Peers {
		c.clients = append(c.clients, rpc.NewClient(addr, cfg.Credentials))
	}
	c.at = rand.IntN(len(c.clients))
	return c
}

// Leave makes the client report that the instance is shutting down.
func (c *Client) Leave() {
	c.leaving.Store(true)
}

// FinishLeaving makes the client report that the instance forwards nothing any more.
func (c *Client) FinishLeaving() {
	c.left.Store(true)
}

// Ready reports whether the instance has its configuration and isn't leaving.
func (c *Client) Ready() bool {
	return c.ready.Load() && !c.leaving.Load()
}

// Bytes returns the number of bytes exchanged with the control instances.
func (c *Client) Bytes() int64 {
	total := int64(0)
	for _, cl := range c.clients {
		sent, received := cl.Bytes()
		total += sent + received
	}
	return total
}

// Run keeps in touch until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil && !c.ended() {
		if err := c.once(ctx); err != nil && ctx.Err() == nil {
			c.failed(ctx, err)
			continue
		}
		c.backoff = minBackoff
	}
	return nil
}

// ended reports whether control has let a leaving instance go.
func (c *Client) ended() bool {
	return c.leaving.Load() && !c.registered && c.term > 0
}

// once registers the instance or sends a heartbeat.
func (c *Client) once(ctx context.Context) error {
	if !c.registered {
		return c.register(ctx)
	}
	return c.heartbeat(ctx)
}

// failed turns to the next control instance, after a while that grows and has
// jitter, so that instances that lost their leader at once don't return at once.
func (c *Client) failed(ctx context.Context, err error) {
	if skipped, ok := c.cfg.Limiter.Allow(); ok && drpcerr.Code(err) != uint64(api.Code_NOT_LEADER) {
		c.cfg.Log.Warn(err).Uint64("skipped", skipped).Msg("control instance gave no answer")
	}
	c.at = (c.at + 1) % len(c.clients)
	wait := c.backoff/2 + rand.N(c.backoff)
	c.backoff = min(2*c.backoff, maxBackoff)
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (c *Client) register(ctx context.Context) error {
	var out message.RegisterReply
	err := c.call(ctx, "register", callTimeout, &c.cfg.Registration, &out,
		func(ctx context.Context, cc control.DRPCControlClient, f *control.Frame) (*control.Frame, error) {
			return cc.Register(ctx, f)
		})
	if err != nil {
		return err
	}
	c.cfg.Engine.SetSelf(out.ID)
	c.registered = true
	c.cfg.Log.Info().Uint32("id", uint32(out.ID)).Msg("registered")
	return nil
}

type method func(context.Context, control.DRPCControlClient, *control.Frame) (*control.Frame, error)

func (c *Client) call(ctx context.Context, step string, timeout time.Duration, in, out any, m method) error {
	body, err := cluster.Encode(in)
	if err != nil {
		return err
	}
	return c.clients[c.at].Call(ctx, step, timeout, func(ctx context.Context, conn drpc.Conn) error {
		f, err := m(ctx, control.NewDRPCControlClient(conn), &control.Frame{Body: body})
		if err != nil {
			return err
		}
		return cluster.Decode(f.GetBody(), out)
	})
}

func (c *Client) heartbeat(ctx context.Context) error {
	e := c.cfg.Engine
	sent := c.cfg.Clock.Nanos()
	hb := message.Heartbeat{
		ID: e.Self(), Term: c.term, StateVersion: e.Version(), Synced: e.Synced(), Busy: e.Busy(sent),
		Announcements: c.cfg.Registry.Due(), Exceptions: e.Exceptions(),
		Leaving: c.leaving.Load(), Left: c.left.Load(), Counts: c.cfg.Stats.TakeCounts(), Wait: true,
	}
	timeout := callTimeout
	if hb.StateVersion == 0 {
		timeout = snapshotTimeout
	}
	var r message.HeartbeatReply
	err := c.call(ctx, "heartbeat", timeout, &hb, &r,
		func(ctx context.Context, cc control.DRPCControlClient, f *control.Frame) (*control.Frame, error) {
			return cc.Heartbeat(ctx, f)
		})
	if err != nil {
		c.cfg.Stats.Restore(hb.Counts)
		return err
	}
	c.cfg.Registry.Delivered(hb.Announcements)
	return c.take(&r, sent)
}

// take brings the answer into force. An answer of an earlier term than one that
// was seen comes from a leader that was replaced, and is ignored.
func (c *Client) take(r *message.HeartbeatReply, sent int64) error {
	e := c.cfg.Engine
	if r.Term < c.term {
		return nil
	}
	c.term = r.Term
	if r.Unregistered {
		c.registered = false
		c.cfg.Registration.Incarnation++
		return nil
	}
	now := c.cfg.Clock.Nanos()
	if r.State != nil {
		e.Replace(r.State, now)
	}
	if err := e.Update(r.Changes, now); err != nil {
		return catkinrail.At(err, "apply changes", c.clients[c.at].Addr())
	}
	e.SetLease(sent + int64(r.Lease))
	if e.Version() > 0 {
		c.ready.Store(true)
	}
	return nil
}
