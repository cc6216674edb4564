package evacuation_test

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/controltest"
	"catkinrail.example/catkinrail/control/document"
	"catkinrail.example/catkinrail/control/evacuation"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// instance is a control instance with a store.
type instance struct {
	*controltest.Instance
	store *evacuation.Store
}

// startInstances starts a cluster of n instances with the settings' zones a and b.
func startInstances(t *testing.T, n int, features quorum.Features) (list []*instance) {
	t.Helper()
	for _, in := range controltest.Start(t, n, features) {
		zones := evacuation.NewZones(in.Core, []catkinrail.Zone{"a", "b"}, in.Dir, in.Streams)
		documents := document.New(in.Core, rpc.NewPool(nil), clock.New(), metrics.NewRegistry())
		list = append(list, &instance{in, evacuation.New(in.Core, rpc.NewPool(nil), zones, documents, clock.New(), metrics.NewRegistry())})
	}
	return list
}

// set orders a start or an end, and repeats an order that was refused for now, as an operator
// does.
func set(ctx context.Context, in *instance, zone catkinrail.Zone, on bool) error {
	for {
		err := in.store.SetEvacuated(ctx, zone, on)
		if !errors.Is(err, catkinrail.ErrUnavailable) || ctx.Err() != nil {
			return err
		}
	}
}

// TestOrdersThroughAnyInstance guards against an order that takes effect only at the leader,
// and against zones that are taken for unknown or known wrongly.
func TestOrdersThroughAnyInstance(t *testing.T) {
	list := startInstances(t, 3, quorum.AllFeatures)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for _, in := range list {
		require.NoError(t, set(ctx, in, "a", true))
		require.NoError(t, set(ctx, in, "a", true), "an order that changes nothing")
		require.NoError(t, set(ctx, in, "b", true), "all zones")
		for _, other := range list {
			require.Eventually(t, func() bool {
				e := other.Core.Published().Evacuations
				return e != nil && len(e.Zones) == 2
			}, 10*time.Second, time.Millisecond)
		}
		require.NoError(t, set(ctx, in, "a", false))
		require.NoError(t, set(ctx, in, "b", false))
	}
	in := list[0]
	var field *catkinrail.FieldError
	for _, zone := range []catkinrail.Zone{"", "c"} {
		require.ErrorAs(t, in.store.SetEvacuated(ctx, zone, true), &field)
	}
	in.Dir.Report(&catkinrail.Incarnation{
		Name: "i-1", Identity: 1, StartedAt: 1, Sequence: 1, Service: "logbook", Zone: "c", Addr: netip.MustParseAddrPort("10.0.0.1:80"),
	})
	require.NoError(t, set(ctx, in, "c", true), "a zone of a backend server")
	in.Dir.Leave("i-1", 1)
	require.NoError(t, set(ctx, in, "c", false), "an evacuated zone whose backend servers have ended")
}

// TestOrderAndDocumentWhileLeaderStops guards against an order or a document that waits for a leader that
// has gone: both are under way at another instance while the leader stops.
func TestOrderAndDocumentWhileLeaderStops(t *testing.T) {
	list := startInstances(t, 3, quorum.AllFeatures)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, set(ctx, list[0], "a", false), "there is a leader")
	id := list[0].Core.Published().Leader
	lead, other := list[id-1], list[id%3]
	documents := document.New(other.Core, rpc.NewPool(nil), clock.New(), metrics.NewRegistry())
	var g errgroup.Group
	g.Go(func() error { return set(ctx, other, "a", true) })
	g.Go(func() error { return documents.PutDocument(ctx, &catkinrail.Document{Version: 1}) })
	lead.Stop(t)
	require.NoError(t, g.Wait())
	_, err := documents.CurrentDocument(ctx)
	require.NoError(t, err)
	p := other.Core.Published()
	require.Equal(t, uint64(1), p.Document.Version)
	require.Equal(t, []catkinrail.Zone{"a"}, p.Evacuations.Zones)
}

// TestNoOrderWithoutMajority stops two of three instances. An order at the third must fail with
// ErrUnavailable, and with the same error while builds are mixed.
func TestNoOrderWithoutMajority(t *testing.T) {
	tests := []struct {
		name     string
		features quorum.Features
		stopped  int
	}{
		{"no majority", quorum.AllFeatures, 2},
		{"mixed builds", 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := startInstances(t, 3, tt.features)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			require.NoError(t, set(ctx, list[0], "a", false), "there is a leader")
			for _, in := range list[1 : 1+tt.stopped] {
				in.Stop(t)
			}
			short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
			defer stop()
			require.ErrorIs(t, list[0].store.SetEvacuated(short, "a", true), catkinrail.ErrUnavailable)
			require.Nil(t, list[0].Core.Published().Evacuations)
		})
	}
}
