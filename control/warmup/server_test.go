package warmup_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/control/warmup"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	lending "catkinrail.example/catkinrail/coordination/warmup"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/directory"
)

// fakeSystem is a control instance with a directory and clocks.
type fakeSystem struct {
	now       time.Time
	dir       *directory.Directory
	published core.PublishedState
	// outOfContact is set while the instance doesn't reach its leader.
	outOfContact time.Time
}

func (f *fakeSystem) Now() time.Time { return f.now }

func (f *fakeSystem) Published() *core.PublishedState { return &f.published }

func (f *fakeSystem) Synced() int64 {
	if !f.outOfContact.IsZero() {
		return f.outOfContact.UnixNano()
	}
	return f.now.UnixNano()
}

func (f *fakeSystem) Since(revision uint64) (list []directory.View, at uint64, changed <-chan struct{}) {
	return f.dir.Since(revision, f.now.UnixNano()), f.dir.LastChange(), nil
}

// wait refreshes the server until d has passed.
func (f *fakeSystem) wait(s *warmup.Server, d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(100 * time.Millisecond) {
		s.Refresh()
	}
}

func (f *fakeSystem) report(warmupLeft time.Duration) {
	f.dir.Report(&catkinrail.Incarnation{
		Name: "b-7", Identity: 7, StartedAt: f.now.UnixMilli(), Sequence: 1, Service: "logbook", Zone: "a", Slots: 2, Warmup: warmupLeft,
		Addr: netip.MustParseAddrPort("10.0.0.7:80"),
	}, f.now.UnixNano(), directory.FromServer)
}

func newSystem(limits map[string]catkinrail.ServiceLimits) (*fakeSystem, *warmup.Server, metrics.Registry) {
	f := &fakeSystem{now: time.Unix(1_000_000, 0), dir: directory.New(directory.Config{SilentAfter: time.Hour})}
	f.published.Document = &catkinrail.Document{Version: 1, Limits: limits}
	f.published.Members = &quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{
		1: {Name: "c2", Zone: "a"}, 2: {Name: "c1", Zone: "a"}, 3: {Name: "c0", Zone: "a"},
	}, Learners: map[quorum.NodeID]bool{3: true}}
	reg := metrics.NewRegistry()
	return f, warmup.New(warmup.Config{
		Name: "c1", Tolerance: lending.Tolerance{Overage: 1.5, Slack: 5}, Control: f, Directory: f, Clock: f, Wall: f,
		Log: logs.Discard(), Metrics: reg,
	}), reg
}

var limits = map[string]catkinrail.ServiceLimits{"logbook": {WarmupTime: 10 * time.Second, WarmupRate: 20}}

// TestLend guards the wiring of document, directory, members and contact to the lender.
func TestLend(t *testing.T) {
	tests := []struct {
		name   string
		limits map[string]catkinrail.ServiceLimits
		change func(f *fakeSystem, s *warmup.Server)
		lends  bool
	}{
		{"a cold backend server", limits, func(f *fakeSystem, _ *warmup.Server) { f.report(5 * time.Second) }, true},
		{"cold by the document alone", limits, func(f *fakeSystem, _ *warmup.Server) { f.report(0) }, true},
		{"no limit in the document", nil, func(f *fakeSystem, _ *warmup.Server) { f.report(5 * time.Second) }, false},
		{"warm again", limits, func(f *fakeSystem, s *warmup.Server) {
			f.report(5 * time.Second)
			f.wait(s, 12*time.Second)
		}, false},
		{"gone", limits, func(f *fakeSystem, s *warmup.Server) {
			f.report(5 * time.Second)
			f.wait(s, time.Second)
			f.dir.Leave("b-7", 0, f.now.UnixNano())
		}, false},
		{"out of contact", limits, func(f *fakeSystem, s *warmup.Server) {
			f.report(5 * time.Second)
			f.outOfContact = f.now
			f.wait(s, 2*time.Second)
		}, false},
		{"no longer the first voter", limits, func(f *fakeSystem, _ *warmup.Server) {
			f.report(5 * time.Second)
			f.published.Members = &quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{2: {Name: "c1", Zone: "a"}, 3: {Name: "c0", Zone: "a"}}}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, s, reg := newSystem(tt.limits)
			old := f.now
			f.now = f.now.Add(-time.Hour)
			f.dir.Report(&catkinrail.Incarnation{
				Name: "old-8", Identity: 8, StartedAt: 1, Sequence: 1, Service: "logbook", Zone: "a", Slots: 2, Addr: netip.MustParseAddrPort("10.0.0.8:80"),
			}, f.now.UnixNano(), directory.FromServer)
			f.now = old.Add(-10 * time.Second)
			f.wait(s, 10*time.Second)
			tt.change(f, s)
			s.Refresh()
			loans := s.Lend(&message.LoadReport{Zone: "a", Process: 1, Sequence: 1, Wants: map[string]int{"logbook": 2}})
			require.Equal(t, tt.lends, len(loans) > 0)
			lent := reg.Get("loans-lent").(metrics.Counter).Count()
			require.Equal(t, tt.lends, lent > 0)
			if tt.lends {
				require.Equal(t, catkinrail.Token(7), loans[0].Token)
				require.Equal(t, int64(1), reg.Get("backends-cold").(metrics.Gauge).Value())
			}
		})
	}
}
