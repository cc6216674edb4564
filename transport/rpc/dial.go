package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
)

// Timing of connection attempts.
const (
	// dialTimeout is many times the latency between regions.
	dialTimeout = 250 * time.Millisecond
	// dialInterval is the interval at which further attempts start in parallel. The
	// kernel retransmits a SYN only after 1 s; a new attempt connects sooner to a
	// machine that was not yet up at the first one.
	dialInterval = 50 * time.Millisecond
	// connectInterval is the time after which Connect tries the next address beside
	// those that haven't answered.
	connectInterval = 50 * time.Millisecond
)

// Connect returns a client that is connected to one of the addresses, the first that
// accepts a connection. They are tried in order, each a short time after the one before,
// or as soon as all before it have failed, so that a machine that doesn't answer delays
// the others little.
func Connect(ctx context.Context, addrs []string, creds *Credentials) (*Client, error) {
	ctx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	results := make(chan connectResult, len(addrs))
	defer func() {
		cancel()
		_ = g.Wait()
		close(results)
		for r := range results {
			r.client.Close()
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var errs []error
	started := 0
	for len(errs) < len(addrs) {
		select {
		case <-timer.C:
		case r := <-results:
			if r.err == nil {
				return r.client, nil
			}
			errs = append(errs, r.err)
			if len(errs) < started {
				continue
			}
		}
		if started < len(addrs) {
			c := NewClient(addrs[started], creds)
			g.Go(func() error {
				results <- connectResult{c, c.connect(ctx)}
				return nil
			})
			started++
			timer.Reset(connectInterval)
		}
	}
	if len(addrs) == 0 {
		return nil, errNoAddress
	}
	return nil, errors.Join(errs...)
}

// errNoAddress means that Connect was given no address.
var errNoAddress = errors.New("no address to connect to")

// connectResult is the result of an attempt to connect a client.
type connectResult struct {
	client *Client
	err    error
}

// connect makes a connection for the next call.
func (c *Client) connect(ctx context.Context) error {
	conn, err := c.dial(ctx)
	if err != nil {
		return catkinrail.At(err, "connect", c.addr)
	}
	c.put(conn)
	return nil
}

// dialTCP connects to addr. It starts attempts at an interval and returns the
// result of the first that ends.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	race := &dialRace{addr: addr, won: make(chan net.Conn, 1), refused: make(chan error, 1)}
	var g errgroup.Group
	defer func() { _ = g.Wait() }()
	defer cancel()
	next := time.NewTicker(dialInterval)
	defer next.Stop()
	for {
		g.Go(func() error {
			race.attempt(ctx)
			return nil
		})
		select {
		case conn := <-race.won:
			return conn, nil
		case err := <-race.refused:
			return nil, fmt.Errorf("dial: %w", err)
		case <-ctx.Done():
			return nil, fmt.Errorf("dial: %w", ctx.Err())
		case <-next.C:
		}
	}
}

// dialRace is a set of parallel attempts to connect. The first to end decides the
// result.
type dialRace struct {
	addr    string
	won     chan net.Conn
	refused chan error

	mu   sync.Mutex
	done bool
}

// attempt connects once. An error before ctx ends decides the race, since a machine
// that refuses connections is up but nothing listens there.
func (r *dialRace) attempt(ctx context.Context) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", r.addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done {
		if conn != nil {
			conn.Close()
		}
		return
	}
	if err != nil && ctx.Err() != nil {
		return
	}
	r.done = true
	if err != nil {
		r.refused <- err
		return
	}
	r.won <- conn
}
