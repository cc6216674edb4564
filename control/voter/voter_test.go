package voter

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// fakeLeader is a control instance that answers every request to join with its
// members and passes on the messages that it receives.
type fakeLeader struct {
	control.DRPCControlUnimplementedServer
	members quorum.Members
	steps   chan quorum.Message
}

// Join implements control.DRPCControlServer.
func (l *fakeLeader) Join(context.Context, *control.Frame) (*control.Frame, error) {
	body, err := cluster.Encode(&message.JoinReply{RetryLater: true, Members: l.members, Leader: 7})
	return &control.Frame{Body: body}, err
}

// Step implements control.DRPCControlServer.
func (l *fakeLeader) Step(_ context.Context, f *control.Frame) (*control.Frame, error) {
	var list []quorum.Message
	if err := cluster.Decode(f.GetBody(), &list); err != nil {
		return nil, err
	}
	for _, m := range list {
		l.steps <- m
	}
	return &control.Frame{}, nil
}

// TestJoiningInstanceCanAnswer sends a message to a member that is known only from
// a reply to Join: the log of an instance that joins is empty and names no members.
func TestJoiningInstanceCanAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	l := &fakeLeader{
		members: quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{7: {Name: "leader", Addr: addr}}},
		steps:   make(chan quorum.Message, 1),
	}
	mux := drpcmux.New()
	require.NoError(t, control.DRPCRegisterControl(mux, l))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return rpc.Serve(ctx, listener, mux) })

	transport := New(ctx, &g, nil, "", logs.Discard(), clock.New())
	none := &quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{}}
	answer := []quorum.Message{{Kind: quorum.AppendAnswer, From: 9, To: 7, Reject: true}}
	transport.Send(answer, none)
	require.Empty(t, transport.senders, "the leader's address is unknown before Join")

	reply, err := transport.Join(ctx, addr, &message.JoinRequest{Node: 9, Peer: quorum.Peer{Name: "new"}})
	require.NoError(t, err)
	require.True(t, reply.RetryLater)
	require.Equal(t, addr, transport.LeaderAddr())
	transport.Send(answer, none)
	require.Equal(t, answer[0], <-l.steps)
	cancel()
	require.NoError(t, g.Wait())
}

// TestAddressOfUnknownNode guards against addresses that others send taking the place of those in
// the members, and against recording them without limit.
func TestAddressOfUnknownNode(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	transport := New(ctx, &g, nil, "", logs.Discard(), clock.New())
	members := &quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{1: {Addr: "127.0.0.1:1"}}}
	transport.setContacts(&message.JoinReply{Members: quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{
		1: {Addr: "127.0.0.1:3"}, 2: {Addr: "127.0.0.1:3"}, 3: {Addr: "127.0.0.1:3"},
	}}})
	transport.Learn(1, "127.0.0.1:2")
	transport.Learn(2, "127.0.0.1:9")
	transport.Learn(2, "127.0.0.1:2")
	for i, want := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		require.Equal(t, want, transport.sender(quorum.NodeID(i+1), members).addr)
	}
	for i := range maxLearned {
		transport.Learn(quorum.NodeID(100+i), "127.0.0.1:4")
		require.NotNil(t, transport.sender(quorum.NodeID(100+i), members))
	}
	transport.Learn(100, "127.0.0.1:4")
	transport.Learn(200, "127.0.0.1:4")
	require.NotNil(t, transport.sender(100, members), "heard after 101")
	require.Nil(t, transport.sender(101, members))
	cancel()
	require.NoError(t, g.Wait())
}
