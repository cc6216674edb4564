package main

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/control/voter"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/state/journal"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// TestContactsNext guards against addresses that are never asked, and against a leader that is
// asked again and again although it is gone.
func TestContactsNext(t *testing.T) {
	none := []string{}
	six := []string{"a", "b", "c", "d", "e", "f"}
	type request struct {
		leaders, known []string
		want           []string
		// answering are those asked that answer; the others fail.
		answering []string
	}
	tests := []struct {
		name     string
		requests []request
	}{
		{"nobody", []request{{nil, nil, nil, nil}}},
		{"all in turn", []request{
			{nil, six, []string{"a", "b", "c", "d"}, nil},
			{nil, six, []string{"e", "f", "a", "b"}, []string{"f"}},
			{nil, six, []string{"c", "d", "a", "b"}, nil},
		}},
		{"one at a time of those that answer", []request{
			{nil, six, six[:4], six[:4]},
			{nil, six, []string{"e", "f", "a"}, []string{"f", "a"}},
			{nil, six, []string{"b", "e"}, []string{"b"}},
			{nil, six, []string{"c", "e"}, []string{"c", "e"}},
			{nil, six, []string{"d"}, []string{"d"}},
		}},
		{"leader alone while it answers", []request{
			{[]string{"f"}, six, []string{"f"}, []string{"f"}},
			{[]string{"f"}, six, []string{"f"}, none},
			{[]string{"f"}, six, []string{"f", "a", "b", "c"}, []string{"f"}},
			{[]string{"f"}, six, []string{"f"}, none},
		}},
		{"next leader after one that failed", []request{
			{[]string{"a", "b"}, six, []string{"a"}, none},
			{[]string{"a", "b"}, six, []string{"b"}, none},
			{[]string{"a", "b"}, six, []string{"a", "b", "c", "d"}, none},
		}},
		{"leader that no settings and no members name", []request{
			{[]string{"z"}, six[:1], []string{"z"}, none},
			{[]string{"z"}, six[:1], []string{"z", "a"}, none},
		}},
		{"new address first", []request{
			{nil, six[:4], []string{"a", "b", "c", "d"}, none},
			{nil, six[:5], []string{"e", "a", "b", "c"}, none},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c contacts
			for i, r := range tt.requests {
				asked := c.next(r.leaders, r.known)
				require.Equal(t, r.want, asked, "request %d", i)
				for _, addr := range asked {
					c.record(addr, "", errors.New("no answer"))
				}
				for _, addr := range r.answering {
					c.record(addr, addr, nil)
				}
			}
		})
	}
}

// fakePeer is a control instance that gives the same reply to every request to join.
type fakePeer struct {
	control.DRPCControlUnimplementedServer
	reply message.JoinReply
	// gossip receives a value when a call of Gossip has arrived.
	gossip chan struct{}
}

// Join implements control.DRPCControlServer.
func (p *fakePeer) Join(context.Context, *control.Frame) (*control.Frame, error) {
	body, err := cluster.Encode(&p.reply)
	return &control.Frame{Body: body}, err
}

// Gossip implements control.DRPCControlServer.
func (p *fakePeer) Gossip(context.Context, *control.Frame) (*control.Frame, error) {
	select {
	case p.gossip <- struct{}{}:
	default:
	}
	return nil, errors.New("not a directory")
}

// listen returns the address of a listener. Without a peer it accepts connections and answers
// nothing, like a frozen machine.
func listen(ctx context.Context, t *testing.T, g *errgroup.Group, p *fakePeer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	if p != nil {
		mux := drpcmux.New()
		require.NoError(t, control.DRPCRegisterControl(mux, p))
		g.Go(func() error { return rpc.Serve(ctx, l, mux) })
	}
	return l.Addr().String()
}

