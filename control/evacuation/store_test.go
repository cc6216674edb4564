package evacuation_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/control/entry"
	"catkinrail.example/catkinrail/control/evacuation"
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
	core   *core.Core
	store  *evacuation.Store
	dir    *gossip.Directory
	cancel context.CancelFunc
	group  errgroup.Group
}

// stop stops the instance and waits until it answers no more calls.
func (in *instance) stop(t *testing.T) {
	t.Helper()
	in.cancel()
	require.NoError(t, in.group.Wait())
}

// startInstances starts a cluster of n instances with in-memory disks, the settings' zones a
// and b, and the given features.
func startInstances(t *testing.T, n int, features quorum.Features) []*instance {
	t.Helper()
	clk := clock.New()
	members := quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{}}
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		members.Nodes[quorum.NodeID(i+1)] = quorum.Peer{Name: l.Addr().String(), Addr: l.Addr().String(), Features: features}
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
		in.core, err = core.New(core.Config{
			ID: quorum.NodeID(i + 1), Name: l.Addr().String(), Timing: timing, Lease: time.Second, Seed: uint64(i),
			Clock: clk, Log: logs.Discard(), Journal: j, Stored: stored, Send: voter.New(ctx, &in.group, nil, logs.Discard(), clk).Send,
		})
		require.NoError(t, err)
		in.dir = gossip.New(gossip.Config{Clock: clk, Log: logs.Discard(), SilentAfter: time.Minute})
		streams := follow.New(in.core, in.dir, clk, logs.Discard())
		mux := drpcmux.New()
		require.NoError(t, control.DRPCRegisterControl(mux, entry.New(in.core, in.dir, streams, load.New("addr", 1, in.dir, clk, metrics.NewRegistry()))))
		in.group.Go(func() error { return rpc.Serve(ctx, l, mux) })
		in.core.Start(ctx, &in.group)
		zones := evacuation.NewZones(in.core, []catkinrail.Zone{"a", "b"}, in.dir, streams)
		in.store = evacuation.New(in.core, rpc.NewPool(nil), zones, clk, metrics.NewRegistry())
		list = append(list, in)
	}
	t.Cleanup(func() {
		for _, in := range list {
			in.stop(t)
		}
	})
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
				e := other.core.Published().Evacuations
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
	require.ErrorAs(t, in.store.SetEvacuated(ctx, "", false), &field)
	require.NoError(t, set(ctx, in, "d", false), "the end of what is not evacuated")
	in.dir.Report(&catkinrail.Incarnation{
		Name: "i-1", Identity: 1, StartedAt: 1, Sequence: 1, Service: "logbook", Zone: "c", Addr: netip.MustParseAddrPort("10.0.0.1:80"),
	})
	require.NoError(t, set(ctx, in, "c", true), "a zone of a backend server")
	in.dir.Leave("i-1", 1)
	require.NoError(t, set(ctx, in, "c", false), "an evacuated zone whose backend servers have ended")
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
				in.stop(t)
			}
			short, stop := context.WithTimeout(ctx, 300*time.Millisecond)
			defer stop()
			require.ErrorIs(t, list[0].store.SetEvacuated(short, "a", true), catkinrail.ErrUnavailable)
			require.Nil(t, list[0].core.Published().Evacuations)
		})
	}
}
