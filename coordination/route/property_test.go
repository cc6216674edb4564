package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/fake"
)

// schedule draws a run: a net, and planned and unplanned events at random times.
// At most one unplanned loss is being repaired at a time.
func schedule(t *rapid.T, policy fake.Policy, balance catkinrail.Balance) *lab {
	cfg := fake.Config{
		Seed: rapid.Uint64Range(1, 1<<40).Draw(t, "seed"), Policy: policy,
		Loss:   rapid.Float64Range(0, 0.02).Draw(t, "loss"),
		Spread: time.Duration(rapid.IntRange(0, 1000).Draw(t, "spread")) * time.Millisecond,
		Skew:   rapid.Float64Range(0, 0.02).Draw(t, "skew"),
	}
	l := newLab(cfg, rapid.IntRange(4, 10).Draw(t, "entries"), rapid.IntRange(3, 6).Draw(t, "servers"), catkinrail.ServiceConfig{Balance: balance})
	l.OpenMany(logbook, 300, 30*time.Second, 700*time.Millisecond, 0)
	l.OpenMany(logbook, 150, 30*time.Second, 400*time.Millisecond, 3*time.Second)
	lossAt := time.Duration(0)
	for i := range rapid.IntRange(1, 8).Draw(t, "events") {
		at := 5*time.Second + time.Duration(rapid.IntRange(0, 25000).Draw(t, "at"))*time.Millisecond
		server := rapid.IntRange(0, len(l.servers)-1).Draw(t, "server")
		entry := rapid.IntRange(0, len(l.entries)-1).Draw(t, "entry")
		switch rapid.IntRange(0, 7).Draw(t, "event") {
		case 0, 1:
			l.At(at, l.servers[server].Drain)
		case 2:
			l.At(at, l.servers[server].Readmit)
		case 3:
			l.At(at, func() { l.addServer(100 + i) })
		case 4:
			l.At(at, func() { l.entries = append(l.entries, l.AddEntry(fmt.Sprint("entry-new-", i), zones[i%4])) })
		case 5:
			l.At(at, func() { leave(l, entry) })
		default:
			const repair = 10 * time.Second
			lossAt = max(lossAt+repair, at)
			l.At(lossAt, func() { lose(l, entry, i) })
		}
	}
	return l
}

// alive counts the entries that run.
func alive(l *lab) int {
	n := 0
	for _, e := range l.entries {
		if !e.Dead {
			n++
		}
	}
	return n
}

func leave(l *lab, entry int) {
	if alive(l) > 3 && !l.entries[entry].Dead {
		l.entries[entry].Leave()
	}
}

// lose kills an entry or freezes it for longer than its lease.
func lose(l *lab, entry, i int) {
	switch {
	case l.entries[entry].Dead || alive(l) <= 3:
	case i%2 == 0:
		l.entries[entry].Kill()
	default:
		l.entries[entry].Freeze(4 * time.Second)
	}
}

// TestNoFlowBreaks is the main property: whatever is planned, and whichever
// single instance is lost or frozen, every flow stays on its backend server.
func TestNoFlowBreaks(t *testing.T) {
	for _, balance := range []catkinrail.Balance{catkinrail.BalanceHashed, catkinrail.BalanceTracked} {
		t.Run(string(balance), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				l := schedule(t, fake.Chosen, balance)
				l.Run(60 * time.Second)
				require.Empty(t, l.Causes(5), "broken flows")
				require.Empty(t, l.Stuck(stuckAge), "flows whose packets get no answer")
				require.Zero(t, l.Stats.WrongService)
				require.Zero(t, l.Stats.LateFlows, "new flows on a leaving backend server")
				require.Zero(t, l.Stats.RefusedAfterPass)
			})
		})
	}
}

// TestBaselinesBreakFlows shows that the property notices what it is meant for.
func TestBaselinesBreakFlows(t *testing.T) {
	tests := []struct {
		name string
		cfg  fake.Config
	}{
		{"hash only", fake.Config{Policy: fake.HashOnly}},
		{"one step", fake.Config{Policy: fake.OneStep, Spread: 2 * time.Second}},
		{"no acknowledgements", fake.Config{Unguarded: true, Spread: 4 * time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			broken := 0
			for seed := uint64(1); seed <= 4; seed++ {
				tt.cfg.Seed, tt.cfg.Loss = seed, 0.005
				l := newLab(tt.cfg, 8, 4, catkinrail.ServiceConfig{})
				l.OpenMany(logbook, 2000, 20*time.Second, 300*time.Millisecond, 0)
				l.At(8*time.Second, l.servers[0].Drain)
				l.At(14*time.Second, l.servers[1].Drain)
				l.Run(25 * time.Second)
				broken += l.Count(fake.Broken)
			}
			require.Positive(t, broken)
		})
	}
}

