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

// randomTestCluster draws a test cluster with planned and unplanned events at random
// times. Unplanned losses are at least 10 s apart, so that at most one is being repaired
// at a time.
func randomTestCluster(t *rapid.T, policy fake.Policy, balance catkinrail.Balance) *testCluster {
	cfg := fake.Config{
		Seed: rapid.Uint64Range(1, 1<<40).Draw(t, "seed"), Policy: policy,
		Loss:           rapid.Float64Range(0, 0.02).Draw(t, "loss"),
		MaxUpdateDelay: time.Duration(rapid.IntRange(0, 1000).Draw(t, "spread")) * time.Millisecond,
		MaxClockDrift:  rapid.Float64Range(0, 0.02).Draw(t, "skew"),
	}
	c := newTestCluster(cfg, rapid.IntRange(4, 10).Draw(t, "entries"), rapid.IntRange(3, 6).Draw(t, "servers"), catkinrail.ServiceConfig{Balance: balance})
	c.OpenMany(logbook, 300, 30*time.Second, 700*time.Millisecond, 0)
	c.OpenMany(logbook, 150, 30*time.Second, 400*time.Millisecond, 3*time.Second)
	lossAt := time.Duration(0)
	for i := range rapid.IntRange(1, 8).Draw(t, "events") {
		at := 5*time.Second + time.Duration(rapid.IntRange(0, 25000).Draw(t, "at"))*time.Millisecond
		server := rapid.IntRange(0, len(c.servers)-1).Draw(t, "server")
		entry := rapid.IntRange(0, len(c.entries)-1).Draw(t, "entry")
		switch rapid.IntRange(0, 7).Draw(t, "event") {
		case 0, 1:
			c.At(at, c.servers[server].Drain)
		case 2:
			c.At(at, c.servers[server].Readmit)
		case 3:
			c.At(at, func() { c.addServer(100 + i) })
		case 4:
			c.At(at, func() { c.entries = append(c.entries, c.AddEntry(fmt.Sprint("entry-new-", i), zones[i%4])) })
		case 5:
			c.At(at, func() { leave(c, entry) })
		default:
			const repair = 10 * time.Second
			lossAt = max(lossAt+repair, at)
			c.At(lossAt, func() { injectLoss(c, entry, i) })
		}
	}
	return c
}

// countRunning returns the number of running entry instances.
func countRunning(c *testCluster) int {
	n := 0
	for _, e := range c.entries {
		if !e.Dead {
			n++
		}
	}
	return n
}

func leave(c *testCluster, entry int) {
	if countRunning(c) > 3 && !c.entries[entry].Dead {
		c.entries[entry].Leave()
	}
}

// injectLoss kills an entry instance or freezes it for longer than its lease.
func injectLoss(c *testCluster, entry, i int) {
	switch {
	case c.entries[entry].Dead || countRunning(c) <= 3:
	case i%2 == 0:
		c.entries[entry].Kill()
	default:
		c.entries[entry].Freeze(4 * time.Second)
	}
}

// TestNoFlowBreaks checks that every flow stays on its backend server, whatever
// changes are planned and whichever single instance is lost or frozen.
func TestNoFlowBreaks(t *testing.T) {
	for _, balance := range []catkinrail.Balance{catkinrail.BalanceHashed, catkinrail.BalanceTracked} {
		t.Run(string(balance), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				c := randomTestCluster(t, fake.Phased, balance)
				c.Run(60 * time.Second)
				require.Empty(t, c.Causes(5), "broken flows")
				require.Empty(t, c.Stuck(maxAnswerDelay), "flows whose packets get no answer")
				require.Zero(t, c.Stats.WrongService)
				require.Zero(t, c.Stats.LateFlows, "late new flows on a draining backend server")
				require.Zero(t, c.Stats.RefusedAfterForward)
			})
		})
	}
}

// TestBaselinesBreakFlows checks that flows break if records, the phase prepare or
// acknowledgements are left out, so that TestNoFlowBreaks can notice such a fault.
func TestBaselinesBreakFlows(t *testing.T) {
	tests := []struct {
		name string
		cfg  fake.Config
	}{
		{"hash only", fake.Config{Policy: fake.HashOnly}},
		{"one step", fake.Config{Policy: fake.OneStep, MaxUpdateDelay: 2 * time.Second}},
		{"no acknowledgements", fake.Config{AssumeAcks: true, MaxUpdateDelay: 4 * time.Second}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			broken := 0
			for seed := uint64(1); seed <= 4; seed++ {
				tt.cfg.Seed, tt.cfg.Loss = seed, 0.005
				c := newTestCluster(tt.cfg, 8, 4, catkinrail.ServiceConfig{})
				c.OpenMany(logbook, 2000, 20*time.Second, 300*time.Millisecond, 0)
				c.At(8*time.Second, c.servers[0].Drain)
				c.At(14*time.Second, c.servers[1].Drain)
				c.Run(25 * time.Second)
				broken += c.Count(fake.Broken)
			}
			require.Positive(t, broken)
		})
	}
}

