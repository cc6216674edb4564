package load_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/load"
	"catkinrail.example/catkinrail/coordination/message"
)

const second = int64(time.Second)

func report(name string, zone catkinrail.Zone, process, sequence uint64, list ...message.ServerLoad) *message.LoadReport {
	return &message.LoadReport{Name: name, Zone: zone, Process: process, Sequence: sequence, Servers: list}
}

// on returns a load on one of the servers.
func on(server, flows int) message.ServerLoad {
	s := servers[server]
	return message.ServerLoad{Server: s.Key, Pending: 1, Flows: flows, Latency: 30 * time.Millisecond}
}

// flows returns the flows in zone "a" as a control instance knows them.
func flows(t *load.Table) int {
	n := 0
	for _, z := range t.Totals() {
		if z.Zone == "a" {
			n += z.Flows
		}
	}
	return n
}

// TestFrozenControlInstance guards against old sums of a control instance that stood still
// while its entry instances went over to another one.
func TestFrozenControlInstance(t *testing.T) {
	frozen, other := newNode("c1").table, newNode("c22").table
	frozen.Report(report("e1", "a", 1, 1, on(0, 5)), 0)
	late := frozen.Share("c22", "a", 0)
	other.Report(report("e1", "a", 1, 9, on(0, 7)), 5*second)
	after := frozen.Share("c22", "a", 5*second)
	require.Empty(t, after.Servers, "what it held when it froze")
	other.Merge(after, 5*second)
	other.Merge(late, 5*second)
	require.Equal(t, 7, flows(other))

	other = newNode("c22").table
	other.Merge(late, 5*second)
	require.Equal(t, 5, flows(other))
	other.Expire(6*second + 1)
	require.Zero(t, flows(other), "a message that was sent before it froze")
}

// TestMovedInstance guards against counting an instance at two control instances, and
// against dropping one that has come back.
func TestMovedInstance(t *testing.T) {
	a, b := newNode("c1").table, newNode("c22").table
	a.Report(report("e1", "a", 1, 1, on(0, 5)), 0)
	b.Report(report("e1", "a", 1, 2, on(0, 6)), 100*ms)
	fromB := b.Share("c1", "a", 110*ms)
	a.Merge(fromB, 120*ms)
	require.Equal(t, 6, flows(a))
	a.Report(report("e1", "a", 1, 1, on(0, 5)), 130*ms)
	require.Equal(t, 6, flows(a), "a late report")
	require.Nil(t, a.Share("c22", "a", 140*ms))
	a.Report(report("e1", "a", 1, 3, on(0, 4)), 300*ms)
	b.Merge(a.Share("c22", "a", 310*ms), 310*ms)
	require.Equal(t, 4, flows(b), "back at the first one")
	a.Merge(b.Share("c1", "a", 320*ms), 320*ms)
	require.Equal(t, 4, flows(a))

	// An announcement of an earlier process must not lock out the present one.
	c := newNode("c1").table
	c.Report(report("e1", "a", 2, 1, on(0, 3)), 0)
	c.Merge(fromB, 10*ms)
	c.Report(report("e1", "a", 2, 2, on(0, 3)), 20*ms)
	require.Equal(t, 9, flows(c), "until the other one expires")
}

