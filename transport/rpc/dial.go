package rpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Timing of connection attempts.
const (
	// dialTimeout is many times the latency between regions.
	dialTimeout = 250 * time.Millisecond
	// dialInterval is the interval at which further attempts start in parallel. The
	// kernel retransmits a SYN only after 1 s; a new attempt connects sooner to a
	// machine that was not yet up at the first one.
	dialInterval = 50 * time.Millisecond
)

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
