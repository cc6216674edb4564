package replay_test

import (
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
		Rate: rapid.Float64Range(1, 40).Draw(t, "rate"), Calm: 5 * time.Millisecond, Greedy: true,
		Warmup: 4 * time.Second, Duration: 12 * time.Second, Seed: rapid.Uint64().Draw(t, "seed"),
		Tolerance: rapid.SampledFrom([]warmup.Tolerance{{Overage: 1}, {Overage: 1.5, Slack: 5}}).Draw(t, "tolerance"),
	}
	for range rapid.IntRange(0, 12).Draw(t, "faults") {
		cfg.Faults = append(cfg.Faults, replay.Fault{
			Kind: replay.Kind(rapid.IntRange(0, int(replay.NumKinds)-1).Draw(t, "kind")),
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
		Instances: instances, Servers: 6, Rate: 12, Tolerance: tol, Flows: 400, Calm: 3 * time.Millisecond,
		Warmup: 5 * time.Second, Duration: 10 * time.Second, Seed: 1,
	}
}

// TestCalmUse guards against loans that leave the rate of cold backend servers unused.
func TestCalmUse(t *testing.T) {
	for _, n := range sizes {
		for _, tol := range []warmup.Tolerance{{Overage: 1}, {Overage: 1.5, Slack: 5}} {
			r := replay.Run(calm(n, tol), replay.NewLoans)
			t.Logf("%d instances, overage %.1f, slack %.0f: %.3f used, worst second %d of %d", n, tol.Overage, tol.Slack, r.Used, r.Worst, r.Budget)
			require.LessOrEqual(t, r.Worst, r.Budget)
		}
	}
}

// TestFigures logs the figures of docs/design/warmup.md.
func TestFigures(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("logs figures only")
	}
	kinds := []replay.Kind{
		replay.Burst, replay.SplitView, replay.SkewClock, replay.RestartEntry, replay.RestartControl, replay.CutControl,
		replay.DelayMessages, replay.LoseMessages, replay.RepeatMessages,
	}
	tol := warmup.Tolerance{Overage: 1.5, Slack: 5}
	for _, n := range sizes {
		for _, p := range policies {
			for _, kind := range kinds {
				cfg := calm(n, tol)
				cfg.CopyShare = 0.1
				for at := 6 * time.Second; at < 14*time.Second; at += 2 * time.Second {
					cfg.Faults = append(cfg.Faults, replay.Fault{Kind: kind, At: at, For: time.Second, Target: len(cfg.Faults), Strength: time.Second})
				}
				r := replay.Run(cfg, p.new)
				t.Logf("%4d %-12s %-18s used %.3f worst %3d of %d, %6.0f bytes/s, refused %.3f", n, p.name, kind, r.Used, r.Worst, r.Budget, r.BytesPerSecond, r.Refused)
			}
		}
	}
}
