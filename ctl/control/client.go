// Package control calls the control instances on behalf of an operator.
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
	// attemptTimeout limits one attempt at one control instance.
	attemptTimeout = 3 * time.Second
	// retryDelay is the delay between rounds of attempts at all control instances.
	retryDelay = 100 * time.Millisecond
)

// ErrUnknown means that a call got no definite answer and may have run.
var ErrUnknown = errors.New("outcome unknown")

// Client makes calls to the control instances.
type Client struct {
	clients []*rpc.Client
	timeout time.Duration
}

// New returns a client of the control instances at addrs. Call gives up after timeout.
func New(addrs []string, creds *rpc.Credentials, timeout time.Duration) *Client {
	c := &Client{timeout: timeout}
	for _, addr := range addrs {
		c.clients = append(c.clients, rpc.NewClient(addr, creds))
	}
	return c
}

// Call attempts the call at one control instance after the other until one gives a
// definite answer or the client's timeout has passed. The codes NOT_LEADER and
// UNKNOWN are not definite. The call must be idempotent: a change carries its request
// identifier, so that sending it again can't run it twice. If Call gives up and an
// attempt may have reached a leader, the error wraps ErrUnknown.
func (c *Client) Call(ctx context.Context, step string, f func(context.Context, api.DRPCOperatorClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var lastErr error
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
		lastErr = err
		if (i+1)%len(c.clients) == 0 {
			clock.Sleep(ctx, retryDelay)
		}
	}
	if uncertain {
		return fmt.Errorf("%w: %w", ErrUnknown, lastErr)
	}
	return lastErr
}

// Each makes the call once at every control instance. It returns the errors of the
// calls that failed, or an error that joins them if all failed.
func (c *Client) Each(ctx context.Context, step string, f func(context.Context, api.DRPCOperatorClient) error) (failures []error, err error) {
	for _, cl := range c.clients {
		err := cl.Call(ctx, step, min(attemptTimeout, c.timeout), func(ctx context.Context, conn drpc.Conn) error {
			return f(ctx, api.NewDRPCOperatorClient(conn))
		})
		if err != nil {
			failures = append(failures, err)
		}
	}
	if len(failures) == len(c.clients) {
		return nil, errors.Join(failures...)
	}
	return failures, nil
}

// neverSent reports whether connecting to the peer failed, so that the call was not
// sent.
func neverSent(err error) bool {
	text := err.Error()
	return strings.Contains(text, "dial:") || strings.Contains(text, "handshake:")
}

// Stream runs f at one control instance after the other, each until f returns, and
// returns the last error. If ctx ends, Stream returns nil.
func (c *Client) Stream(ctx context.Context, f func(context.Context, api.DRPCOperatorClient) error) error {
	var lastErr error
	for _, cl := range c.clients {
		// A stream has no time limit, but rpc.Client.Call requires one.
		const streamTimeout = 365 * 24 * time.Hour
		lastErr = cl.Call(ctx, "watch", streamTimeout, func(ctx context.Context, conn drpc.Conn) error {
			return f(ctx, api.NewDRPCOperatorClient(conn))
		})
		if ctx.Err() != nil {
			return nil
		}
	}
	return lastErr
}