// TestOneCopyLosesFlows shows why records have several copies.
func TestOneCopyLosesFlows(t *testing.T) {
	broken := map[int]int{}
	for _, copies := range []int{1, 3} {
		l := newLab(fake.Config{Seed: 1, Copies: copies}, 8, 5, catkinrail.ServiceConfig{})
		l.OpenMany(logbook, 2000, 20*time.Second, time.Second, 0)
		l.At(5*time.Second, l.servers[0].Drain)
		l.At(18*time.Second, l.entries[0].Kill)
		l.Run(45 * time.Second)
		broken[copies] = l.Count(fake.Broken) + len(l.Stuck(stuckAge))
	}
	require.Positive(t, broken[1])
	require.Zero(t, broken[3])
}

func TestUDP(t *testing.T) {
	tests := []struct {
		name    string
		balance catkinrail.Balance
	}{
		{"every flow has a record", catkinrail.BalanceTracked},
		{"flows are learned while a move is prepared", catkinrail.BalanceHashed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			svc := catkinrail.ServiceConfig{Proto: catkinrail.ProtoUDP, Balance: tt.balance}
			l := newLab(fake.Config{Seed: 1, Loss: 0.005, Spread: 300 * time.Millisecond}, 8, 4, svc)
			// Flows that speak at least once a second are learned in time.
			l.OpenMany(logbook, 1000, 20*time.Second, 300*time.Millisecond, 0)
			l.At(8*time.Second, l.servers[0].Drain)
			l.At(14*time.Second, func() { l.addServer(100) })
			l.Run(30 * time.Second)
			requireUnbroken(t, l)
		})
	}
}

// TestSilentFlow checks that a feed that is silent for hours survives a drain.
func TestSilentFlow(t *testing.T) {
	l := newLab(fake.Config{Seed: 1}, 6, 4, catkinrail.ServiceConfig{})
	for range 60 {
		l.Open(logbook, 3*time.Hour, 0)
	}
	l.Run(5 * time.Second)
	l.servers[0].Drain()
	l.addServer(100)
	l.Run(9 * time.Hour)
	requireUnbroken(t, l)
	for _, f := range l.Flows {
		require.GreaterOrEqual(t, f.Acked, 2)
	}
}

// TestBucketFilledOnPurpose opens far more flows than the records of the moving
// buckets hold. New flows fall back on the slot that needs no record.
func TestBucketFilledOnPurpose(t *testing.T) {
	l := newLab(fake.Config{Seed: 1}, 6, 4, catkinrail.ServiceConfig{MaxRecords: 4})
	l.OpenMany(logbook, 500, 3*time.Second, time.Second, 0)
	l.At(7*time.Second, func() { l.addServer(100) })
	l.At(10*time.Second, func() { l.OpenMany(logbook, 4000, 5*time.Second, time.Second, 0) })
	l.Run(25 * time.Second)
	require.Empty(t, l.Causes(5))
	require.Zero(t, l.Stats.RefusedAfterPass)
	require.Equal(t, len(l.Flows), l.Count(fake.Established))
}

// TestServerComesBackEmpty restarts a backend server at its address. Its flows
// are gone, and no other flow may suffer.
func TestServerComesBackEmpty(t *testing.T) {
	l := newLab(fake.Config{Seed: 1}, 6, 4, catkinrail.ServiceConfig{})
	l.OpenMany(logbook, 1000, 20*time.Second, time.Second, 0)
	l.At(6*time.Second, l.servers[1].Drain)
	l.At(12*time.Second, l.servers[0].Restart)
	l.Run(30 * time.Second)
	for _, f := range l.Flows {
		if f.State == fake.Broken {
			require.Equal(t, catkinrail.BackendID(1), f.Server.Backend(), f.Cause)
		}
	}
	require.Zero(t, l.Stats.LateFlows)
}

func TestNoServiceIsNoDefault(t *testing.T) {
	l := newLab(fake.Config{Seed: 1}, 4, 3, catkinrail.ServiceConfig{})
	l.OpenMany(logbook, 200, time.Second, 200*time.Millisecond, 0)
	l.Run(6 * time.Second)
	forwarded := l.Stats.Forwarded
	l.Must(deleteService(logbook))
	l.Run(8 * time.Second)
	after := l.Stats.Forwarded
	require.Greater(t, after, forwarded)
	l.Run(12 * time.Second)
	require.Equal(t, after, l.Stats.Forwarded, "packets of no service are dropped")
}
