package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"catkinrail.example/catkinrail/emulator/bench"
)

// benchCommand measures the speed and memory of an entry instance.
func benchCommand(app *kingpin.Application) command {
	c := app.Command("bench", "Measure routing decisions, and forwarding compared with a bare forwarder.")
	return command{clause: c, run: func(ctx context.Context) error {
		sizes := []int{1_000, 100_000, 1_000_000}
		var settled, moving []bench.Decision
		for _, n := range sizes {
			s := bench.MeasureDecision(n, false)
			m := bench.MeasureDecision(n, true)
			settled, moving = append(settled, s), append(moving, m)
			fmt.Printf("%9d flows: settled %6.1f ns, %.2f allocations; moving %6.1f ns, %.2f allocations\n",
				n, s.Nanoseconds, s.Allocs, m.Nanoseconds, m.Allocs)
		}
		state := bench.MeasureState()
		fmt.Printf("record-bytes: %.0f\n", state.RecordBytes)
		fmt.Printf("bucket-bytes: %.1f\n", state.BucketBytes)
		fmt.Printf("bucket-compile-ns: %.1f\n", state.BucketNanos)
		f, err := bench.MeasureForwarding(ctx)
		if err != nil {
			return err
		}
		last := len(sizes) - 1
		fmt.Printf("forwarding on one thread: entry %.0f, bare %.0f packets a second\n", f.Entry, f.Bare)
		fmt.Printf("forwarding-ratio: %.3f\n", f.Ratio)
		fmt.Printf("decision-settled-ns: %.1f\n", settled[last].Nanoseconds)
		fmt.Printf("decision-moving-ns: %.1f\n", moving[last].Nanoseconds)
		fmt.Printf("decision-allocs: %.2f\n", max(settled[last].Allocs, moving[last].Allocs))
		fmt.Printf("decision-growth: %.3f\n", settled[last].Nanoseconds/settled[0].Nanoseconds)
		return benchToken(ctx, sizes[last])
	}}
}

// benchToken measures routing by token.
func benchToken(ctx context.Context, flows int) error {
	d := bench.MeasureTokenDecision(flows)
	f, err := bench.MeasureTokenForwarding(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("forwarding by token on one thread: entry %.0f, bare %.0f packets a second\n", f.Entry, f.Bare)
	fmt.Printf("token-forwarding-ratio: %.3f\n", f.Ratio)
	fmt.Printf("token-decision-ns: %.1f\n", d.Nanoseconds)
	fmt.Printf("token-decision-allocs: %.2f\n", d.Allocs)
	return nil
}
