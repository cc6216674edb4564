// Package operator implements the calls that control instances serve to operators.
package operator

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"storj.io/drpc/drpcerr"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/control/evacuation"
	"catkinrail.example/catkinrail/control/follow"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/control/load"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/protocol/api"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Server implements the calls of the Operator service.
type Server struct {
	name   string
	core   *core.Core
	dir    *gossip.Directory
	follow *follow.Server
	zones  *evacuation.Zones
	loads  *load.Server
	clock  catkinrail.Clock
}

// New returns a server on top of the core, the directory, the streams to entry instances,
// the known zones and the shared loads of the control instance with the given name.
func New(name string, c *core.Core, dir *gossip.Directory, f *follow.Server, zones *evacuation.Zones, loads *load.Server, clock catkinrail.Clock) *Server {
	return &Server{name: name, core: c, dir: dir, follow: f, zones: zones, loads: loads, clock: clock}
}

var _ api.DRPCOperatorServer = (*Server)(nil)

// errorCodes lists the codes of errors. The first match counts.
var errorCodes = []struct {
	err  error
	code api.Code
}{
	{core.ErrNotLeader, api.Code_NOT_LEADER},
	{core.ErrNotRun, api.Code_NOT_RUN},
	{core.ErrFeatureMissing, api.Code_NOT_RUN},
	{catkinrail.ErrUnavailable, api.Code_NOT_RUN},
	{core.ErrUnknown, api.Code_UNKNOWN},
	{rpc.ErrRole, api.Code_FORBIDDEN},
	{plan.ErrReportedNotRun, api.Code_NOT_RUN},
	{plan.ErrConflict, api.Code_CONFLICT},
	{plan.ErrRequestReused, api.Code_CONFLICT},
	{plan.ErrNotFound, api.Code_NOT_FOUND},
	{plan.ErrExists, api.Code_EXISTS},
	{plan.ErrQuarantine, api.Code_QUARANTINE},
	{plan.ErrImmutable, api.Code_IMMUTABLE},
	{plan.ErrInvalid, api.Code_INVALID},
}

// withCode adds its code to an error. Errors that clients need not tell apart have
// none.
func withCode(err error) error {
	if err == nil {
		return nil
	}
	for _, c := range errorCodes {
		if errors.Is(err, c.err) {
			return drpcerr.WithCode(err, uint64(c.code))
		}
	}
	var field *catkinrail.FieldError
	if errors.As(err, &field) {
		return drpcerr.WithCode(err, uint64(api.Code_INVALID))
	}
	return err
}

// change runs a command, or returns what it would change if the request is for a
// dry run.
func (s *Server) change(ctx context.Context, c *api.Change, cmd *plan.Command) (*api.ChangeReply, error) {
	if err := rpc.RequireRole(ctx, rpc.RoleOperator); err != nil {
		return nil, withCode(err)
	}
	cmd.Request = c.GetRequest()
	cmd.Expect = c.GetExpect()
	if c.GetDryRun() {
		return s.dryRun(ctx, cmd)
	}
	a, err := s.core.Command(ctx, cmd)
	if err != nil {
		return nil, withCode(err)
	}
	return &api.ChangeReply{Version: a.Version, Detail: a.Detail, Ran: true}, nil
}

// dryRun evaluates a command on the leader's committed state without running it.
func (s *Server) dryRun(ctx context.Context, cmd *plan.Command) (*api.ChangeReply, error) {
	reply := &api.ChangeReply{}
	var evalErr error
	err := s.core.Read(ctx, func(state *cluster.State, _ *core.Status) {
		events, _, err := plan.Evaluate(state, cmd)
		if err != nil {
			evalErr = err
			return
		}
		reply.Version = state.Version
		reply.Detail = describeEvents(events)
	})
	return reply, withCode(errors.Join(err, evalErr))
}

// describeEvents returns a summary of the events for operators.
func describeEvents(events []cluster.Event) string {
	services, backends, buckets, others := 0, 0, 0, 0
	zones := ""
	for i := range events {
		switch e := &events[i]; {
		case e.ServicePut != nil || e.ServiceDeleted != 0:
			services++
		case e.BackendPut != nil || e.BackendRemoved != 0:
			backends++
		case e.BucketsSet != nil:
			buckets += len(e.BucketsSet.Buckets)
		case e.ZoneEvacuated != nil && e.ZoneEvacuated.Evacuated:
			zones += fmt.Sprintf("availability zone %s is evacuated; ", e.ZoneEvacuated.Zone)
		case e.ZoneEvacuated != nil:
			zones += fmt.Sprintf("the evacuation of availability zone %s ends; ", e.ZoneEvacuated.Zone)
		case e.Answer == nil && e.MovePut == nil && e.MoveRemoved == 0:
			others++
		}
	}
	return fmt.Sprintf("%s%d services, %d backend servers, %d buckets and %d other records change",
		zones, services, backends, buckets, others)
}

// CreateService implements api.DRPCOperatorServer.
func (s *Server) CreateService(ctx context.Context, r *api.ServiceRequest) (*api.ChangeReply, error) {
	cfg, err := serviceConfig(r.GetService())
	if err != nil {
		return nil, withCode(err)
	}
	return s.change(ctx, r.GetChange(), &plan.Command{Create: cfg})
}

