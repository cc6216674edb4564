// Package load exchanges this entry instance's load with the other entry instances through
// the control instance that it follows.
package load

import (
	"context"
	"math/rand/v2"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/entry/packet"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Timing of the reports.
const (
	// interval is the time between two reports. With the time that a call and the exchange
	// between control instances take, a report is known to all well within load.Expiry.
	interval = 250 * time.Millisecond
	// callTimeout bounds a call, so that a control instance that doesn't answer delays the
	// next report by less than half of load.Expiry.
	callTimeout = 400 * time.Millisecond
	// backoff is the time until the next report after a repeated failure, or if the control
	// instance doesn't know the call.
	backoff = time.Second
)

// Follower tells which control instance this entry instance follows.
type Follower interface {
	// Control returns its address, or an empty string while there is none.
	Control() string
}

// Client sends the reports and applies the replies.
type Client struct {
	creds  *rpc.Credentials
	router *packet.Router
	follow Follower
	log    *logs.Logger

	report message.LoadReport
	conn   *rpc.Client
	// failures is the number of consecutive failures; lost is set after the first of them
	// has been logged.
	failures int
	lost     bool
}

// New returns a client. Process is a random number that identifies this process.
func New(name string, zone catkinrail.Zone, process uint64, creds *rpc.Credentials, r *packet.Router, f Follower, log *logs.Logger) *Client {
	return &Client{
		creds: creds, router: r, follow: f, log: log,
		report: message.LoadReport{Name: name, Zone: zone, Process: process},
	}
}

// Run exchanges loads until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	defer c.close()
	// Instances that become ready together must not report together.
	delay := rand.N(interval)
	for clock.Sleep(ctx, delay) {
		delay = c.exchange(ctx)
	}
	return nil
}

func (c *Client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a report if one is due, and returns the time until the next.
func (c *Client) exchange(ctx context.Context) time.Duration {
	addr := c.follow.Control()
	if addr == "" {
		return interval
	}
	due := false
	c.router.Do(func(e *token.Engine, now int64) { due = e.LoadReport(&c.report, now) })
	if !due {
		return interval
	}
	if c.conn == nil || c.conn.Addr() != addr {
		c.close()
		c.conn = rpc.NewClient(addr, c.creds)
	}
	var reply message.LoadReply
	err := c.conn.Call(ctx, "load", callTimeout, func(ctx context.Context, conn drpc.Conn) error {
		body, err := cluster.Encode(&c.report)
		if err != nil {
			return err
		}
		f, err := control.NewDRPCControlClient(conn).Load(ctx, &control.Frame{Body: body})
		if err != nil {
			return err
		}
		return cluster.DecodeCompressed(f.GetBody(), &reply)
	})
	if err != nil {
		return c.recordFailure(ctx, addr, err)
	}
	c.router.Do(func(e *token.Engine, now int64) { e.ApplyLoad(&reply, now) })
	if c.lost {
		c.log.Info().Str("control", addr).Int("failures", c.failures).Msg("exchange of loads regained")
	}
	c.failures, c.lost = 0, false
	return interval
}

// recordFailure records a failed call and returns the time until the next report. One
// failure is logged until calls succeed again.
func (c *Client) recordFailure(ctx context.Context, addr string, err error) time.Duration {
	if ctx.Err() != nil {
		return interval
	}
	c.failures++
	if !c.lost {
		c.lost = true
		c.log.Warn(err).Str("control", addr).Msg("exchange of loads failed; placement goes on without it")
	}
	if c.failures > 1 || drpcerr.Code(err) == drpcerr.Unimplemented {
		return backoff
	}
	return interval
}
