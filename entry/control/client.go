// Package control is the entry instance's client of the control leader. It registers
// the instance, receives the cluster state, renews the lease and sends reports.
package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
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
	// callTimeout limits a call, including the time for which control may hold back
	// a heartbeat's reply until there is a change.
	callTimeout = 750 * time.Millisecond
	// minBackoff and maxBackoff limit the mean delay after a failed call; jitter changes
	// it by up to half.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// snapshotTimeout limits a heartbeat whose reply may carry the whole state.
	snapshotTimeout = 5 * time.Second
	logInterval     = 10 * time.Second
)

// Config holds the settings and dependencies of a client.
type Config struct {
	Registration plan.Registration
	Peers        []string
	Credentials  *rpc.Credentials
	Clock        fabric.NanoClock
	Engine       *route.Engine
	Registry     *backend.Registry
	Stats        *fabric.Stats
	Log          *logs.Logger
	Limiter      *logs.Limiter
}

// Client exchanges heartbeats with the control leader.
type Client struct {
	cfg Config
	// clients are those of the control instances that the leader has listed, or of those in the
	// settings. Only Run changes them, with mu held.
	clients []*rpc.Client
	// unanswered is the number of calls in a row that no control instance answered.
	unanswered int
	// current is the index of the control instance in use.
	current int
	// members is the index of the list of control instances that the leader sent last.
	members uint64
	term    uint64
	backoff time.Duration
	leaving atomic.Bool
	left    atomic.Bool
	// registered is cleared when control replies that the instance isn't registered.
	registered bool
	ready      atomic.Bool

	mu sync.Mutex
	// closedBytes is the number of bytes exchanged with control instances that have gone.
	closedBytes int64
}

// New returns a client that tries the control instances in turn.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, backoff: minBackoff}
	for _, addr := range cfg.Peers {
		c.clients = append(c.clients, rpc.NewClient(addr, cfg.Credentials))
	}
	c.current = rand.IntN(len(c.clients))
	return c
}

// Leave makes the client report that the instance is shutting down.
func (c *Client) Leave() {
	c.leaving.Store(true)
}

// CompleteLeave makes the client report that the instance no longer forwards packets.
func (c *Client) CompleteLeave() {
	c.left.Store(true)
}

// Ready reports whether the instance has received the cluster state and isn't leaving.
func (c *Client) Ready() bool {
	return c.ready.Load() && !c.leaving.Load()
}

// Bytes returns the number of bytes exchanged with the control instances.
func (c *Client) Bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := c.closedBytes
	for _, cl := range c.clients {
		sent, received := cl.Bytes()
		total += sent + received
	}
	return total
}

// Run registers the instance and sends heartbeats until ctx ends, or until control has
// removed an instance that is leaving.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil && !c.released() {
		if err := c.exchange(ctx); err != nil && ctx.Err() == nil {
			c.tryNextPeer(ctx, err)
			continue
		}
		c.backoff, c.unanswered = minBackoff, 0
	}
	return nil
}

// released reports whether control has removed this instance, which is leaving.
func (c *Client) released() bool {
	return c.leaving.Load() && !c.registered && c.term > 0
}

// exchange registers the instance if necessary, or else sends a heartbeat.
func (c *Client) exchange(ctx context.Context) error {
	if !c.registered {
		return c.register(ctx)
	}
	return c.heartbeat(ctx)
}

// tryNextPeer switches to the next control instance and waits for an exponential
// backoff. Its jitter spreads the calls of instances that lost their leader at the same
// time.
func (c *Client) tryNextPeer(ctx context.Context, err error) {
	if skipped, ok := c.cfg.Limiter.Allow(); ok && drpcerr.Code(err) != uint64(api.Code_NOT_LEADER) {
		c.cfg.Log.Warn(err).Uint64("skipped", skipped).Msg("call to control instance failed")
	}
	c.unanswered++
	if drpcerr.Code(err) == uint64(api.Code_NOT_LEADER) {
		c.unanswered = 0
	}
	if c.unanswered > 2*len(c.clients) {
		// All that the leader listed may have been exchanged in the meantime.
		c.unanswered = 0
		c.setInstances(slices.Concat(c.addrs(), c.cfg.Peers))
	}
	c.current = (c.current + 1) % len(c.clients)
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

type rpcMethod func(context.Context, control.DRPCControlClient, *control.Frame) (*control.Frame, error)

func (c *Client) call(ctx context.Context, step string, timeout time.Duration, in, out any, m rpcMethod) error {
	body, err := cluster.Encode(in)
	if err != nil {
		return err
	}
	return c.clients[c.current].Call(ctx, step, timeout, func(ctx context.Context, conn drpc.Conn) error {
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
		Leaving: c.leaving.Load(), Left: c.left.Load(), Counts: c.cfg.Stats.TakeCounts(), Wait: true, Members: c.members,
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
	c.cfg.Registry.MarkDelivered(hb.Announcements)
	return c.apply(&r, sent)
}

// apply applies the reply to a heartbeat that was sent at the given time, from which
// the lease counts. A reply from an earlier term comes from a replaced leader and is
// ignored.
func (c *Client) apply(r *message.HeartbeatReply, sent int64) error {
	e, addr := c.cfg.Engine, c.clients[c.current].Addr()
	if r.Term < c.term {
		return nil
	}
	if r.Term > c.term {
		// An earlier leader's list may not have been committed.
		c.members = 0
	}
	c.term = r.Term
	if len(r.Control) > 0 {
		c.setInstances(r.Control)
		c.members = r.Members
	}
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
		return catkinrail.At(err, "apply changes", addr)
	}
	e.SetLease(sent + int64(r.Lease))
	if e.Version() > 0 {
		c.ready.Store(true)
	}
	return nil
}

// addrs returns the addresses of the control instances to try.
func (c *Client) addrs() (list []string) {
	for _, cl := range c.clients {
		list = append(list, cl.Addr())
	}
	return list
}

// setInstances replaces the control instances other than the one in use.
func (c *Client) setInstances(list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inUse := c.clients[c.current]
	list = slices.Concat([]string{inUse.Addr()}, list)
	old := map[string]*rpc.Client{}
	for _, cl := range c.clients {
		old[cl.Addr()] = cl
	}
	c.clients, c.current = nil, 0
	for _, addr := range list {
		if slices.Contains(c.addrs(), addr) {
			continue
		}
		cl := old[addr]
		if cl == nil {
			cl = rpc.NewClient(addr, c.cfg.Credentials)
		}
		delete(old, addr)
		c.clients = append(c.clients, cl)
	}
	for _, cl := range old {
		sent, received := cl.Bytes()
		c.closedBytes += sent + received
		cl.Close()
	}
}
