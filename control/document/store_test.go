package document_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/controltest"
	"catkinrail.example/catkinrail/control/document"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// instance is a control instance with a store.
type instance struct {
	*controltest.Instance
	store *document.Store
}

// startInstances starts a cluster of n instances.
func startInstances(t *testing.T, n int) (list []*instance) {
	t.Helper()
	for _, in := range controltest.Start(t, n, quorum.AllFeatures) {
		store := document.New(in.Core, rpc.NewPool(nil), clock.New(), metrics.NewRegistry())
		list = append(list, &instance{in, store})
	}
	return list
}

func TestDocumentsThroughAnyInstance(t *testing.T) {
	list := startInstances(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d, err := list[0].store.CurrentDocument(ctx)
	require.NoError(t, err)
	require.Nil(t, d)
	for i, in := range list {
		require.NoError(t, in.store.PutDocument(ctx, &catkinrail.Document{Version: uint64(i + 1), Source: []byte{byte(i)}}))
		for _, other := range list {
			d, err := other.store.CurrentDocument(ctx)
			require.NoError(t, err)
			require.Equal(t, uint64(i+1), d.Version)
			require.Equal(t, []byte{byte(i)}, d.Source)
		}
	}
	// A document older than the one in force is acknowledged and changes nothing.
	require.NoError(t, list[1].store.PutDocument(ctx, &catkinrail.Document{Version: 1, Source: []byte("x")}))
	d, err = list[2].store.CurrentDocument(ctx)
	require.NoError(t, err)
	require.Equal(t, uint64(3), d.Version)
}

// TestUnavailableWithoutMajority stops two of three instances. Puts and reads at the
// third must fail with ErrUnavailable.
func TestUnavailableWithoutMajority(t *testing.T) {
	list := startInstances(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, list[0].store.PutDocument(ctx, &catkinrail.Document{Version: 1}))
	list[1].Stop(t)
	list[2].Stop(t)
	short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	_, err := list[0].store.CurrentDocument(short)
	require.ErrorIs(t, err, catkinrail.ErrUnavailable)
	short, stop = context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	err = list[0].store.PutDocument(short, &catkinrail.Document{Version: 2})
	require.ErrorIs(t, err, catkinrail.ErrUnavailable)
}