// TestZonesOfFollowers guards against an entry instance without rows of its own zone,
// because it follows a control instance of another zone.
func TestZonesOfFollowers(t *testing.T) {
	a, b := newNode("c1").table, newNode("c22").table
	a.Report(report("e1", "a", 1, 1, on(0, 5), on(3, 2)), 0)
	b.Report(report("e2", "b", 2, 1, on(3, 1)), 0)
	m := a.Share("c22", "b", 0)
	require.Equal(t, []message.ServerLoad{on(3, 2)}, []message.ServerLoad(m.Servers), "rows of the receiver's zone")
	require.Len(t, m.Zones, 1)
	require.Equal(t, 5, m.Zones[0].Flows, "totals of the rest")
	b.Merge(m, 10*ms)
	reply := b.Report(report("e2", "b", 2, 2, on(3, 1)), 300*ms)
	require.Equal(t, 3, reply.Servers[0].Flows)
	require.Len(t, reply.Zones, 1)
	require.Equal(t, message.ZoneLoad{Zone: "a", Service: "s", Slots: 6, Pending: 1, Flows: 5, Latency: 30 * time.Millisecond}, reply.Zones[0])
	require.Equal(t, 1, reply.Instances)

	b.Report(report("e3", "a", 3, 1), 330*ms)
	a.Merge(b.Share("c1", "a", 330*ms), 330*ms)
	b.Merge(a.Share("c22", "b", 330*ms), 330*ms)
	reply = b.Report(report("e3", "a", 3, 2), 340*ms)
	require.Equal(t, []message.ServerLoad{on(0, 5)}, []message.ServerLoad(reply.Servers), "the rows that it now wants")
	require.Equal(t, 2, reply.Instances)
}

// TestShareOnlyLoad guards against messages between control instances that have nothing to
// say, and against a last load that is never taken back.
func TestShareOnlyLoad(t *testing.T) {
	a := newNode("c1").table
	require.Nil(t, a.Share("c22", "a", 0))
	a.Report(report("e1", "a", 1, 1, on(0, 5)), 0)
	require.NotNil(t, a.Share("c22", "a", 0))
	a.Remove("e1")
	m := a.Share("c22", "a", 0)
	require.NotNil(t, m)
	require.Empty(t, m.Servers)
	require.Nil(t, a.Share("c22", "a", 0))
}

// TestClockSetBack guards against a part that outlives Expiry because the clock jumped.
func TestClockSetBack(t *testing.T) {
	a := newNode("c1").table
	a.Report(report("e1", "a", 1, 1, on(0, 5)), 3600*second)
	a.Expire(10 * second)
	require.Equal(t, 5, flows(a))
	a.Expire(11*second + 1)
	require.Zero(t, flows(a))
}

// TestRejectedReplies guards against replies whose sums don't belong to what the view has.
func TestRejectedReplies(t *testing.T) {
	at := func(process, revision uint64) message.ResumePoint {
		return message.ResumePoint{Process: process, Revision: revision}
	}
	tests := []struct {
		name  string
		reply message.LoadReply
		want  bool
	}{
		{"the next", message.LoadReply{Sequence: 3, Revision: at(1, 6)}, true},
		{"the whole of another control instance", message.LoadReply{Sequence: 3, Revision: at(2, 1), Whole: true}, true},
		{"changes of another control instance", message.LoadReply{Sequence: 3, Revision: at(2, 6)}, false},
		{"repeated", message.LoadReply{Sequence: 2, Revision: at(1, 6), Whole: true}, false},
		{"late", message.LoadReply{Sequence: 1, Revision: at(1, 4), Whole: true}, false},
		{"without the own part", message.LoadReply{Revision: at(1, 6), Whole: true}, false},
		{"to a report of an earlier process", message.LoadReply{Sequence: 99, Revision: at(1, 6), Whole: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v load.View
			require.False(t, v.Fresh(0))
			for i := range 3 {
				v.RecordSent(report("e1", "a", 1, uint64(i+1), on(0, 1)), int64(i)*ms)
			}
			require.True(t, v.Apply(&message.LoadReply{Sequence: 2, Revision: at(1, 5), Whole: true, Servers: message.ServerLoads{on(0, 4)}}))
			require.Equal(t, 3, v.Others(servers[0].Key).Flows)
			require.Equal(t, tt.want, v.Apply(&tt.reply))
			if !tt.want {
				require.Equal(t, ms, v.At(), "a rejected reply doesn't renew the view")
				require.Equal(t, 3, v.Others(servers[0].Key).Flows)
			}
		})
	}
}