// TestOneCopyLosesFlows checks that the loss of an entry instance breaks flows if each
// record has one copy, and none if it has three.
func TestOneCopyLosesFlows(t *testing.T) {
	broken := map[int]int{}
	for _, copies := range []int{1, 3} {
		c := newTestCluster(fake.Config{Seed: 1, Copies: copies}, 8, 5, catkinrail.ServiceConfig{})
		c.OpenMany(logbook, 2000, 20*time.Second, time.Second, 0)
		c.At(5*time.Second, c.servers[0].Drain)
		c.At(18*time.Second, c.entries[0].Kill)
		c.Run(45 * time.Second)
		broken[copies] = c.Count(fake.Broken) + len(c.Stuck(maxAnswerDelay))
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
		{"flows get records while a move is in prepare", catkinrail.BalanceHashed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			svc := catkinrail.ServiceConfig{Proto: catkinrail.ProtoUDP, Balance: tt.balance}
			c := newTestCluster(fake.Config{Seed: 1, Loss: 0.005, MaxUpdateDelay: 300 * time.Millisecond}, 8, 4, svc)
			// Flows that send at least once a second get a record before the move opens.
			c.OpenMany(logbook, 1000, 20*time.Second, 300*time.Millisecond, 0)
			c.At(8*time.Second, c.servers[0].Drain)
			c.At(14*time.Second, func() { c.addServer(100) })
			c.Run(30 * time.Second)
			requireNoBrokenFlows(t, c)
		})
	}
}

// TestSilentFlow checks that flows without packets for hours survive a drain.
func TestSilentFlow(t *testing.T) {
	c := newTestCluster(fake.Config{Seed: 1}, 6, 4, catkinrail.ServiceConfig{})
	for range 60 {
		c.Open(logbook, 3*time.Hour, 0)
	}
	c.Run(5 * time.Second)
	c.servers[0].Drain()
	c.addServer(100)
	c.Run(9 * time.Hour)
	requireNoBrokenFlows(t, c)
	for _, f := range c.Flows {
		require.GreaterOrEqual(t, f.Acked, 2)
	}
}

// TestFullBucket opens far more flows than the moving buckets have room for records.
// New flows then use the slot that needs no record.
func TestFullBucket(t *testing.T) {
	c := newTestCluster(fake.Config{Seed: 1}, 6, 4, catkinrail.ServiceConfig{MaxRecords: 4})
	c.OpenMany(logbook, 500, 3*time.Second, time.Second, 0)
	c.At(7*time.Second, func() { c.addServer(100) })
	c.At(10*time.Second, func() { c.OpenMany(logbook, 4000, 5*time.Second, time.Second, 0) })
	c.Run(25 * time.Second)
	require.Empty(t, c.Causes(5))
	require.Zero(t, c.Stats.RefusedAfterForward)
	require.Equal(t, len(c.Flows), c.Count(fake.Established))
}

// TestServerRestart restarts a backend server at its address, without its flows. Only
// these flows may break.
func TestServerRestart(t *testing.T) {
	c := newTestCluster(fake.Config{Seed: 1}, 6, 4, catkinrail.ServiceConfig{})
	c.OpenMany(logbook, 1000, 20*time.Second, time.Second, 0)
	c.At(6*time.Second, c.servers[1].Drain)
	c.At(12*time.Second, c.servers[0].Restart)
	c.Run(30 * time.Second)
	for _, f := range c.Flows {
		if f.State == fake.Broken {
			require.Equal(t, catkinrail.BackendID(1), f.Slot.Backend(), f.Cause)
		}
	}
	require.Zero(t, c.Stats.LateFlows)
}

func TestDeletedServiceDropsPackets(t *testing.T) {
	c := newTestCluster(fake.Config{Seed: 1}, 4, 3, catkinrail.ServiceConfig{})
	c.OpenMany(logbook, 200, time.Second, 200*time.Millisecond, 0)
	c.Run(6 * time.Second)
	forwarded := c.Stats.Forwarded
	c.MustExecute(deleteService(logbook))
	c.Run(8 * time.Second)
	after := c.Stats.Forwarded
	require.Greater(t, after, forwarded)
	c.Run(12 * time.Second)
	require.Equal(t, after, c.Stats.Forwarded, "packets of a deleted service are dropped")
}
