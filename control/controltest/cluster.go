// Package controltest runs clusters of control instances on loopback addresses for tests.
package controltest

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"catkinrail.example/catkinrail/control/core"
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

// Instance is a control instance that listens on the loopback address.
type Instance struct {
	Core    *core.Core
	Dir     *gossip.Directory
	Streams *follow.Server
	cancel  context.CancelFunc
	group   errgroup.Group
}

// Stop stops the instance and waits until it answers no more calls.
func (in *Instance) Stop(t *testing.T) {
	t.Helper()
	in.cancel()
	require.NoError(t, in.group.Wait())
}

// Start starts a cluster of n instances with in-memory disks that have announced the features.
// It stops them at the end of the test.
func Start(t *testing.T, n int, features quorum.Features) []*Instance {
	t.Helper()
	return StartWithMembers(t, n, features, func(_ quorum.NodeID, members quorum.Members) quorum.Members { return members })
}

// StartWithMembers starts a cluster as Start does. Each instance starts with the members that
// initial returns for it, given those of the cluster.
func StartWithMembers(t *testing.T, n int, features quorum.Features, initial func(quorum.NodeID, quorum.Members) quorum.Members) []*Instance {
	t.Helper()
	clk := clock.New()
	members := quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{}}
	var lc net.ListenConfig
	var listeners []net.Listener
	for i := range n {
		l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		members.Nodes[quorum.NodeID(i+1)] = quorum.Peer{Name: l.Addr().String(), Addr: l.Addr().String(), Features: features}
	}
	var list []*Instance
	for i, l := range listeners {
		ctx, cancel := context.WithCancel(context.Background())
		in := &Instance{cancel: cancel}
		j, stored, err := journal.Open(fake.NewDisk())
		require.NoError(t, err)
		stored.Snapshot.Members = initial(quorum.NodeID(i+1), members)
		require.NoError(t, j.SaveSnapshot(&stored.Snapshot, nil))
		voters := voter.New(ctx, &in.group, nil, l.Addr().String(), logs.Discard(), clk)
		timing := quorum.DefaultTiming
		timing.NoLease = true
		in.Core, err = core.New(core.Config{
			ID: quorum.NodeID(i + 1), Name: l.Addr().String(), Timing: timing, Lease: time.Second, Seed: uint64(i),
			Clock: clk, Log: logs.Discard(), Journal: j, Stored: stored, Send: voters.Send, Learn: voters.Learn,
		})
		require.NoError(t, err)
		in.Dir = gossip.New(gossip.Config{Clock: clk, Log: logs.Discard(), SilentAfter: time.Minute})
		in.Streams = follow.New(in.Core, in.Dir, clk, logs.Discard())
		mux := drpcmux.New()
		require.NoError(t, control.DRPCRegisterControl(mux, entry.New(in.Core, in.Dir, in.Streams, load.New("", 1, in.Dir, clk, metrics.NewRegistry()))))
		in.group.Go(func() error { return rpc.Serve(ctx, l, mux) })
		in.Core.Start(ctx, &in.group)
		list = append(list, in)
	}
	t.Cleanup(func() {
		for _, in := range list {
			in.Stop(t)
		}
	})
	return list
}
