package warmup_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/coordination/warmup"
)

const (
	ms = int64(time.Millisecond)
	// settled is a time at which a lender that started at zero lends.
	settled = 10_000 * ms
)

var (
	tolerance = warmup.Tolerance{Overage: 1.5, Slack: 5}
	voters    = []warmup.Voter{{Name: "c1", Zone: "a"}, {Name: "c2", Zone: "a"}, {Name: "c3", Zone: "b"}}
)

func coldServer(zone string, rate float64) warmup.Server {
	return warmup.Server{
		Key: warmup.Key{Token: 1, StartedAt: 100}, Service: "logbook", Zone: catkinrail.Zone(zone), Rate: rate,
	}
}

// settledLender returns a lender that has been in contact, with the given voters and cold
// backend servers, from zero to settled.
func settledLender(self string, voters []warmup.Voter, servers ...warmup.Server) *warmup.Lender {
	l := warmup.NewLender(self, tolerance)
	for now := int64(0); now <= settled; now += 250 * ms {
		l.SetView(voters, now, now, now)
		l.SetServers(servers, nil, now)
	}
	return l
}

func want(process, sequence uint64, flows int) *message.LoadReport {
	return &message.LoadReport{Zone: "a", Process: process, Sequence: sequence, Wants: map[string]int{"logbook": flows}}
}

func lent(loans []message.Loan) (n int) {
	for _, l := range loans {
		n += l.Flows
	}
	return n
}

// TestWhoLends guards against a zone without a lender and against two lenders.
func TestWhoLends(t *testing.T) {
	tests := []struct {
		name   string
		self   string
		voters []warmup.Voter
		zone   string
		lends  bool
	}{
		{"the first voter of the zone", "c1", voters, "a", true},
		{"not the second voter of the zone", "c2", voters, "a", false},
		{"not a voter of another zone", "c3", voters, "a", false},
		{"the first voter of another zone", "c3", voters, "b", true},
		{"the first of all voters for a zone without voters", "c1", voters, "z", true},
		{"an instance without a vote", "c0", voters, "a", false},
		{"the order of the list doesn't matter", "c1", []warmup.Voter{voters[2], voters[1], voters[0]}, "a", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := settledLender(tt.self, tt.voters, coldServer(tt.zone, 20))
			require.Equal(t, tt.lends, lent(l.Lend(want(1, 1, 1), settled)) > 0)
		})
	}
}

// TestZoneOfGoneVoter guards against a zone for which nobody lends, since its lender has gone and keeps
// its place among the voters.
func TestZoneOfGoneVoter(t *testing.T) {
	flows := 0
	for _, v := range voters[:2] {
		l := settledLender(v.Name, voters, coldServer("b", 20))
		flows += lent(l.Lend(want(1, 1, 1), settled))
	}
	require.Positive(t, flows)
}

// TestStoppingVoterLendsNothing guards against a zone for which nobody lends, since its lender was told
// to stop and had to keep its vote.
func TestStoppingVoterLendsNothing(t *testing.T) {
	m := &quorum.Members{
		Nodes:    map[quorum.NodeID]quorum.Peer{1: {Name: "c1", Zone: "a"}, 2: {Name: "c2", Zone: "a"}, 3: {Name: "c3", Zone: "a"}},
		Learners: map[quorum.NodeID]bool{3: true}, Stopping: map[quorum.NodeID]bool{1: true},
	}
	require.Equal(t, []warmup.Voter{{Name: "c2", Zone: "a"}}, warmup.Voters(m))
}

// TestExtremeRates guards against rates of a valid document that leave no whole nanosecond between
// two packets, or more than fit: both ended the instance or lent without a limit.
func TestExtremeRates(t *testing.T) {
	for _, rate := range []float64{5e-324, 1e-300, 1, 1e9 + 1, 4_294_967_295, 1e300, math.MaxFloat64} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			l := settledLender("c1", voters, coldServer("a", rate))
			budget := tolerance.Budget(rate)
			require.LessOrEqual(t, lent(l.Lend(want(1, 1, 1<<20), settled)), budget)
			require.LessOrEqual(t, lent(l.Lend(want(1, 2, 1<<20), settled+1)), budget)
		})
	}
}

