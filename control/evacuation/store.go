// Package evacuation takes the operators' orders to evacuate an availability zone, or to end
// that, at any control instance. Orders are forwarded to the leader.
package evacuation

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/protocol/api"
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

// Store implements catkinrail.EvacuationStore.
type Store struct {
	core    *core.Core
	clients *rpc.Pool
	zones   *Zones
	// documents brings this instance up to date: after a read it has applied what was
	// committed before.
	documents catkinrail.DocumentStore
	clock     catkinrail.Clock
	// orders records the durations of orders, in nanoseconds.
	orders metrics.Histogram
}

var _ catkinrail.EvacuationStore = (*Store)(nil)

// New returns a store on top of the core that accepts orders for the given zones. It reads
// documents to bring this instance up to date.
func New(c *core.Core, clients *rpc.Pool, zones *Zones, documents catkinrail.DocumentStore, clock catkinrail.Clock, reg metrics.Registry) *Store {
	return &Store{
		core: c, clients: clients, zones: zones, documents: documents, clock: clock,
		orders: metricspage.Histogram("evacuation-order", reg),
	}
}

// SetEvacuated implements catkinrail.EvacuationStore. It retries until ctx ends, which is
// safe because the order takes effect only if the zone's evacuation is still as it was when
// the order was received.
func (s *Store) SetEvacuated(ctx context.Context, zone catkinrail.Zone, evacuated bool) error {
	began := s.clock.Now()
	o := &plan.EvacuationOrder{Zone: zone, Evacuated: evacuated, Since: since(s.core.Published())}
	if err := s.checkZone(ctx, zone); err != nil {
		return err
	}
	defer func() { s.orders.Update(int64(s.clock.Now().Sub(began))) }()
	var lastErr error
	for {
		advanced := s.core.Advanced()
		err := s.order(ctx, s.core.Published(), o)
		if err == nil {
			return nil
		}
		if isConflict(err) {
			return errors.Join(catkinrail.ErrUnavailable, err)
		}
		if !errors.Is(err, context.DeadlineExceeded) || lastErr == nil {
			lastErr = err
		}
		if !awaitRetry(ctx, advanced) {
			return errors.Join(catkinrail.ErrUnavailable, lastErr)
		}
	}
}

// checkZone returns an error if the zone isn't known. Before it says so of a zone with a name, it
// brings this instance up to date: the zone may have been evacuated, and its backend servers ended,
// since.
func (s *Store) checkZone(ctx context.Context, zone catkinrail.Zone) error {
	if err := s.zones.Check(zone); err == nil || zone == "" {
		return err
	}
	if _, err := s.documents.CurrentDocument(ctx); err != nil {
		return err
	}
	return s.zones.Check(zone)
}

// since returns the version of the last change of the evacuations in a published state.
// No zone's evacuation has changed later than that.
func since(state *core.PublishedState) uint64 {
	if state.Evacuations == nil {
		return 0
	}
	return state.Evacuations.Revision
}

// isConflict reports whether an order failed because another one took effect first. The
// error may come from the leader over the network.
func isConflict(err error) bool {
	return errors.Is(err, plan.ErrConflict) || drpcerr.Code(err) == uint64(api.Code_CONFLICT)
}

// order makes one attempt to have the leader carry out an order.
func (s *Store) order(ctx context.Context, state *core.PublishedState, o *plan.EvacuationOrder) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if state.Leader == state.Node {
		return s.core.Evacuate(ctx, o)
	}
	leader, ok := state.Members.Nodes[state.Leader]
	if !ok {
		return s.core.NoLeaderError()
	}
	body, err := cluster.EncodeCompressed(o)
	if err != nil {
		return err
	}
	return s.clients.Get(leader.Addr).Call(ctx, "evacuate", attemptTimeout, func(ctx context.Context, conn drpc.Conn) error {
		_, err := control.NewDRPCControlClient(conn).Evacuate(ctx, &control.Frame{Body: body})
		return err
	})
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
