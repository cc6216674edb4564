// Package voter sends quorum messages and join requests to the other control
// instances.
package voter

import (
	"context"
	"slices"
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
	callTimeout = time.Second
	// queueLength is the maximum number of messages queued for one instance.
	queueLength = 256
	// logInterval is the minimum time between two warnings about one instance.
	logInterval = 10 * time.Second
	// maxBatchLength is the maximum number of messages in a call.
	maxBatchLength = 64
	// maxLearned is the maximum number of nodes whose addresses are known from their own
	// messages only: four times the largest planned number of control instances, since nodes
	// that joined with an empty disk have new identifiers.
	maxLearned = 32
)

// Transport sends messages to the other control instances. Each has its own
// queue, so that one that doesn't answer doesn't delay the others.
type Transport struct {
	ctx   context.Context
	group *errgroup.Group
	creds *rpc.Credentials
	// addr is the address at which others reach this instance.
	addr  string
	log   *logs.Logger
	clock catkinrail.Clock
	// unknown limits the lines about messages to nodes without a known address.
	unknown *logs.Limiter

	mu      sync.Mutex
	senders map[quorum.NodeID]*sender
	// learned holds the addresses that nodes sent in their messages, the last heard node last.
	learned []learnedAddr
	// contacts are the members that a reply to Join named last.
	contacts *quorum.Members
	// leaderAddr is the address of the leader named in that reply, if any.
	leaderAddr string
}

// learnedAddr is the address that a node sent in a message.
type learnedAddr struct {
	node quorum.NodeID
	addr string
}

// sender sends the queued messages for one control instance.
type sender struct {
	addr    string
	client  *rpc.Client
	queue   chan quorum.Message
	limiter *logs.Limiter
	cancel  context.CancelFunc
	// cancelCall ends the last call; the transport's mu guards it.
	cancelCall context.CancelFunc
}

// New returns a transport whose senders run in the group until ctx ends. Others reach the
// instance at addr.
func New(ctx context.Context, g *errgroup.Group, creds *rpc.Credentials, addr string, log *logs.Logger, clock catkinrail.Clock) *Transport {
	return &Transport{
		ctx: ctx, group: g, creds: creds, addr: addr, log: log, clock: clock,
		unknown: logs.NewLimiter(clock, logInterval), senders: map[quorum.NodeID]*sender{},
	}
}

// Send queues the messages. A message to a node without a known address or with a
// full queue is dropped; the quorum tolerates lost messages.
func (t *Transport) Send(list []quorum.Message, members *quorum.Members) {
	for _, m := range list {
		s := t.sender(m.To, members)
		if s == nil {
			t.logUnknown(m.To)
			continue
		}
		select {
		case s.queue <- m:
		default:
		}
	}
}

func (t *Transport) logUnknown(id quorum.NodeID) {
	if skipped, ok := t.unknown.Allow(); ok {
		t.log.Warn(nil).Uint64("node", uint64(id)).Uint64("skipped", skipped).
			Msg("message dropped: the address of the control instance is unknown")
	}
}

// Learn records the address that a node sent in a message. This instance's log may lack the
// node, whose messages it must answer all the same.
func (t *Transport) Learn(id quorum.NodeID, addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learned = slices.DeleteFunc(t.learned, func(l learnedAddr) bool { return l.node == id })
	t.learned = append(t.learned, learnedAddr{id, addr})
	if len(t.learned) <= maxLearned {
		return
	}
	oldest := t.learned[0].node
	t.learned = slices.Delete(t.learned, 0, 1)
	if s := t.senders[oldest]; s != nil {
		s.cancel()
		delete(t.senders, oldest)
	}
}

// addrOf returns the address of a node: the one in the members, else the one that the node
// sent, else the one in the last reply to Join. The caller holds t.mu.
func (t *Transport) addrOf(id quorum.NodeID, members *quorum.Members) (string, bool) {
	if p, ok := members.Nodes[id]; ok {
		return p.Addr, true
	}
	if i := slices.IndexFunc(t.learned, func(l learnedAddr) bool { return l.node == id }); i >= 0 {
		return t.learned[i].addr, true
	}
	if t.contacts == nil {
		return "", false
	}
	p, ok := t.contacts.Nodes[id]
	return p.Addr, ok
}

