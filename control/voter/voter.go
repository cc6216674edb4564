// Package voter speaks to the other control instances.
package voter

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Limits of sending.
const (
	stepTimeout  = time.Second
	queueLength  = 256
	logInterval  = 10 * time.Second
	senderWindow = 64
)

// Transport sends messages to the other control instances, each over a queue of
// its own, so that a silent one holds up nobody.
type Transport struct {
	ctx   context.Context
	group *errgroup.Group
	creds *rpc.Credentials
	log   *logs.Logger
	clock catkinrail.Clock

	mu      sync.Mutex
	senders map[quorum.NodeID]*sender
	// contacts are the members that a leader has named.
	contacts *quorum.Members
	// leader is the address of the leader that was named with them.
	leader string
}

type sender struct {
	addr    string
	client  *rpc.Client
	queue   chan quorum.Message
	limiter *logs.Limiter
	cancel  context.CancelFunc
}

// New returns voters whose senders run in the group until ctx ends.
func New(ctx context.Context, g *errgroup.Group, creds *rpc.Credentials, log *logs.Logger, clock catkinrail.Clock) *Transport {
	return &Transport{ctx: ctx, group: g, creds: creds, log: log, clock: clock, senders: map[quorum.NodeID]*sender{}}
}

// Send queues the messages. A message that finds its queue full is dropped, as
// the network might have done.
func (v *Transport) Send(list []quorum.Message, members *quorum.Members) {
	for _, m := range list {
		s := v.sender(m.To, members)
		if s == nil {
			continue
		}
		select {
		case s.queue <- m:
		default:
		}
	}
}

// sender returns the sender to a node, begun anew if its address has changed.
func (v *Transport) sender(id quorum.NodeID, members *quorum.Members) *sender {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer, ok := members.Nodes[id]
	if !ok && v.contacts != nil {
		peer, ok = v.contacts.Nodes[id]
	}
	s := v.senders[id]
	if s != nil && (!ok || s.addr == peer.Addr) {
		return s
	}
	if !ok {
		return nil
	}
	if s != nil {
		s.cancel()
	}
	ctx, cancel := context.WithCancel(v.ctx)
	s = &sender{
		addr: peer.Addr, client: rpc.NewClient(peer.Addr, v.creds), cancel: cancel,
		queue: make(chan quorum.Message, queueLength), limiter: logs.NewLimiter(v.clock, logInterval),
	}
	v.senders[id] = s
	v.group.Go(func() error {
		v.run(ctx, s)
		return nil
	})
	return s
}

func (v *Transport) run(ctx context.Context, s *sender) {
	defer s.client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			batch := collect(s.queue, m)
			if err := send(ctx, s.client, batch); err != nil && ctx.Err() == nil {
				if skipped, ok := s.limiter.Allow(); ok {
					v.log.Warn(err).Uint64("skipped", skipped).Msg("control instance not reached")
				}
			}
		}
	}
}

// collect takes further messages that wait, so that one call carries them.
func collect(queue chan quorum.Message, first quorum.Message) []quorum.Message {
	batch := []quorum.Message{first}
	for len(batch) < senderWindow {
		select {
		case m := <-queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

func send(ctx context.Context, c *rpc.Client, batch []quorum.Message) error {
	body, err := cluster.Encode(batch)
	if err != nil {
		return err
	}
	return c.Call(ctx, "step", stepTimeout, func(ctx context.Context, conn drpc.Conn) error {
		_, err := control.NewDRPCControlClient(conn).Step(ctx, &control.Frame{Body: body})
		return err
	})
}

// Hello asks the control instance at addr who it is.
func Hello(ctx context.Context, addr string, creds *rpc.Credentials) (*message.HelloReply, error) {
	c := rpc.NewClient(addr, creds)
	defer c.Close()
	g := &message.HelloReply{}
	err := c.Call(ctx, "hello", stepTimeout, func(ctx context.Context, conn drpc.Conn) error {
		f, err := control.NewDRPCControlClient(conn).Hello(ctx, &control.Frame{})
		if err != nil {
			return err
		}
		return cluster.Decode(f.GetBody(), g)
	})
	return g, err
}

// Join asks the control instance at addr to take in a new member, and learns how
// to reach the others. It reports whether there is nothing left to ask for.
func (v *Transport) Join(ctx context.Context, addr string, req *message.JoinRequest) (done bool, err error) {
	body, err := cluster.Encode(req)
	if err != nil {
		return false, err
	}
	var reply message.JoinReply
	c := rpc.NewClient(addr, v.creds)
	defer c.Close()
	err = c.Call(ctx, "join", stepTimeout, func(ctx context.Context, conn drpc.Conn) error {
		f, err := control.NewDRPCControlClient(conn).Join(ctx, &control.Frame{Body: body})
		if err != nil {
			return err
		}
		return cluster.Decode(f.GetBody(), &reply)
	})
	if err != nil {
		return false, err
	}
	v.learn(&reply)
	return !reply.RetryLater, nil
}

// learn notes how to reach members that this instance's own log doesn't name
// yet.
func (v *Transport) learn(reply *message.JoinReply) {
	if len(reply.Members.Nodes) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.contacts = reply.Members.Clone()
	v.leader = reply.Members.Nodes[reply.Leader].Addr
}

// LeaderAddr returns the address of the leader that an answer to Join has named, or
// an empty string.
func (v *Transport) LeaderAddr() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leader
}
