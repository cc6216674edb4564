package load

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/load"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/state/directory"
)

type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

// fakeDirectory is a directory in memory.
type fakeDirectory struct {
	dir   *directory.Directory
	clock *manualClock
}

func (f *fakeDirectory) Since(revision uint64) ([]directory.View, uint64, <-chan struct{}) {
	return f.dir.Since(revision, f.clock.now.UnixNano()), f.dir.LastChange(), nil
}

func (f *fakeDirectory) report(startedAt int64, sequence uint64, zone catkinrail.Zone) {
	f.dir.Report(&catkinrail.Incarnation{Name: "s1", Identity: 7, StartedAt: startedAt, Sequence: sequence, Service: "s", Zone: zone, Slots: 2}, f.clock.now.UnixNano(), directory.FromServer)
}

// TestRestartedServer guards against load of an earlier incarnation that counts on the one
// that has its name and token, and against rows that stay once the directory has dropped
// their server.
func TestRestartedServer(t *testing.T) {
	clk := &manualClock{time.Unix(1000, 0)}
	dir := &fakeDirectory{directory.New(directory.Config{SilentAfter: time.Second}), clk}
	s := New("c1", 1, dir, clk, metrics.NewRegistry())
	sequence := uint64(0)
	exchange := func(startedAt int64) *message.LoadReply {
		sequence++
		return s.Report(&message.LoadReport{
			Name: "e1", Zone: "a", Process: 1, Sequence: sequence, Servers: message.ServerLoads{{Server: message.NewServerKey(7, startedAt), Flows: 4}},
		})
	}
	require.Empty(t, exchange(100).Servers, "not in the directory yet")
	dir.report(100, 1, "a")
	require.Len(t, exchange(100).Servers, 1)
	require.Equal(t, []load.ZoneStatus{{ZoneLoad: message.ZoneLoad{Zone: "a", Service: "s", Slots: 2, Flows: 4}, Instances: 1}}, s.Zones())
	dir.report(200, 1, "a")
	require.Empty(t, exchange(100).Servers, "load of the earlier incarnation")
	require.Zero(t, s.Zones()[0].Flows)
	reply := exchange(200)
	require.Equal(t, message.ServerLoads{{Server: message.NewServerKey(7, 200), Flows: 4}}, reply.Servers)
	dir.dir.Tick(clk.now.Add(2 * time.Second).UnixNano())
	require.Zero(t, s.Zones()[0].Slots, "silent")
	dir.report(200, 2, "b")
	require.Empty(t, exchange(200).Servers, "moved to another zone")
	dir.dir.Leave("s1", 200, clk.now.UnixNano())
	require.Empty(t, s.Zones())
	s.Leave("e1")
	s.UpdateMetrics()
	require.Zero(t, s.stats.rows.Value(), "nothing is left")
	dir.report(300, 1, "a")
	require.Len(t, s.Zones(), 1)
	dir.dir.Tick(clk.now.Add(2 * time.Second).UnixNano())
	dir.dir.Tick(clk.now.Add(time.Hour).UnixNano())
	clk.now = clk.now.Add(2 * time.Minute)
	require.Empty(t, s.Zones(), "the directory has dropped it")
}

// fakeLender lends a flow for each report.
type fakeLender struct{ asked int }

func (f *fakeLender) Lend(r *message.LoadReport) []message.Loan {
	f.asked++
	return []message.Loan{{Token: 7, StartedAt: 100, Flows: r.Wants["s"]}}
}

// TestLoansInReplies guards against replies without loans, and against loans for a report
// that came after a newer one: their validity would count from the newer one.
func TestLoansInReplies(t *testing.T) {
	clk := &manualClock{time.Unix(1000, 0)}
	s := New("c1", 1, &fakeDirectory{directory.New(directory.Config{SilentAfter: time.Second}), clk}, clk, metrics.NewRegistry())
	report := func(sequence uint64) *message.LoadReport {
		return &message.LoadReport{Name: "e1", Zone: "a", Process: 1, Sequence: sequence, Wants: map[string]int{"s": 2}}
	}
	require.Empty(t, s.Report(report(1)).Loans, "no lender")
	l := &fakeLender{}
	s.LendBy(l)
	require.Equal(t, []message.Loan{{Token: 7, StartedAt: 100, Flows: 2}}, s.Report(report(3)).Loans)
	require.Empty(t, s.Report(report(2)).Loans)
	require.Equal(t, 1, l.asked)
}
