package operator

import (
	"context"
	"slices"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/protocol/api"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/rpc"
)

// read checks the client's role and calls f with the committed state, if this
// instance is the leader.
func (s *Server) read(ctx context.Context, f func(*cluster.State, *core.Status)) error {
	if err := rpc.RequireRole(ctx, rpc.RoleOperator); err != nil {
		return withCode(err)
	}
	return withCode(s.core.Read(ctx, f))
}

// protocolName returns the name of a protocol number, or an empty string if it has
// none.
func protocolName(proto uint8) string {
	for name, n := range protocolNumbers {
		if n == proto && name != "" {
			return name
		}
	}
	return ""
}

// movingBuckets returns the number of a service's buckets that are being moved.
func movingBuckets(svc *catkinrail.Service) uint32 {
	n := uint32(0)
	for _, b := range svc.Buckets {
		if b.Phase != catkinrail.Settled {
			n++
		}
	}
	return n
}

// ListServices implements api.DRPCOperatorServer.
func (s *Server) ListServices(ctx context.Context, _ *api.Empty) (*api.ServiceList, error) {
	list := &api.ServiceList{}
	err := s.read(ctx, func(state *cluster.State, _ *core.Status) {
		list.Version = state.Version
		for _, id := range cluster.SortedKeys(state.Services) {
			list.Services = append(list.Services, describeService(state.Services[id]))
		}
	})
	return list, err
}

func describeService(svc *catkinrail.Service) *api.Service {
	c := &svc.Config
	return &api.Service{
		Name: c.Name, Address: c.Addr.String(), Protocol: protocolName(c.Proto), Balance: string(c.Balance),
		Buckets: uint32(c.Buckets), IdleTimeout: uint32(c.IdleTimeout.Seconds()),
		MaxRecords: uint32(c.MaxRecords), MaxEjectPercent: uint32(c.MaxEject),
		Objective: &api.Objective{
			BrokenPerMillion:  c.Objective.BrokenPerMillion,
			RefusedPerMillion: c.Objective.RefusedPerMillion,
			ImbalancePercent:  c.Objective.ImbalancePercent,
		},
		Id: uint32(svc.ID), MovingBuckets: movingBuckets(svc),
	}
}

// ListBackendServers implements api.DRPCOperatorServer.
func (s *Server) ListBackendServers(ctx context.Context, r *api.NameRequest) (*api.BackendServerList, error) {
	list := &api.BackendServerList{}
	err := s.read(ctx, func(state *cluster.State, _ *core.Status) {
		list.Version = state.Version
		for _, id := range cluster.SortedKeys(state.Services) {
			svc := state.Services[id]
			if r.GetName() != "" && svc.Config.Name != r.GetName() {
				continue
			}
			for _, b := range state.BackendsOf(id) {
				list.BackendServers = append(list.BackendServers, describeBackend(svc, b))
			}
		}
	})
	return list, err
}

func describeBackend(svc *catkinrail.Service, b *catkinrail.Backend) *api.BackendServer {
	out := &api.BackendServer{
		Service: svc.Config.Name, Name: b.Name, Zone: string(b.Zone), State: b.State.String(),
		Incarnation: b.Incarnation, Weight: b.Weight,
	}
	for _, slot := range b.Slots {
		out.Slots = append(out.Slots, slot.String())
	}
	for _, bucket := range svc.Buckets {
		if bucket.Owner().Backend() == b.ID {
			out.Buckets++
		}
		if bucket.Phase != catkinrail.Settled && bucket.Cur.Backend() == b.ID {
			out.LeavingBuckets++
		}
	}
	return out
}

// ListInstances implements api.DRPCOperatorServer.
func (s *Server) ListInstances(ctx context.Context, _ *api.Empty) (*api.InstanceList, error) {
	list := &api.InstanceList{}
	err := s.read(ctx, func(state *cluster.State, status *core.Status) {
		list.Version = state.Version
		for _, id := range cluster.SortedKeys(state.Instances) {
			list.Instances = append(list.Instances, describeInstance(state.Instances[id], status.Entries[id]))
		}
	})
	return list, err
}

func describeInstance(in *catkinrail.Instance, e core.EntryStatus) *api.Instance {
	state := "serving"
	switch {
	case in.Silent:
		state = "silent"
	case !e.Leased:
		state = "no-lease"
	case in.Leaving:
		state = "leaving"
	}
	return &api.Instance{
		Name: in.Name, Id: uint32(in.ID), Zone: string(in.Zone), Relay: in.Relay.String(),
		State: state, Version: e.Version, LagMillis: uint64(e.Lag.Milliseconds()),
	}
}