// sender returns the sender for a node, and replaces it if the node's address has
// changed. It returns nil if there is no sender and the address is unknown.
func (t *Transport) sender(id quorum.NodeID, members *quorum.Members) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	addr, ok := t.addrOf(id, members)
	s := t.senders[id]
	if s != nil && (!ok || s.addr == addr) {
		return s
	}
	if !ok {
		return nil
	}
	if s != nil {
		s.cancel()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	s = &sender{
		addr: addr, client: rpc.NewClient(addr, t.creds), cancel: cancel,
		queue: make(chan quorum.Message, queueLength), limiter: logs.NewLimiter(t.clock, logInterval),
	}
	t.senders[id] = s
	t.group.Go(func() error {
		t.runSender(ctx, s)
		return nil
	})
	return s
}

func (t *Transport) runSender(ctx context.Context, s *sender) {
	defer s.client.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.queue:
			batch := collectBatch(s.queue, m)
			if err := t.sendTo(ctx, s, batch); err != nil && ctx.Err() == nil {
				if skipped, ok := s.limiter.Allow(); ok {
					t.log.Warn(err).Uint64("skipped", skipped).Msg("could not send messages to control instance")
				}
			}
		}
	}
}

// Reconnect ends the call in progress to a node. It may be waiting for a connection to
// the machine as it was before the node started.
func (t *Transport) Reconnect(id quorum.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.senders[id]; s != nil && s.cancelCall != nil {
		s.cancelCall()
	}
}

// sendTo sends a batch in a call that Reconnect ends. The first message tells where to answer.
func (t *Transport) sendTo(ctx context.Context, s *sender, batch []quorum.Message) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.mu.Lock()
	s.cancelCall = cancel
	t.mu.Unlock()
	batch[0].Addr = t.addr
	return sendBatch(ctx, s.client, batch)
}

// collectBatch takes further queued messages, so that one call carries them.
func collectBatch(queue chan quorum.Message, first quorum.Message) []quorum.Message {
	batch := []quorum.Message{first}
	for len(batch) < maxBatchLength {
		select {
		case m := <-queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

func sendBatch(ctx context.Context, c *rpc.Client, batch []quorum.Message) error {
	body, err := cluster.Encode(batch)
	if err != nil {
		return err
	}
	return c.Call(ctx, "step", callTimeout, func(ctx context.Context, conn drpc.Conn) error {
		_, err := control.NewDRPCControlClient(conn).Step(ctx, &control.Frame{Body: body})
		return err
	})
}

// Hello requests the identity of the control instance at addr.
func Hello(ctx context.Context, addr string, creds *rpc.Credentials) (*message.HelloReply, error) {
	c := rpc.NewClient(addr, creds)
	defer c.Close()
	g := &message.HelloReply{}
	err := c.Call(ctx, "hello", callTimeout, func(ctx context.Context, conn drpc.Conn) error {
		f, err := control.NewDRPCControlClient(conn).Hello(ctx, &control.Frame{})
		if err != nil {
			return err
		}
		return cluster.Decode(f.GetBody(), g)
	})
	return g, err
}

// Join asks the control instance at addr to add a new member, and records the
// members and the leader that the reply names.
func (t *Transport) Join(ctx context.Context, addr string, req *message.JoinRequest) (*message.JoinReply, error) {
	body, err := cluster.Encode(req)
	if err != nil {
		return nil, err
	}
	reply := &message.JoinReply{}
	c := rpc.NewClient(addr, t.creds)
	defer c.Close()
	err = c.Call(ctx, "join", callTimeout, func(ctx context.Context, conn drpc.Conn) error {
		f, err := control.NewDRPCControlClient(conn).Join(ctx, &control.Frame{Body: body})
		if err != nil {
			return err
		}
		return cluster.Decode(f.GetBody(), reply)
	})
	if err != nil {
		return nil, err
	}
	t.setContacts(reply)
	return reply, nil
}

// setContacts records the addresses of members that this instance's own log may
// not contain yet.
func (t *Transport) setContacts(reply *message.JoinReply) {
	if len(reply.Members.Nodes) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contacts = reply.Members.Clone()
	t.leaderAddr = reply.Members.Nodes[reply.Leader].Addr
}

// LeaderAddr returns the address of the leader that a reply to Join named last, or
// an empty string if it named none.
func (t *Transport) LeaderAddr() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaderAddr
}

// Addrs returns the addresses of control instances that this instance's log may not name: of
// those that sent messages, the last heard first, and of the members in the last reply to Join.
func (t *Transport) Addrs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, l := range slices.Backward(t.learned) {
		list = append(list, l.addr)
	}
	if t.contacts != nil {
		for _, id := range cluster.SortedKeys(t.contacts.Nodes) {
			list = append(list, t.contacts.Nodes[id].Addr)
		}
	}
	return list
}
