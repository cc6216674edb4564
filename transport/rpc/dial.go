package rpc

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Timing of dialling.
const (
	// dialTimeout exceeds the latency between regions many times.
	dialTimeout = 250 * time.Millisecond
	// dialInterval is the time after which another attempt begins beside those
	// under way. The kernel repeats an opening packet only after a second, long
	// after a machine that was dark at first has started.
	dialInterval = 50 * time.Millisecond
)

// dialTCP connects to addr. It begins attempts at intervals and returns the first
// connection.
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

// dialRace is a set of attempts of which the first counts.
type dialRace struct {
	addr    string
	won     chan net.Conn
	refused chan error

	mu   sync.Mutex
	over bool
}

// attempt connects once. A refusal ends the race: the machine is there, and
// nothing listens.
func (r *dialRace) attempt(ctx context.Context) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", r.addr)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.over {
		if conn != nil {
			conn.Close()
		}
		return
	}
	if err != nil && ctx.Err() != nil {
		return
	}
	r.over = true
	if err != nil {
		r.refused <- err
		return
	}
	r.won <- conn
}
