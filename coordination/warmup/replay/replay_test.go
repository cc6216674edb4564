package replay_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail/coordination/warmup"
	"catkinrail.example/catkinrail/coordination/warmup/replay"
	"catkinrail.example/catkinrail/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	os.Exit(testseed.Main(m, testseed.Checks))
}

var policies = []struct {
	name string
	new  func(w *replay.World) replay.Policy
}{
	{"equal share", replay.NewEqualShare},
	{"ownership", replay.NewOwnership},
	{"time slices", replay.NewTimeSlices},
	{"loans", replay.NewLoans},
}

// drawRun draws a run in which the instances open all the flows that they may, under any
// schedule of faults.
func drawRun(t *rapid.T) replay.Config {
	ms := func(name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	cfg := replay.Config{
		Instances: rapid.IntRange(1, 30).Draw(t, "instances"), Servers: rapid.IntRange(1, 2).Draw(t, "servers"),
		Rate: rapid.Float64Range(1, 60).Draw(t, "rate"), Calm: 5 * time.Millisecond, Greedy: true,
		BurstEvery: rapid.SampledFrom([]int{3, 20, 60, 1000}).Draw(t, "burst every"),
		Settle:     4 * time.Second, Duration: 12 * time.Second, Seed: rapid.Uint64().Draw(t, "seed"),
		Tolerance: rapid.SampledFrom([]warmup.Tolerance{{Overage: 1}, {Overage: 1}, {Overage: 1.5, Slack: 5}}).Draw(t, "tolerance"),
	}
	// A few kinds in each run make it likelier that faults of one kind coincide.
	kinds := rapid.SliceOfN(rapid.IntRange(0, int(replay.NumKinds)-1), 1, 4).Draw(t, "kinds")
	for range rapid.IntRange(0, 16).Draw(t, "faults") {
		cfg.Faults = append(cfg.Faults, replay.Fault{
			Kind: replay.Kind(rapid.SampledFrom(kinds).Draw(t, "kind")),
			At:   ms("at", 4000, 15_000), For: ms("for", 5, 4000), Target: rapid.IntRange(0, 30).Draw(t, "target"),
			Strength: ms("strength", 0, 3000),
		})
	}
	return cfg
}

// TestToleranceIsNeverExceeded guards the guarantee under any schedule of two views of the
// members, skewed and jumping clocks, suspended and restarted instances, and late, lost
// and repeated messages.
func TestToleranceIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := replay.Run(drawRun(t), replay.NewLoans)
		require.LessOrEqual(t, r.Worst, r.Budget)
	})
}

// TestOtherPoliciesExceedTheTolerance shows that the property can fail: the same schedules
// must find the faults of the policies that weren't chosen.
func TestOtherPoliciesExceedTheTolerance(t *testing.T) {
	for _, p := range policies[:3] {
		exceeded := 0
		gen := rapid.Custom(drawRun)
		for seed := range 100 {
			if r := replay.Run(gen.Example(seed), p.new); r.Worst > r.Budget {
				exceeded++
			}
		}
		t.Logf("%s: exceeded in %d of 100 runs", p.name, exceeded)
		require.NotZero(t, exceeded, p.name)
	}
}

// sizes are the numbers of entry instances of the replays.
var sizes = []int{12, 140, 300, 940}

func calm(instances int, tol warmup.Tolerance) replay.Config {
	return replay.Config{
		Instances: instances, Servers: 6, Rate: 12, Tolerance: tol, Flows: max(200, 4*float64(instances)), Calm: 3 * time.Millisecond,
		Settle: 5 * time.Second, Duration: 10 * time.Second, Seed: 1,
	}
}

// TestCalmUse guards against loans that leave the rate of cold backend servers unused.
func TestCalmUse(t *testing.T) {
	for _, n := range sizes {
		for _, tol := range []warmup.Tolerance{{Overage: 1}, {Overage: 1.5, Slack: 5}} {
			r := replay.Run(calm(n, tol), replay.NewLoans)
			t.Logf("%d instances, overage %.1f, slack %.0f: %.3f used, worst second %d of %d", n, tol.Overage, tol.Slack, r.Used, r.Worst, r.Budget)
			require.LessOrEqual(t, r.Worst, r.Budget)
			// Without any overage, loans that are left over can't be made up for.
			floor := 0.8
			if tol.Slack == 0 {
				floor = 0.7
			}
			require.GreaterOrEqual(t, r.Used, floor)
		}
	}
}

// BenchmarkFigures plays the replays of docs/design/warmup.md: each policy and fault at each
// number of entry instances, with copies of every tenth
// opening packet and five requests on each flow. Burst is the calm case.
func BenchmarkFigures(b *testing.B) {
	kinds := []replay.Kind{
		replay.Burst, replay.SplitView, replay.SkewClock, replay.RestartEntry, replay.RestartControl, replay.CutControl,
		replay.DelayMessages, replay.LoseMessages, replay.RepeatMessages, replay.SuspendEntries,
	}
	for _, n := range sizes {
		for _, p := range policies {
			for _, kind := range kinds {
				b.Run(fmt.Sprintf("%d/%s/%s", n, p.name, kind), func(b *testing.B) {
					cfg := calm(n, warmup.Tolerance{Overage: 1.5, Slack: 5})
					cfg.CopyShare = 0.1
					cfg.Requests, cfg.Pause = 5, 2*time.Second
					for at := 6 * time.Second; at < 14*time.Second; at += 2 * time.Second {
						cfg.Faults = append(cfg.Faults, replay.Fault{Kind: kind, At: at, For: time.Second, Target: len(cfg.Faults), Strength: time.Second})
					}
					var r replay.Result
					for b.Loop() {
						r = replay.Run(cfg, p.new)
					}
					b.ReportMetric(r.Used, "used")
					b.ReportMetric(float64(r.Worst), "worst-second")
					b.ReportMetric(r.BytesPerSecond, "B/s")
					b.ReportMetric(r.Refused, "refused")
					b.ReportMetric(float64(r.Requests), "worst-requests")
				})
			}
		}
	}
}
