// Package document stores and reads the operators' document at any control
// instance. Puts are forwarded to the leader. Reads ask the leader for the commit
// index and are answered by this instance once it has applied that index.
package document

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/protocol/metricspage"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Timeout and interval of calls to the leader.
const (
	// attemptTimeout limits one call. An election takes about as long.
	attemptTimeout = 600 * time.Millisecond
	// retryInterval is the longest wait between two attempts.
	retryInterval = 20 * time.Millisecond
)

// Store implements catkinrail.DocumentStore.
type Store struct {
	core    *core.Core
	clients *rpc.Pool
	clock   catkinrail.Clock
	// puts and reads record the durations of calls, in nanoseconds.
	puts, reads metrics.Histogram
}

var _ catkinrail.DocumentStore = (*Store)(nil)

// New returns a store on top of the core.
func New(c *core.Core, clients *rpc.Pool, clock catkinrail.Clock, reg metrics.Registry) *Store {
	return &Store{
		core: c, clients: clients, clock: clock,
		puts: metricspage.Histogram("document-put", reg), reads: metricspage.Histogram("document-read", reg),
	}
}

// observe records the duration of a call that began at the given time.
func (s *Store) observe(h metrics.Histogram, began time.Time) {
	h.Update(int64(s.clock.Now().Sub(began)))
}

// PutDocument implements catkinrail.DocumentStore. It retries until ctx ends, which
// is safe because a version takes effect at most once.
func (s *Store) PutDocument(ctx context.Context, d *catkinrail.Document) error {
	defer s.observe(s.puts, s.clock.Now())
	var lastErr error
	for {
		c := s.core
		state := c.Published()
		if state.Document != nil && state.Document.Version >= d.Version {
			return nil
		}
		if err := s.put(ctx, c, state, d); err == nil {
			return nil
		} else if !errors.Is(err, context.DeadlineExceeded) || lastErr == nil {
			lastErr = err
		}
		if !awaitRetry(ctx, c.Advanced()) {
			return errors.Join(catkinrail.ErrUnavailable, lastErr)
		}
	}
}

// put makes one attempt to have the leader put the document.
func (s *Store) put(ctx context.Context, c *core.Core, state *core.PublishedState, d *catkinrail.Document) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if state.Leader == state.Node {
		return c.PutDocument(ctx, d)
	}
	leader, ok := state.Members.Nodes[state.Leader]
	if !ok {
		return c.NoLeaderError()
	}
	// The body is encoded as changes in the log are.
	body, err := cluster.EncodeCompressed(&cluster.Change{Events: []cluster.Event{{DocumentPut: d}}})
	if err != nil {
		return err
	}
	return s.clients.Get(leader.Addr).Call(ctx, "put document", attemptTimeout, func(ctx context.Context, conn drpc.Conn) error {
		_, err := control.NewDRPCControlClient(conn).PutDocument(ctx, &control.Frame{Body: body})
		return err
	})
}

// CurrentDocument implements catkinrail.DocumentStore. It retries until ctx ends.
func (s *Store) CurrentDocument(ctx context.Context) (*catkinrail.Document, error) {
	defer s.observe(s.reads, s.clock.Now())
	var lastErr error
	for {
		c := s.core
		index, err := s.readIndex(ctx, c)
		if err == nil {
			return s.awaitApplied(ctx, c, index)
		}
		lastErr = err
		if !awaitRetry(ctx, c.Advanced()) {
			return nil, errors.Join(catkinrail.ErrUnavailable, lastErr)
		}
	}
}

// readIndex makes one attempt to get the index for a read from the leader.
func (s *Store) readIndex(ctx context.Context, c *core.Core) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	state := c.Published()
	if state.Leader == state.Node {
		return c.ReadIndex(ctx)
	}
	leader, ok := state.Members.Nodes[state.Leader]
	if !ok {
		return 0, c.NoLeaderError()
	}
	var reply message.ReadIndexReply
	err := s.clients.Get(leader.Addr).Call(ctx, "read index", attemptTimeout, func(ctx context.Context, conn drpc.Conn) error {
		f, err := control.NewDRPCControlClient(conn).ReadIndex(ctx, &control.Frame{})
		if err != nil {
			return err
		}
		return cluster.Decode(f.GetBody(), &reply)
	})
	return reply.Index, err
}

// awaitApplied waits until this instance has applied the index and returns the
// document.
func (s *Store) awaitApplied(ctx context.Context, c *core.Core, index uint64) (*catkinrail.Document, error) {
	for {
		advanced := c.Advanced()
		if state := c.Published(); state.Applied >= index {
			return state.Document, nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return nil, errors.Join(catkinrail.ErrUnavailable, ctx.Err())
		}
	}
}

// awaitRetry waits for the next published state or for retryInterval, and returns
// false if ctx has ended.
func awaitRetry(ctx context.Context, advanced <-chan struct{}) bool {
	t := time.NewTimer(retryInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-advanced:
	case <-t.C:
	}
	return ctx.Err() == nil
}
