// Package entry serves the calls of entry instances and of other control
// instances.
package entry

import (
	"context"
	"errors"
	"time"

	"storj.io/drpc/drpcerr"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/control/follow"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/protocol/api"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/rpc"
)

// holdTime is how long a heartbeat's answer waits for a change. Changes reach
// entry instances at once, and heartbeats stay rare.
const holdTime = 250 * time.Millisecond

// Server implements the Control calls.
type Server struct {
	core   *core.Core
	dir    *gossip.Directory
	follow *follow.Server
}

// New returns a server on top of the core and the directory.
func New(c *core.Core, dir *gossip.Directory, f *follow.Server) *Server {
	return &Server{core: c, dir: dir, follow: f}
}

var _ control.DRPCControlServer = (*Server)(nil)

// Step implements control.DRPCControlServer.
func (s *Server) Step(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var list []quorum.Message
	if err := open(ctx, f, &list, rpc.RoleControl); err != nil {
		return nil, err
	}
	return &control.Frame{}, s.core.Step(ctx, list)
}

// Hello implements control.DRPCControlServer.
func (s *Server) Hello(ctx context.Context, _ *control.Frame) (*control.Frame, error) {
	if err := rpc.RequireRole(ctx, rpc.RoleControl); err != nil {
		return nil, err
	}
	g, err := s.core.Greeting(ctx)
	return reply(g, err)
}

// Join implements control.DRPCControlServer.
func (s *Server) Join(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var req message.JoinRequest
	if err := open(ctx, f, &req, rpc.RoleControl); err != nil {
		return nil, err
	}
	r, err := s.core.Join(ctx, &req)
	return reply(r, coded(err))
}

// Register implements control.DRPCControlServer.
func (s *Server) Register(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var reg plan.Registration
	if err := open(ctx, f, &reg, rpc.RoleEntry); err != nil {
		return nil, err
	}
	var id catkinrail.InstanceID
	err := s.core.SubmitEvents(ctx, func(state *cluster.State) (events []cluster.Event, err error) {
		events, id, err = plan.Register(state, &reg)
		return events, err
	})
	return reply(&message.RegisterReply{ID: id}, coded(err))
}

// Heartbeat implements control.DRPCControlServer.
func (s *Server) Heartbeat(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var hb message.Heartbeat
	if err := open(ctx, f, &hb, rpc.RoleEntry); err != nil {
		return nil, err
	}
	r, changed, err := s.core.Heartbeat(ctx, &hb)
	if err != nil {
		return nil, coded(err)
	}
	if !hb.Wait || r.Unregistered || len(r.Changes) > 0 || r.State != nil {
		return reply(r, nil)
	}
	hold := time.NewTimer(holdTime)
	defer hold.Stop()
	select {
	case <-changed:
	case <-hold.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	// What was reported is noted already.
	again := message.Heartbeat{ID: hb.ID, Term: hb.Term, StateVersion: hb.StateVersion, Synced: hb.Synced, Busy: hb.Busy}
	r, _, err = s.core.Heartbeat(ctx, &again)
	return reply(r, coded(err))
}

// PutDocument implements control.DRPCControlServer.
func (s *Server) PutDocument(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	if err := rpc.RequireRole(ctx, rpc.RoleControl); err != nil {
		return nil, drpcerr.WithCode(err, uint64(api.Code_FORBIDDEN))
	}
	var change cluster.Change
	if err := cluster.DecodeCompressed(f.GetBody(), &change); err != nil {
		return nil, drpcerr.WithCode(err, uint64(api.Code_INVALID))
	}
	if len(change.Events) != 1 || change.Events[0].DocumentPut == nil {
		return nil, drpcerr.WithCode(errNoDocument, uint64(api.Code_INVALID))
	}
	return &control.Frame{}, coded(s.core.PutDocument(ctx, change.Events[0].DocumentPut))
}

// errNoDocument reports a call without the document that it should put.
var errNoDocument = errors.New("call holds no document")

// ReadIndex implements control.DRPCControlServer.
func (s *Server) ReadIndex(ctx context.Context, _ *control.Frame) (*control.Frame, error) {
	if err := rpc.RequireRole(ctx, rpc.RoleControl); err != nil {
		return nil, drpcerr.WithCode(err, uint64(api.Code_FORBIDDEN))
	}
	index, err := s.core.ReadIndex(ctx)
	return reply(&message.ReadIndexReply{Index: index}, coded(err))
}

// Gossip implements control.DRPCControlServer.
func (s *Server) Gossip(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var g message.Gossip
	if err := open(ctx, f, &g, rpc.RoleControl); err != nil {
		return nil, err
	}
	body, err := cluster.EncodeCompressed(s.dir.Gossip(&g))
	if err != nil {
		return nil, err
	}
	return &control.Frame{Body: body}, nil
}

// Follow implements control.DRPCControlServer.
func (s *Server) Follow(f *control.Frame, stream control.DRPCControl_FollowStream) error {
	var req message.FollowRequest
	if err := open(stream.Context(), f, &req, rpc.RoleEntry); err != nil {
		return err
	}
	return s.follow.Serve(stream.Context(), &req, func(body []byte) error {
		return stream.Send(&control.Frame{Body: body})
	})
}

// open checks the caller's role and decodes the frame.
func open(ctx context.Context, f *control.Frame, v any, roles ...rpc.Role) error {
	if err := rpc.RequireRole(ctx, roles...); err != nil {
		return drpcerr.WithCode(err, uint64(api.Code_FORBIDDEN))
	}
	if err := cluster.DecodeCompressed(f.GetBody(), v); err != nil {
		return drpcerr.WithCode(err, uint64(api.Code_INVALID))
	}
	return nil
}

func reply(v any, err error) (*control.Frame, error) {
	if err != nil {
		return nil, err
	}
	body, err := cluster.Encode(v)
	if err != nil {
		return nil, err
	}
	return &control.Frame{Body: body}, nil
}

// coded marks errors that the caller should react to.
func coded(err error) error {
	if errors.Is(err, core.ErrNotLeader) {
		return drpcerr.WithCode(err, uint64(api.Code_NOT_LEADER))
	}
	return err
}
