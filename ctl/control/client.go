// Package control speaks to the control instances on behalf of an operator.
package control

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"

	"catkinrail.example/catkinrail/protocol/api"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Timing of calls.
const (
	// attemptTimeout bounds one attempt at one control instance.
	attemptTimeout = 3 * time.Second
	retryPause     = 100 * time.Millisecond
)

// ErrUnknown means that a change may or may not have run.
var ErrUnknown = errors.New("outcome unknown")

// Client makes calls to whichever control instance can answer.
type Client struct {
	clients []*rpc.Client
	timeout time.Duration
}

// New returns a client that gives up after timeout.
func New(addrs []string, creds *rpc.Credentials, timeout time.Duration) *Client {
	c := &Client{timeout: timeout}
	for _, addr := range addrs {
		c.clients = append(c.clients, rpc.NewClient(addr, creds))
	}
	return c
}

// Call makes the call at one control instance after the other until one
// answers. The call must be idempotent: a change carries its request identifier,
// so that sending it again can't run it twice. If an attempt may have reached a
// leader and no answer came in the end, the error is ErrUnknown.
func (c *Client) Call(ctx context.Context, step string, f func(context.Context, api.DRPCOperatorClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var last error
	uncertain := false
	for i := 0; ctx.Err() == nil; i++ {
		cl := c.clients[i%len(c.clients)]
		err := cl.Call(ctx, step, attemptTimeout, func(ctx context.Context, conn drpc.Conn) error {
			return f(ctx, api.NewDRPCOperatorClient(conn))
		})
		if err == nil {
			return nil
		}
		code := api.Code(drpcerr.Code(err))
		if code != api.Code_OK && code != api.Code_NOT_LEADER && code != api.Code_UNKNOWN {
			return err
		}
		if code != api.Code_NOT_LEADER && !neverSent(err) {
			uncertain = true
		}
		last = err
		if (i+1)%len(c.clients) == 0 {
			clock.Sleep(ctx, retryPause)
		}
	}
	if uncertain {
		return fmt.Errorf("%w: %w", ErrUnknown, last)
	}
	return last
}

// Each makes the call at every control instance. It returns the errors of those that
// didn't answer, and fails if none did.
func (c *Client) Each(ctx context.Context, step string, f func(context.Context, api.DRPCOperatorClient) error) (missing []error, err error) {
	for _, cl := range c.clients {
		err := cl.Call(ctx, step, min(attemptTimeout, c.timeout), func(ctx context.Context, conn drpc.Conn) error {
			return f(ctx, api.NewDRPCOperatorClient(conn))
		})
		if err != nil {
			missing = append(missing, err)
		}
	}
	if len(missing) == len(c.clients) {
		return nil, errors.Join(missing...)
	}
	return missing, nil
}

// neverSent reports whether the call failed before it reached the peer.
func neverSent(err error) bool {
	text := err.Error()
	return strings.Contains(text, "dial:") || strings.Contains(text, "handshake:")
}

// Stream runs f with a connection that stays open until ctx ends.
func (c *Client) Stream(ctx context.Context, f func(context.Context, api.DRPCOperatorClient) error) error {
	var last error
	for _, cl := range c.clients {
		const forever = 365 * 24 * time.Hour
		last = cl.Call(ctx, "watch", forever, func(ctx context.Context, conn drpc.Conn) error {
			return f(ctx, api.NewDRPCOperatorClient(conn))
		})
		if ctx.Err() != nil {
			return nil
		}
	}
	return last
}