// Status implements api.DRPCOperatorServer. Every control instance answers it, from
// its own state, which may be out of date.
func (s *Server) Status(ctx context.Context, _ *api.Empty) (*api.StatusReply, error) {
	if err := rpc.RequireRole(ctx, rpc.RoleOperator); err != nil {
		return nil, withCode(err)
	}
	reply := &api.StatusReply{}
	err := s.core.Local(ctx, func(state *cluster.State, status *core.Status) {
		fillStatus(reply, state, status)
	})
	return reply, withCode(err)
}

func fillStatus(r *api.StatusReply, state *cluster.State, status *core.Status) {
	r.Version, r.Term, r.Commit, r.Leader = state.Version, status.Term, status.Commit, status.Leader
	if d := state.Document; d != nil {
		r.DocumentVersion, r.DocumentRoutes = d.Version, uint32(len(d.Routes))
	}
	for _, id := range sortedNodes(status.Members) {
		p := status.Members.Nodes[id]
		role := "voter"
		switch {
		case status.Members.Learners[id]:
			role = "learner"
		case p.Name == status.Leader:
			role = "leader"
		}
		r.Control = append(r.Control, &api.ControlInstance{Name: p.Name, Address: p.Addr, Role: role, Match: status.Match[id]})
	}
	r.ViewPhase = state.View.Phase.String()
	r.ViewMembers = uint32(len(state.View.Base))
	r.Moves = uint32(len(state.Moves))
	for _, svc := range state.Services {
		r.MovingBuckets += movingBuckets(svc)
	}
	r.Instances = uint32(len(state.Instances))
	for id := range state.Instances {
		if status.Leading && status.Entries[id].Version < state.Version {
			r.Lagging++
		}
	}
	for _, z := range cluster.SortedKeys(state.LostZones) {
		r.LostZones = append(r.LostZones, string(z))
	}
	_, r.EvacuatedZones = describeEvacuations(state.Evacuations)
}

// describeEvacuations returns the revision of the evacuations and the evacuated zones.
func describeEvacuations(e *catkinrail.Evacuations) (revision uint64, zones []string) {
	if e == nil {
		return 0, nil
	}
	for _, z := range e.Zones {
		zones = append(zones, string(z))
	}
	return e.Revision, zones
}

// sortedNodes returns the members' ids, sorted by name.
func sortedNodes(m *quorum.Members) []quorum.NodeID {
	ids := make([]quorum.NodeID, 0, len(m.Nodes))
	for id := range m.Nodes {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b quorum.NodeID) int {
		if m.Nodes[a].Name < m.Nodes[b].Name {
			return -1
		}
		return 1
	})
	return ids
}

// Burn implements api.DRPCOperatorServer.
func (s *Server) Burn(ctx context.Context, r *api.NameRequest) (*api.BurnReply, error) {
	reply := &api.BurnReply{}
	err := s.read(ctx, func(state *cluster.State, status *core.Status) {
		for _, id := range cluster.SortedKeys(state.Services) {
			name := state.Services[id].Config.Name
			if r.GetName() != "" && r.GetName() != name {
				continue
			}
			for _, b := range status.Burn[id] {
				reply.Rows = append(reply.Rows, &api.BurnRow{
					Service: name, Window: b.Window, Flows: b.Flows, Broken: b.Broken, Refused: b.Refused,
					ImbalancePercent: b.Imbalance(), BrokenBurn: b.BrokenBurn, RefusedBurn: b.RefusedBurn,
					ImbalanceBurn: b.ImbalanceBurn, Cause: b.Cause,
				})
			}
		}
	})
	return reply, err
}

// Watch implements api.DRPCOperatorServer.
func (s *Server) Watch(_ *api.Empty, stream api.DRPCOperator_WatchStream) error {
	ctx := stream.Context()
	if err := rpc.RequireRole(ctx, rpc.RoleOperator); err != nil {
		return withCode(err)
	}
	return withCode(s.core.Watch(ctx, func(c *cluster.Change) error {
		return stream.Send(&api.WatchEvent{Version: c.Version, Detail: describeEvents(c.Events)})
	}))
}
