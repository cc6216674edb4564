package operator

import (
	"context"
	"slices"
	"strings"
	"time"

	"catkinrail.example/catkinrail/protocol/api"
	"catkinrail.example/catkinrail/state/directory"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Directory implements api.DRPCOperatorServer. It doesn't need the leader, so that it
// also answers on the minority side of a partition.
func (s *Server) Directory(ctx context.Context, _ *api.Empty) (*api.DirectoryReply, error) {
	if err := rpc.RequireRole(ctx, rpc.RoleOperator); err != nil {
		return nil, withCode(err)
	}
	now := s.clock.Now()
	reply := &api.DirectoryReply{Control: s.name, Current: s.follow.InContact()}
	published := s.core.Published()
	if d := published.Document; d != nil {
		reply.DocumentVersion = d.Version
	}
	reply.Evacuations, reply.EvacuatedZones = describeEvacuations(published.Evacuations)
	list, _, _ := s.dir.Since(0)
	for i := range list {
		reply.BackendServers = append(reply.BackendServers, describeReportingServer(&list[i], now))
	}
	slices.SortFunc(reply.BackendServers, func(a, b *api.ReportingServer) int {
		return strings.Compare(a.Service+"\x00"+a.Name, b.Service+"\x00"+b.Name)
	})
	for _, f := range s.follow.Followers() {
		reply.Followers = append(reply.Followers, &api.Follower{
			Name: f.Name, Zone: string(f.Zone), DocumentVersion: f.Document, AgeMs: now.Sub(f.StartedAt).Milliseconds(),
			Evacuations: f.Evacuations,
		})
	}
	for _, z := range s.loads.Zones() {
		reply.Loads = append(reply.Loads, &api.ZoneLoad{
			Zone: string(z.Zone), Service: z.Service, Slots: uint32(z.Slots), Pending: uint32(z.Pending), Flows: uint32(z.Flows),
			LatencyMs: z.Latency.Milliseconds(), AgeMs: z.Age.Milliseconds(), Instances: uint32(z.Instances),
		})
	}
	return reply, nil
}

func describeReportingServer(v *directory.View, now time.Time) *api.ReportingServer {
	return &api.ReportingServer{
		Name: v.Name, Service: v.Service, Zone: string(v.Zone), Address: v.Addr.String(), Slots: uint32(v.Slots),
		State: reportingState(v), Born: v.StartedAt, Sequence: v.Sequence, AgeMs: now.Sub(time.Unix(0, v.LastReport)).Milliseconds(),
	}
}

func reportingState(v *directory.View) string {
	switch {
	case v.Ended():
		return "gone"
	case v.Silent:
		return "silent"
	case v.Draining:
		return "draining"
	}
	return "ready"
}