// TestLendsOnlyOnceSettled guards against loans beside those of a predecessor, or of this
// instance before it restarted or was cut off.
func TestLendsOnlyOnceSettled(t *testing.T) {
	tests := []struct {
		name  string
		view  func(l *warmup.Lender)
		at    int64
		lends bool
	}{
		{"in contact all the time", func(*warmup.Lender) {}, settled + 500*ms, true},
		{"out of contact", func(*warmup.Lender) {}, settled + 1000*ms, false},
		{"in contact again", func(l *warmup.Lender) {
			l.SetView(voters, settled+1500*ms, settled+1500*ms, settled+1500*ms)
		}, settled + 1500*ms, false},
		{"another lender in between", func(l *warmup.Lender) {
			l.SetView([]warmup.Voter{{Name: "c0", Zone: "a"}, voters[0]}, settled, settled, settled)
			l.SetView(voters, settled+250*ms, settled+250*ms, settled+250*ms)
		}, settled + 250*ms, false},
		{"suspended while the steady clock stood still", func(l *warmup.Lender) {
			l.SetView(voters, settled, settled, settled+60_000*ms)
		}, settled, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := settledLender("c1", voters, coldServer("a", 20))
			tt.view(l)
			require.Equal(t, tt.lends, lent(l.Lend(want(1, 1, 1), tt.at)) > 0)
		})
	}
	l := warmup.NewLender("c1", tolerance)
	first := int64(-1)
	for now := int64(0); first < 0; now += 50 * ms {
		l.SetView(voters, now, now, now)
		l.SetServers([]warmup.Server{coldServer("a", 20)}, nil, now)
		if len(l.Lend(want(1, uint64(now)+1, 1), now)) > 0 {
			first = now
		}
	}
	require.Greater(t, first, int64(warmup.Window+3*time.Second))
	require.Less(t, first, int64(warmup.Window+4*time.Second))
}

// TestRequests guards against loans for repeated and older requests, and against budgets
// that lost or returned loans use up or add to.
func TestRequests(t *testing.T) {
	l := settledLender("c1", voters, coldServer("a", 20))
	first := l.Lend(want(1, 5, 4), settled)
	require.NotZero(t, lent(first))
	require.Empty(t, l.Lend(want(1, 5, 4), settled), "repeated")
	require.Empty(t, l.Lend(want(1, 4, 4), settled), "older")
	require.NotZero(t, lent(l.Lend(want(2, 1, 2), settled)), "another process")

	// What is returned can be lent again; a return that is repeated or of another
	// process gives nothing.
	budget := tolerance.Budget(20)
	at := settled + 300*ms
	seq := uint64(10)
	drain := func() (n int) {
		for range 200 {
			seq++
			at += ms
			l.SetView(voters, at, at, at)
			n += lent(l.Lend(want(1, seq, 100), at))
		}
		return n
	}
	require.LessOrEqual(t, drain(), budget)
	require.Equal(t, uint64(0), l.Stats().Returned)
	r := want(2, 2, 0)
	r.Returned = []message.LoanReturn{{Sequence: 5, Token: 1, StartedAt: 100, Flows: 1}}
	l.Lend(r, at)
	require.Equal(t, uint64(0), l.Stats().Returned, "another process")
	r = want(1, seq+1, 0)
	r.Returned = []message.LoanReturn{{Sequence: 5, Token: 1, StartedAt: 100, Flows: 9}}
	l.Lend(r, at)
	l.Lend(r, at)
	require.Equal(t, uint64(lent(first)), l.Stats().Returned)
}

// TestBudget guards against budgets that are rounded up.
func TestBudget(t *testing.T) {
	tests := []struct {
		tolerance warmup.Tolerance
		rate      float64
		budget    int
	}{
		{warmup.Tolerance{}, 20, 20},
		{warmup.Tolerance{}, 0.9, 0},
		{warmup.Tolerance{Overage: 1.5, Slack: 5}, 20, 35},
		{warmup.Tolerance{Overage: 1.5, Slack: 5}, 0.1, 5},
	}
	for _, tt := range tests {
		require.Equal(t, tt.budget, tt.tolerance.OrDefault().Budget(tt.rate))
	}
}

