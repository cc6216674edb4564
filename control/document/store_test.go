package document_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/control/document"
	"catkinrail.example/catkinrail/control/entry"
	"catkinrail.example/catkinrail/control/follow"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/control/load"
	"catkinrail.example/catkinrail/control/voter"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/journal"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// instance is a control instance that listens on the loopback address.
type instance struct {
	store  *document.Store
	cancel context.CancelFunc
	group  errgroup.Group
}

// stop stops the instance and waits until it answers no more calls.
func (in *instance) stop(t *testing.T) {
	t.Helper()
	in.cancel()
	require.NoError(t, in.group.Wait())
}

// startInstances starts a cluster of n instances with in-memory disks.
func startInstances(t *testing.T, n int) []*instance {
	t.Helper()
	clk := clock.New()
	members := quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{}}
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		members.Nodes[quorum.NodeID(i+1)] = quorum.Peer{Name: l.Addr().String(), Addr: l.Addr().String()}
	}
	var list []*instance
	for i, l := range listeners {
		ctx, cancel := context.WithCancel(context.Background())
		in := &instance{cancel: cancel}
		j, stored, err := journal.Open(fake.NewDisk())
		require.NoError(t, err)
		stored.Snapshot.Members = members
		require.NoError(t, j.SaveSnapshot(&stored.Snapshot, nil))
		timing := quorum.DefaultTiming
		timing.NoLease = true
		c, err := core.New(core.Config{
			ID: quorum.NodeID(i + 1), Name: l.Addr().String(), Timing: timing, Lease: time.Second, Seed: uint64(i),
			Clock: clk, Log: logs.Discard(), Journal: j, Stored: stored, Send: voter.New(ctx, &in.group, nil, logs.Discard(), clk).Send,
		})
		require.NoError(t, err)
		dir := gossip.New(gossip.Config{Clock: clk, Log: logs.Discard(), SilentAfter: time.Minute})
		mux := drpcmux.New()
		require.NoError(t, control.DRPCRegisterControl(mux, entry.New(c, dir, follow.New(c, dir, clk, logs.Discard()), load.New("", 1, dir, clk, metrics.NewRegistry()))))
		in.group.Go(func() error { return rpc.Serve(ctx, l, mux) })
		c.Start(ctx, &in.group)
		in.store = document.New(c, rpc.NewPool(nil), clk, metrics.NewRegistry())
		list = append(list, in)
	}
	t.Cleanup(func() {
		for _, in := range list {
			in.stop(t)
		}
	})
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
	list[1].stop(t)
	list[2].stop(t)
	short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	_, err := list[0].store.CurrentDocument(short)
	require.ErrorIs(t, err, catkinrail.ErrUnavailable)
	short, stop = context.WithTimeout(ctx, 300*time.Millisecond)
	defer stop()
	err = list[0].store.PutDocument(short, &catkinrail.Document{Version: 2})
	require.ErrorIs(t, err, catkinrail.ErrUnavailable)
}
