package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"catkinrail.example/catkinrail/emulator/exchange"
)

// exchangeSizes are the sizes at which ways to share loads are compared. The third is
// a grown deployment; up to there the links have 1.4 Mbit/s.
var exchangeSizes = []exchange.Size{
	{Instances: 12, Zones: 3, Servers: 36, Flows: 1000, BytesPerSecond: 7000},
	{Instances: 42, Zones: 3, Servers: 120, Flows: 1000, BytesPerSecond: 7000},
	{Instances: 133, Zones: 3, Servers: 150, Flows: 1000, BytesPerSecond: 7000},
	{Instances: 194, Zones: 4, Servers: 1000, Flows: 1000, BytesPerSecond: 24000},
	{Instances: 940, Zones: 6, Servers: 4800, Flows: 6800, BytesPerSecond: 24000},
}

// exchangeCommand compares ways to share the load of backend servers.
func exchangeCommand(app *kingpin.Application) command {
	c := app.Command("exchange", "Compare ways in which entry instances share the load that they observe.")
	loss := c.Flag("loss", "Share of messages that are lost.").Default("0").Float64()
	part := c.Flag("part", "What to measure.").Default("all").Enum("all", "ways", "costs", "placement")
	return command{clause: c, run: func(context.Context) error {
		if *part == "all" || *part == "ways" {
			if err := compareWays(*loss); err != nil {
				return err
			}
		}
		if *part == "all" || *part == "costs" {
			if err := measureCosts(); err != nil {
				return err
			}
		}
		if *part == "all" || *part == "placement" {
			comparePlacement()
		}
		return nil
	}}
}

// compareWays prints the age of the news and the bytes of each way.
func compareWays(loss float64) error {
	fmt.Println("| instances | servers | way | age, median | age, p99 | bytes/s, entry | bytes/s, control |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, size := range exchangeSizes {
		for _, w := range exchange.Ways() {
			r, err := exchange.Replay(w, size, loss)
			if err != nil {
				return err
			}
			fmt.Printf("| %d | %d | %s | %d ms | %d ms | %.0f | %.0f |\n", size.Instances, size.Servers, w,
				r.Median.Milliseconds(), r.P99.Milliseconds(), r.Entry, r.Control)
		}
	}
	return nil
}

// measureCosts prints the processor time and the bytes of one exchange.
func measureCosts() error {
	fmt.Println("| instances | report | reply | to control | entry µs | control µs | to control µs |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, size := range exchangeSizes {
		c, err := exchange.MeasureCost(size)
		if err != nil {
			return err
		}
		fmt.Printf("| %d | %d B | %d B | %d B | %d | %d | %d |\n", size.Instances, c.ReportBytes, c.ReplyBytes, c.ShareBytes,
			c.Entry.Microseconds(), c.Control.Microseconds(), c.Share.Microseconds())
	}
	return nil
}

// comparePlacement prints what callers get from placement with each kind of knowledge.
func comparePlacement() {
	fmt.Println("| load | slow servers | known | late | rejected | p99 | busiest/mean |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, slow := range []float64{0, 0.3} {
		for _, u := range []float64{0.5, 0.7, 0.85, 0.95} {
			for _, k := range exchange.Knowledges() {
				o := exchange.Place(k, u, slow)
				fmt.Printf("| %.0f %% | %.0f %% | %s | %.2f %% | %.2f %% | %d ms | %.2f |\n", u*100, slow*100, k.Name, o.Late*100,
					o.Rejected*100, o.P99.Round(time.Millisecond).Milliseconds(), o.Busiest)
			}
		}
	}
}