// TestAllowance guards against loans that are used too late, twice or for another
// incarnation.
func TestAllowance(t *testing.T) {
	one := []message.Loan{{Token: 1, StartedAt: 100, Flows: 1}}
	tests := []struct {
		name  string
		apply func(a *warmup.Allowance)
		// token and startedAt are those of the opening packet, at its time.
		token     catkinrail.Token
		startedAt int64
		at        int64
		taken     bool
	}{
		{"valid", func(a *warmup.Allowance) { a.Apply(1, 0, one, 10*ms) }, 1, 100, 199 * ms, true},
		{"ended", func(a *warmup.Allowance) { a.Apply(1, 0, one, 10*ms) }, 1, 100, 200 * ms, false},
		{"the reply came too late", func(a *warmup.Allowance) { a.Apply(1, 0, one, 200*ms) }, 1, 100, 200 * ms, false},
		{"another incarnation", func(a *warmup.Allowance) { a.Apply(1, 0, one, 10*ms) }, 1, 101, 20 * ms, false},
		{"used", func(a *warmup.Allowance) {
			a.Apply(1, 0, one, 10*ms)
			a.Take(1, 100, 10*ms)
		}, 1, 100, 20 * ms, false},
		{"a repeated reply", func(a *warmup.Allowance) {
			a.Apply(1, 0, one, 10*ms)
			a.Take(1, 100, 10*ms)
			a.Apply(1, 0, one, 10*ms)
		}, 1, 100, 20 * ms, false},
		{"an older reply", func(a *warmup.Allowance) {
			a.Apply(2, 0, nil, 10*ms)
			a.Apply(1, 0, one, 10*ms)
		}, 1, 100, 20 * ms, false},
		{"loans of two replies", func(a *warmup.Allowance) {
			a.Apply(1, 0, one, 10*ms)
			a.Apply(2, 50*ms, one, 60*ms)
			a.Take(1, 100, 70*ms)
		}, 1, 100, 249 * ms, true},
		{"the wall clock jumped", func(a *warmup.Allowance) {
			a.CheckClock(0, 0)
			a.Apply(1, 0, one, 10*ms)
			a.CheckClock(20*ms, 60_000*ms)
		}, 1, 100, 20 * ms, false},
		{"the wall clock jumped while the reply was on its way", func(a *warmup.Allowance) {
			a.CheckClock(0, 0)
			a.CheckClock(5*ms, 60_000*ms)
			a.Apply(1, 0, one, 10*ms)
		}, 1, 100, 20 * ms, false},
		{"the wall clock drifts", func(a *warmup.Allowance) {
			a.CheckClock(0, 0)
			a.Apply(1, 0, one, 10*ms)
			a.CheckClock(20*ms, 21*ms)
		}, 1, 100, 20 * ms, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := warmup.NewAllowance()
			tt.apply(a)
			require.Equal(t, tt.taken, a.Left(tt.token, tt.startedAt, tt.at) > 0)
			require.Equal(t, tt.taken, a.Take(tt.token, tt.startedAt, tt.at))
		})
	}
	a := warmup.NewAllowance()
	a.Apply(3, 0, []message.Loan{{Token: 1, StartedAt: 100, Flows: 5}}, 10*ms)
	a.Take(1, 100, 20*ms)
	require.Empty(t, a.Return(100*ms))
	require.Equal(t, []message.LoanReturn{{Sequence: 3, Token: 1, StartedAt: 100, Flows: 4, Idle: 230 * time.Millisecond}}, a.Return(250*ms))
	require.Empty(t, a.Return(250*ms))
	require.Equal(t, warmup.AllowanceStats{Received: 5, Used: 1, Expired: 4}, a.Stats())
}

// TestAllowanceDoesNotAllocate guards the packet path.
func TestAllowanceDoesNotAllocate(t *testing.T) {
	a := warmup.NewAllowance()
	a.Apply(1, 0, []message.Loan{{Token: 1, StartedAt: 100, Flows: 1000}}, 0)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		a.CheckClock(ms, ms)
		a.Take(1, 100, ms)
		a.Left(1, 100, ms)
	}))
}

// TestNeverLendsBeyondTheBudget guards the sum of the loans within a window under any
// sequence of requests and returns.
func TestNeverLendsBeyondTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := settledLender("c1", voters, coldServer("a", rapid.Float64Range(0.1, 50).Draw(t, "rate")))
		l.SetServers([]warmup.Server{coldServer("a", 20)}, nil, settled)
		now := settled
		var times []int64
		for seq := range rapid.Uint64Range(1, 200).Draw(t, "requests") {
			now += rapid.Int64Range(0, 250).Draw(t, "gap") * ms
			l.SetView(voters, now, now, now)
			for range lent(l.Lend(want(rapid.Uint64Range(1, 3).Draw(t, "process"), seq+1, 50), now)) {
				times = append(times, now)
			}
		}
		for i, from := range times {
			n := 0
			for _, at := range times[i:] {
				if at-from <= int64(warmup.Window) {
					n++
				}
			}
			require.LessOrEqual(t, n, tolerance.Budget(20))
		}
	})
}
