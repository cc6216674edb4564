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

// leader is a control instance that takes in whoever asks and keeps what it is
// told.
type leader struct {
	control.DRPCControlUnimplementedServer
	members quorum.Members
	steps   chan quorum.Message
}

// Join implements control.DRPCControlServer.
func (l *leader) Join(context.Context, *control.Frame) (*control.Frame, error) {
	body, err := cluster.Encode(&message.JoinReply{RetryLater: true, Members: l.members, Leader: 7})
	return &control.Frame{Body: body}, err
}

// Step implements control.DRPCControlServer.
func (l *leader) Step(_ context.Context, f *control.Frame) (*control.Frame, error) {
	var list []quorum.Message
	if err := cluster.Decode(f.GetBody(), &list); err != nil {
		return nil, err
	}
	for _, m := range list {
		l.steps <- m
	}
	return &control.Frame{}, nil
}

// TestJoiningInstanceCanAnswer sends a message to a member that only the answer
// to a request to join has named: an empty log names nobody.
func TestJoiningInstanceCanAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	l := &leader{
		members: quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{7: {Name: "leader", Addr: addr}}},
		steps:   make(chan quorum.Message, 1),
	}
	mux := drpcmux.New()
	require.NoError(t, control.DRPCRegisterControl(mux, l))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return rpc.Serve(ctx, listener, mux) })

	v := New(ctx, &g, nil, logs.Discard(), clock.New())
	none := &quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{}}
	answer := []quorum.Message{{Kind: quorum.AppendAnswer, From: 9, To: 7, Reject: true}}
	v.Send(answer, none)
	require.Empty(t, v.senders, "nobody knows where the leader is")

	done, err := v.Join(ctx, addr, &message.JoinRequest{Node: 9, Peer: quorum.Peer{Name: "new"}})
	require.NoError(t, err)
	require.False(t, done)
	require.Equal(t, addr, v.LeaderAddr())
	v.Send(answer, none)
	require.Equal(t, answer[0], <-l.steps)
	cancel()
	require.NoError(t, g.Wait())
}