// newJoining returns a daemon with the given seeds and a core that has stored nothing and passes
// addresses to learn.
func newJoining(t *testing.T, learn func(quorum.NodeID, string), seeds ...string) (*daemon, *core.Core) {
	t.Helper()
	d := &daemon{cfg: &Settings{Address: "127.0.0.1:1"}, log: logs.Discard(), clock: clock.New()}
	d.seedAddrs.Store(&seeds)
	j, stored, err := journal.Open(fake.NewDisk())
	require.NoError(t, err)
	c, err := core.New(core.Config{
		ID: 9, Timing: quorum.DefaultTiming, Lease: time.Second, Clock: d.clock, Log: d.log, Journal: j, Stored: stored, Learn: learn,
		Send: func([]quorum.Message, *quorum.Members) {},
	})
	require.NoError(t, err)
	return d, c
}

// TestJoinFindsTheLivingInstance guards against an instance that never joins although one of the
// addresses that it knows answers: most of them are of machines that are gone, and another
// instance that is out of contact names a leader that is gone.
func TestJoinFindsTheLivingInstance(t *testing.T) {
	for _, living := range []int{0, 2, 4, 7} {
		ctx, cancel := context.WithCancel(context.Background())
		var g errgroup.Group
		gone := listen(ctx, t, &g, nil)
		var seeds []string
		for range 8 {
			seeds = append(seeds, listen(ctx, t, &g, nil))
		}
		seeds[1] = listen(ctx, t, &g, &fakePeer{reply: message.JoinReply{
			RetryLater: true, Leader: 7, Members: quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{7: {Addr: gone}}},
		}})
		seeds[living] = listen(ctx, t, &g, &fakePeer{})
		d, c := newJoining(t, nil, seeds...)
		v := voter.New(ctx, &g, nil, d.cfg.Address, d.log, d.clock)
		req := &message.JoinRequest{Node: 9}
		outcome, attempts := joinFailed, 0
		for ; outcome != joinDone && attempts < 8; attempts++ {
			outcome = d.requestJoin(ctx, c, v, req, attempts)
		}
		require.Equal(t, joinDone, outcome)
		require.LessOrEqual(t, attempts, 5, "living instance %d", living)
		cancel()
		require.NoError(t, g.Wait())
	}
}

// TestJoinAsksNamedMembers guards against an instance that never joins since its seeds have gone
// after one of them named the present members.
func TestJoinAsksNamedMembers(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	living := listen(ctx, t, &g, &fakePeer{})
	seedCtx, stopSeed := context.WithCancel(ctx)
	seed := listen(seedCtx, t, &g, &fakePeer{reply: message.JoinReply{
		RetryLater: true, Members: quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{7: {Addr: living}}},
	}})
	d, c := newJoining(t, nil, seed)
	v := voter.New(ctx, &g, nil, d.cfg.Address, d.log, d.clock)
	req := &message.JoinRequest{Node: 9}
	require.Equal(t, joinFailed, d.requestJoin(ctx, c, v, req, 0))
	stopSeed()
	require.Equal(t, joinDone, d.requestJoin(ctx, c, v, req, 1))
	cancel()
	require.NoError(t, g.Wait())
}

// TestJoinAsksSenders guards against an instance that lost its disk and never joins since its
// seeds are gone, although the members still send messages to its earlier self at its address.
func TestJoinAsksSenders(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	living := listen(ctx, t, &g, &fakePeer{})
	v := voter.New(ctx, &g, nil, "", logs.Discard(), clock.New())
	d, c := newJoining(t, v.Learn)
	c.Start(ctx, &g)
	req := &message.JoinRequest{Node: 9}
	require.Equal(t, joinFailed, d.requestJoin(ctx, c, v, req, 1))
	require.NoError(t, c.Step(ctx, []quorum.Message{{Kind: quorum.Append, From: 7, To: 8, Term: 1, Addr: living}}))
	require.Eventually(t, func() bool { return d.requestJoin(ctx, c, v, req, 1) == joinDone }, 5*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, g.Wait())
}
