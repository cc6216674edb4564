// Package document puts and reads the operators' document at whichever control
// instance a call reaches: it asks the leader and answers from what this
// instance has applied.
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

// Timing of calls to the leader.
const (
	// attemptTimeout bounds one call; an election takes about as long.
	attemptTimeout = 600 * time.Millisecond
	// retryPause is the time between two attempts.
	retryPause = 20 * time.Millisecond
)

// errNoLeader means that no leader is known.
var errNoLeader = errors.New("no leader is known")

// Store implements catkinrail.DocumentStore.
type Store struct {
	core    *core.Core
	clients *rpc.Pool
	clock   catkinrail.Clock
	// puts and reads are the times that calls took.
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

// record notes the time since a call began.
func (s *Store) record(h metrics.Histogram, began time.Time) {
	h.Update(int64(s.clock.Now().Sub(began)))
}

// PutDocument implements catkinrail.DocumentStore. It asks again until ctx ends:
// a document of one version takes effect once at most.
func (s *Store) PutDocument(ctx context.Context, d *catkinrail.Document) error {
	defer s.record(s.puts, s.clock.Now())
	var last error
	for {
		c := s.core
		snap := c.Snapshot()
		if snap.Document != nil && snap.Document.Version >= d.Version {
			return nil
		}
		if err := s.put(ctx, c, snap, d); err == nil {
			return nil
		} else if !errors.Is(err, context.DeadlineExceeded) || last == nil {
			last = err
		}
		if !pause(ctx, c.Advanced()) {
			return errors.Join(catkinrail.ErrUnavailable, last)
		}
	}
}

func (s *Store) put(ctx context.Context, c *core.Core, snap *core.Snapshot, d *catkinrail.Document) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if snap.Leader == snap.Node {
		return c.PutDocument(ctx, d)
	}
	leader, ok := snap.Members.Nodes[snap.Leader]
	if !ok {
		return errNoLeader
	}
	// The change is packed as in the log.
	body, err := cluster.EncodeCompressed(&cluster.Change{Events: []cluster.Event{{DocumentPut: d}}})
	if err != nil {
		return err
	}
	return s.clients.Get(leader.Addr).Call(ctx, "put document", attemptTimeout, func(ctx context.Context, conn drpc.Conn) error {
		_, err := control.NewDRPCControlClient(conn).PutDocument(ctx, &control.Frame{Body: body})
		return err
	})
}

// CurrentDocument implements catkinrail.DocumentStore.
func (s *Store) CurrentDocument(ctx context.Context) (*catkinrail.Document, error) {
	defer s.record(s.reads, s.clock.Now())
	var last error
	for {
		c := s.core
		index, err := s.readIndex(ctx, c)
		if err == nil {
			return s.await(ctx, c, index)
		}
		last = err
		if !pause(ctx, c.Advanced()) {
			return nil, errors.Join(catkinrail.ErrUnavailable, last)
		}
	}
}

func (s *Store) readIndex(ctx context.Context, c *core.Core) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	snap := c.Snapshot()
	if snap.Leader == snap.Node {
		return c.ReadIndex(ctx)
	}
	leader, ok := snap.Members.Nodes[snap.Leader]
	if !ok {
		return 0, errNoLeader
	}
	var mark message.ReadIndexReply
	err := s.clients.Get(leader.Addr).Call(ctx, "read index", attemptTimeout, func(ctx context.Context, conn drpc.Conn) error {
		f, err := control.NewDRPCControlClient(conn).ReadIndex(ctx, &control.Frame{})
		if err != nil {
			return err
		}
		return cluster.Decode(f.GetBody(), &mark)
	})
	return mark.Index, err
}

// await returns the document once the index is applied here.
func (s *Store) await(ctx context.Context, c *core.Core, index uint64) (*catkinrail.Document, error) {
	for {
		advanced := c.Advanced()
		if snap := c.Snapshot(); snap.Applied >= index {
			return snap.Document, nil
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return nil, errors.Join(catkinrail.ErrUnavailable, ctx.Err())
		}
	}
}

// pause waits until another attempt may go better. It returns false once ctx has
// ended.
func pause(ctx context.Context, advanced <-chan struct{}) bool {
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-advanced:
	case <-t.C:
	}
	return ctx.Err() == nil
}
