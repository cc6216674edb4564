package main

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"catkinrail.example/catkinrail/emulator/control"
	"catkinrail.example/catkinrail/platform/standin"
	"catkinrail.example/catkinrail/transport/clock"
)

// platformDocumentsCommand puts many versions of a large document and measures the memory of
// the instances meanwhile.
func platformDocumentsCommand(app *kingpin.Application) command {
	c := app.Command("platform-documents", "Put many versions of a large document and measure the memory of running instances.")
	controls := c.Flag("control", "Address of a control instance; repeat it for all.").Required().Strings()
	routes := c.Flag("routes", "Number of routes in each document.").Default("3043").Int()
	versions := c.Flag("versions", "Number of documents.").Default("700").Int()
	interval := c.Flag("interval", "Least time between two documents.").Default("95ms").Duration()
	processes := c.Flag("process", "NAME=PID of a process to measure; repeat it for all.").StringMap()
	return command{clause: c, run: func(ctx context.Context) error {
		m := documentsMeasurement{processes: map[string]int{}, peaks: map[string]float64{}}
		for name, text := range *processes {
			pid, err := strconv.Atoi(text)
			if err != nil {
				return fmt.Errorf("process %s: %w", name, err)
			}
			m.processes[name] = pid
		}
		addrs := controlAddrs(*controls)
		m.op.Control = func() []string { return addrs }
		return m.run(ctx, *routes, *versions, *interval)
	}}
}

// documentsMeasurement holds what was measured while documents were put.
type documentsMeasurement struct {
	op standin.Operator
	// processes maps names to process IDs, peaks to the largest resident sizes in MiB.
	processes map[string]int
	peaks     map[string]float64
}

func (m *documentsMeasurement) run(ctx context.Context, routes, versions int, interval time.Duration) error {
	var slowest time.Duration
	for version := range versions {
		began := time.Now()
		if err := putInTime(ctx, &m.op, uint64(version+1), manyRoutes(version, routes)); err != nil {
			return err
		}
		slowest = max(slowest, time.Since(began))
		m.sample()
		clock.Sleep(ctx, interval-time.Since(began))
	}
	fmt.Printf("documents: %d\nroutes: %d\nslowest-acknowledgement: %s\n", versions, routes, slowest.Round(time.Millisecond))
	for name, peak := range m.peaks {
		fmt.Printf("peak-%s: %.1f MB\n", name, peak)
	}
	return nil
}

// manyRoutes returns routes of which one differs from version to version.
func manyRoutes(version, n int) []standin.Route {
	list := make([]standin.Route, n)
	for i := range list {
		list[i] = standin.Route{Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), uint16(1024+i%40000)), Service: "feed"}
	}
	list[version%n].Kind = "download"
	return list
}

// sample records the resident sizes of the processes.
func (m *documentsMeasurement) sample() {
	for name, pid := range m.processes {
		m.peaks[name] = max(m.peaks[name], control.ResidentMB(pid))
	}
}
