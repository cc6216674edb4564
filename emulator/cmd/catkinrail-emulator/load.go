package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/emulator/caller"
	"catkinrail.example/catkinrail/emulator/fabric"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/udp"
)

// errBrokenFlows reports that flows broke or did not finish.
var errBrokenFlows = errors.New("some flows did not get complete answers from one backend server")

// loadCommand runs callers and the fabric, and checks the answers.
func loadCommand(app *kingpin.Application) command {
	c := app.Command("load", "Run callers behind a fabric and check their answers.")
	listen := c.Flag("callers", "Address on which callers receive answers.").Required().String()
	entries := c.Flag("entry", "Packet and health addresses of an entry instance, joined by '='; repeat it for all.").Required().Strings()
	flows := c.Flag("flows", "Flows to run, as service,address,protocol,flows,interval,requests,chunks; repeat it for several.").Required().Strings()
	duration := c.Flag("duration", "Time after which flows finish and close.").Default("20s").Duration()
	ramp := c.Flag("ramp", "Time over which flows begin.").Default("10s").Duration()
	finish := c.Flag("finish", "Time limit for flows to finish.").Default("12s").Duration()
	return command{clause: c, run: func(ctx context.Context) error {
		profiles, err := parseProfiles(*flows)
		if err != nil {
			return err
		}
		f, err := parseFabric(*entries)
		if err != nil {
			return err
		}
		return runLoad(ctx, f, profiles, *listen, *ramp, *duration, *finish)
	}}
}

// parseFabric parses entry instances as PACKETS=HEALTH.
func parseFabric(entries []string) (*fabric.Fabric, error) {
	var list []fabric.Entry
	for _, e := range entries {
		packets, health, _ := strings.Cut(e, "=")
		addr, err := netip.ParseAddrPort(packets)
		if err != nil {
			return nil, fmt.Errorf("--entry %q: %w", e, err)
		}
		list = append(list, fabric.Entry{Packets: addr, ReadinessAddr: health})
	}
	return fabric.New(list), nil
}

// parseProfiles parses profiles in the format of the flag --flows.
func parseProfiles(list []string) ([]*caller.Profile, error) {
	var out []*caller.Profile
	for _, text := range list {
		p := &caller.Profile{Proto: catkinrail.ProtoTCP}
		parts := strings.Split(text, ",")
		if len(parts) != 7 {
			return nil, fmt.Errorf("--flows %q: must have 7 parts", text)
		}
		var err error
		p.Service = parts[0]
		if p.Addr, err = netip.ParseAddrPort(parts[1]); err != nil {
			return nil, fmt.Errorf("--flows %q: %w", text, err)
		}
		if parts[2] == "udp" {
			p.Proto = catkinrail.ProtoUDP
		}
		if p.Interval, err = time.ParseDuration(parts[4]); err != nil {
			return nil, fmt.Errorf("--flows %q: %w", text, err)
		}
		numbers := strings.Join([]string{parts[3], parts[5], parts[6]}, " ")
		if _, err := fmt.Sscan(numbers, &p.Flows, &p.Requests, &p.Chunks); err != nil {
			return nil, fmt.Errorf("--flows %q: %w", text, err)
		}
		out = append(out, p)
	}
	return out, nil
}

// runLoad runs the profiles' flows for duration, lets them finish and reports.
func runLoad(ctx context.Context, f *fabric.Fabric, profiles []*caller.Profile, listen string, ramp, duration, finish time.Duration) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return fmt.Errorf("--callers: %w", err)
	}
	conn, err := udp.Listen(ctx, addr)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, runCtx := errgroup.WithContext(runCtx)
	callers := caller.New(clock.New(), f, conn)
	for _, p := range profiles {
		callers.Add(p, ramp)
	}
	g.Go(func() error { return f.Run(runCtx) })
	callers.Run(runCtx, g)
	clock.Sleep(runCtx, duration)
	callers.FinishFlows()
	awaitFlowsEnd(runCtx, callers, profiles, finish)
	cancel()
	if err := g.Wait(); err != nil {
		return err
	}
	return report(callers.Results(profiles))
}

// awaitFlowsEnd waits until all flows have ended, until the timeout or until ctx
// ends.
func awaitFlowsEnd(ctx context.Context, c *caller.Callers, profiles []*caller.Profile, timeout time.Duration) {
	const poll = 100 * time.Millisecond
	for waited := time.Duration(0); waited < timeout && ctx.Err() == nil; waited += poll {
		open := 0
		for _, r := range c.Results(profiles) {
			open += r.Open
		}
		if open == 0 {
			return
		}
		clock.Sleep(ctx, poll)
	}
}

// report prints the results, and returns an error if a flow broke or did not finish.
func report(results []caller.Result) error {
	served, broken := 0, 0
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tSERVED\tBROKEN\tUNFINISHED\tREQUESTS\tSLOTS\tIMBALANCE BY SLOT")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\n", r.Service, r.Served, r.Broken, r.Open, r.Requests, len(r.BySlot), r.Imbalance)
		served += r.Served
		broken += r.Broken + r.Open
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		for _, cause := range r.Causes {
			fmt.Printf("broken: %s: %s\n", r.Service, cause)
		}
	}
	fmt.Printf("flows-served: %d\n", served)
	fmt.Printf("flows-broken: %d\n", broken)
	if broken > 0 {
		return errBrokenFlows
	}
	return nil
}
