// Package entry implements the calls that control instances serve to entry instances
// and to each other.
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

// heartbeatHold is the longest time for which the reply to a heartbeat waits for a
// change. This way changes reach entry instances at once although heartbeats are rare.
const heartbeatHold = 250 * time.Millisecond

// Server implements the calls of the Control service.
type Server struct {
	core   *core.Core
	dir    *gossip.Directory
	follow *follow.Server
	loads  LoadService
}

// LoadService answers the load reports of entry instances.
type LoadService interface {
	Report(r *message.LoadReport) *message.LoadReply
	// Leave removes the load of an entry instance that no longer follows this control
	// instance.
	Leave(name string)
	// RecordBytes counts the bytes of a report and of its reply.
	RecordBytes(in, out int)
}

// New returns a server on top of the core, the directory, the streams to entry instances
// and the shared loads.
func New(c *core.Core, dir *gossip.Directory, f *follow.Server, loads LoadService) *Server {
	return &Server{core: c, dir: dir, follow: f, loads: loads}
}

var _ control.DRPCControlServer = (*Server)(nil)

// Step implements control.DRPCControlServer.
func (s *Server) Step(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var list []quorum.Message
	if err := decodeRequest(ctx, f, &list, rpc.RoleControl); err != nil {
		return nil, err
	}
	return &control.Frame{}, s.core.Step(ctx, list)
}

// Hello implements control.DRPCControlServer.
func (s *Server) Hello(ctx context.Context, _ *control.Frame) (*control.Frame, error) {
	if err := rpc.RequireRole(ctx, rpc.RoleControl); err != nil {
		return nil, err
	}
	g, err := s.core.Hello(ctx)
	return encodeReply(g, err)
}

// Join implements control.DRPCControlServer.
func (s *Server) Join(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var req message.JoinRequest
	if err := decodeRequest(ctx, f, &req, rpc.RoleControl); err != nil {
		return nil, err
	}
	r, err := s.core.Join(ctx, &req)
	return encodeReply(r, withCode(err))
}

// Register implements control.DRPCControlServer.
func (s *Server) Register(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var reg plan.Registration
	if err := decodeRequest(ctx, f, &reg, rpc.RoleEntry); err != nil {
		return nil, err
	}
	var id catkinrail.InstanceID
	err := s.core.SubmitEvents(ctx, func(state *cluster.State) (events []cluster.Event, err error) {
		events, id, err = plan.Register(state, &reg)
		return events, err
	})
	return encodeReply(&message.RegisterReply{ID: id}, withCode(err))
}

// Heartbeat implements control.DRPCControlServer.
func (s *Server) Heartbeat(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var hb message.Heartbeat
	if err := decodeRequest(ctx, f, &hb, rpc.RoleEntry); err != nil {
		return nil, err
	}
	r, changed, err := s.core.Heartbeat(ctx, &hb)
	if err != nil {
		return nil, withCode(err)
	}
	if !hb.Wait || r.Unregistered || len(r.Changes) > 0 || r.State != nil {
		return encodeReply(r, nil)
	}
	hold := time.NewTimer(heartbeatHold)
	defer hold.Stop()
	select {
	case <-changed:
	case <-hold.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	// The reports in the heartbeat were recorded by the first call.
	followUp := message.Heartbeat{
		ID: hb.ID, Term: hb.Term, StateVersion: hb.StateVersion, Synced: hb.Synced, Busy: hb.Busy, Members: hb.Members,
	}
	r, _, err = s.core.Heartbeat(ctx, &followUp)
	return encodeReply(r, withCode(err))
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
	return &control.Frame{}, withCode(s.core.PutDocument(ctx, change.Events[0].DocumentPut))
}

// errNoDocument means that the change of a PutDocument call isn't a single document.
var errNoDocument = errors.New("change must hold exactly one event that puts a document")

// ReadIndex implements control.DRPCControlServer.
func (s *Server) ReadIndex(ctx context.Context, _ *control.Frame) (*control.Frame, error) {
	if err := rpc.RequireRole(ctx, rpc.RoleControl); err != nil {
		return nil, drpcerr.WithCode(err, uint64(api.Code_FORBIDDEN))
	}
	index, err := s.core.ReadIndex(ctx)
	return encodeReply(&message.ReadIndexReply{Index: index}, withCode(err))
}

// Evacuate implements control.DRPCControlServer.
func (s *Server) Evacuate(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var order plan.EvacuationOrder
	if err := decodeRequest(ctx, f, &order, rpc.RoleControl); err != nil {
		return nil, err
	}
	return &control.Frame{}, withCode(s.core.Evacuate(ctx, &order))
}

// Load implements control.DRPCControlServer.
func (s *Server) Load(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var r message.LoadReport
	if err := decodeRequest(ctx, f, &r, rpc.RoleEntry); err != nil {
		return nil, err
	}
	reply, err := encodeReply(s.loads.Report(&r), nil)
	if err == nil {
		s.loads.RecordBytes(len(f.GetBody()), len(reply.GetBody()))
	}
	return reply, err
}

// Gossip implements control.DRPCControlServer.
func (s *Server) Gossip(ctx context.Context, f *control.Frame) (*control.Frame, error) {
	var g message.Gossip
	if err := decodeRequest(ctx, f, &g, rpc.RoleControl); err != nil {
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
	if err := decodeRequest(stream.Context(), f, &req, rpc.RoleEntry); err != nil {
		return err
	}
	err := s.follow.Serve(stream.Context(), &req, func(body []byte) error {
		return stream.Send(&control.Frame{Body: body})
	})
	if !s.follow.Follows(req.Name) {
		s.loads.Leave(req.Name)
	}
	return err
}

// decodeRequest checks the client's role and decodes the frame's body into v. Its
// errors carry a code for the client.
func decodeRequest(ctx context.Context, f *control.Frame, v any, roles ...rpc.Role) error {
	if err := rpc.RequireRole(ctx, roles...); err != nil {
		return drpcerr.WithCode(err, uint64(api.Code_FORBIDDEN))
	}
	if err := cluster.DecodeCompressed(f.GetBody(), v); err != nil {
		return drpcerr.WithCode(err, uint64(api.Code_INVALID))
	}
	return nil
}

// encodeReply returns a frame with the encoded v, or err if it is set.
func encodeReply(v any, err error) (*control.Frame, error) {
	if err != nil {
		return nil, err
	}
	body, err := cluster.Encode(v)
	if err != nil {
		return nil, err
	}
	return &control.Frame{Body: body}, nil
}

// withCode adds a code to errors that the client should react to.
func withCode(err error) error {
	if errors.Is(err, core.ErrNotLeader) {
		return drpcerr.WithCode(err, uint64(api.Code_NOT_LEADER))
	}
	if errors.Is(err, plan.ErrConflict) {
		return drpcerr.WithCode(err, uint64(api.Code_CONFLICT))
	}
	return err
}