// ChangeService implements api.DRPCOperatorServer.
func (s *Server) ChangeService(ctx context.Context, r *api.ServiceRequest) (*api.ChangeReply, error) {
	cfg, err := serviceConfig(r.GetService())
	if err != nil {
		return nil, withCode(err)
	}
	return s.change(ctx, r.GetChange(), &plan.Command{Change: cfg})
}

// protocolNumbers maps the names of protocols to their IP protocol numbers. An empty
// name stands for the default.
var protocolNumbers = map[string]uint8{"": 0, "tcp": catkinrail.ProtoTCP, "udp": catkinrail.ProtoUDP}

// serviceConfig translates a service from an operator's request.
func serviceConfig(s *api.Service) (*catkinrail.ServiceConfig, error) {
	addr, err := netip.ParseAddrPort(s.GetAddress())
	if err != nil {
		return nil, &catkinrail.FieldError{Field: "address", Reason: fmt.Sprintf("%q must be an IP address and a port", s.GetAddress())}
	}
	proto, ok := protocolNumbers[s.GetProtocol()]
	if !ok {
		return nil, &catkinrail.FieldError{Field: "protocol", Reason: fmt.Sprintf("%q must be \"tcp\" or \"udp\"", s.GetProtocol())}
	}
	return &catkinrail.ServiceConfig{
		Name: s.GetName(), Addr: addr, Proto: proto, Balance: catkinrail.Balance(s.GetBalance()),
		Buckets: int(s.GetBuckets()), IdleTimeout: time.Duration(s.GetIdleTimeout()) * time.Second,
		MaxRecords: int(s.GetMaxRecords()), MaxEject: int(s.GetMaxEjectPercent()),
		Objective: catkinrail.Objective{
			BrokenPerMillion:  s.GetObjective().GetBrokenPerMillion(),
			RefusedPerMillion: s.GetObjective().GetRefusedPerMillion(),
			ImbalancePercent:  s.GetObjective().GetImbalancePercent(),
		},
	}, nil
}

// DeleteService implements api.DRPCOperatorServer.
func (s *Server) DeleteService(ctx context.Context, r *api.NameRequest) (*api.ChangeReply, error) {
	return s.change(ctx, r.GetChange(), &plan.Command{Delete: &r.Name})
}

// DrainBackendServer implements api.DRPCOperatorServer.
func (s *Server) DrainBackendServer(ctx context.Context, r *api.BackendServerRequest) (*api.ChangeReply, error) {
	ref := &plan.BackendRef{Service: r.GetService(), Name: r.GetName()}
	return s.change(ctx, r.GetChange(), &plan.Command{Drain: ref})
}

// ReadmitBackendServer implements api.DRPCOperatorServer.
func (s *Server) ReadmitBackendServer(ctx context.Context, r *api.BackendServerRequest) (*api.ChangeReply, error) {
	ref := &plan.BackendRef{Service: r.GetService(), Name: r.GetName()}
	return s.change(ctx, r.GetChange(), &plan.Command{Readmit: ref})
}

// RemoveInstance implements api.DRPCOperatorServer.
func (s *Server) RemoveInstance(ctx context.Context, r *api.NameRequest) (*api.ChangeReply, error) {
	return s.change(ctx, r.GetChange(), &plan.Command{Remove: &r.Name})
}

// DeclareZone implements api.DRPCOperatorServer.
func (s *Server) DeclareZone(ctx context.Context, r *api.ZoneRequest) (*api.ChangeReply, error) {
	z := &cluster.ZoneLost{Zone: catkinrail.Zone(r.GetZone()), Lost: r.GetLost()}
	return s.change(ctx, r.GetChange(), &plan.Command{Zone: z})
}

// EvacuateZone implements api.DRPCOperatorServer.
func (s *Server) EvacuateZone(ctx context.Context, r *api.EvacuateZoneRequest) (*api.ChangeReply, error) {
	z := &cluster.ZoneEvacuated{Zone: catkinrail.Zone(r.GetZone()), Evacuated: r.GetEvacuated()}
	if err := s.checkZone(ctx, z.Zone, r.GetChange().GetRequest()); err != nil {
		return nil, withCode(err)
	}
	return s.change(ctx, r.GetChange(), &plan.Command{Evacuate: z})
}

// checkZone returns an error if this instance leads and knows no such zone. The zone of a request
// that was answered before may no longer be known.
func (s *Server) checkZone(ctx context.Context, zone catkinrail.Zone, request string) error {
	if err := rpc.RequireRole(ctx, rpc.RoleOperator); err != nil {
		return err
	}
	unknown := s.zones.Check(zone)
	if unknown == nil {
		return nil
	}
	return errors.Join(s.core.Local(ctx, func(state *cluster.State, status *core.Status) {
		if !status.Leading || state.HasZone(zone) || state.Evacuated(zone) || state.FindAnswer(request) != nil {
			unknown = nil
		}
	}), unknown)
}

// Outcome implements api.DRPCOperatorServer.
func (s *Server) Outcome(ctx context.Context, r *api.OutcomeRequest) (*api.ChangeReply, error) {
	if err := rpc.RequireRole(ctx, rpc.RoleOperator); err != nil {
		return nil, withCode(err)
	}
	ran := false
	a, err := s.core.Submit(ctx, func(state *cluster.State) (events []cluster.Event, a *cluster.Answer, err error) {
		events, a, ran = plan.Outcome(state, r.GetRequest())
		return events, a, nil
	})
	if err != nil {
		return nil, withCode(err)
	}
	return &api.ChangeReply{Version: a.Version, Detail: a.Detail, Ran: ran}, nil
}
