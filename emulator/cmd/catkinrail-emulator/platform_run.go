package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail/platform/standin"
)

// Load of the run on the stand-in platform.
const (
	platformCallers     = 4
	platformFlows       = 8
	platformPause       = 20 * time.Millisecond
	platformShortFlow   = 1
	platformLongFlow    = 100
	platformReadyWait   = 10 * time.Second
	platformUnopenedMax = 2 // percent of the flows, while an entry instance is lost
)

// errPlatformRun means that callers saw what they must not see.
var errPlatformRun = errors.New("callers saw broken or lost flows")

// platformRunCommand plays the router, callers, backend servers and an operator
// of the stand-in platform against running instances.
func platformRunCommand(app *kingpin.Application) command {
	c := app.Command("platform-run", "Play the platform against running instances.")
	entries := c.Flag("entry", "Address of an entry instance; repeat it for all.").Required().Strings()
	controls := c.Flag("control", "Address of a control instance; repeat it for all.").Required().Strings()
	span := c.Flag("duration", "How long callers call.").Default("10s").Duration()
	return command{clause: c, run: func(ctx context.Context) error {
		p := platformRun{span: *span, router: &standin.Router{}}
		for _, text := range *entries {
			ip, err := netip.ParseAddr(text)
			if err != nil {
				return err
			}
			p.router.Entries = append(p.router.Entries, standin.Entry{
				Packets:   netip.AddrPortFrom(ip, standin.PacketPort),
				Readiness: netip.AddrPortFrom(ip, standin.ReadinessPort),
			})
		}
		for _, ip := range *controls {
			p.control = append(p.control, fmt.Sprintf("%s:%d", ip, standin.ControlPort))
		}
		return p.run(ctx)
	}}
}

// platformRun is one run.
type platformRun struct {
	span    time.Duration
	router  *standin.Router
	control []string
	counts  standin.Counts
}

func (p *platformRun) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	routes := []standin.Route{
		{Listen: netip.MustParseAddrPort("198.18.0.1:8443"), Service: "feed"},
		{Listen: netip.MustParseAddrPort("198.18.0.1:8080"), Service: "booking"},
	}
	g, ctx := errgroup.WithContext(ctx)
	backends := p.backends(routes)
	for _, b := range backends {
		g.Go(func() error { return b.Run(ctx) })
	}
	g.Go(func() error { return p.router.Run(ctx) })
	op := standin.Operator{Control: p.control}
	wait, stop := context.WithTimeout(ctx, platformReadyWait)
	defer stop()
	if err := op.Put(wait, 1, routes); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := p.call(ctx, routes, backends, &op); err != nil {
		return err
	}
	cancel()
	if err := g.Wait(); err != nil {
		return err
	}
	return p.report()
}

// backends returns three backend servers for each route.
func (p *platformRun) backends(routes []standin.Route) []*standin.Backend {
	var list []*standin.Backend
	for i, r := range routes {
		for k := range 3 {
			n := 1 + 3*i + k
			list = append(list, &standin.Backend{
				Name: fmt.Sprintf("i-%x", 0x7f000000+n), Service: r.Service, Zone: string(rune('a' + k)),
				Addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 9, byte(n)}), standin.PacketPort),
				Control: p.control, CallerPort: standin.PacketPort,
			})
		}
	}
	return list
}

// call runs the callers, with a change of the document and a draining backend
// server meanwhile.
func (p *platformRun) call(ctx context.Context, routes []standin.Route, backends []*standin.Backend, op *standin.Operator) error {
	calling, stop := context.WithTimeout(ctx, p.span)
	defer stop()
	var g errgroup.Group
	for i := range platformCallers {
		caller := standin.Caller{
			Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 8, byte(1 + i)}), standin.PacketPort),
			Router: p.router, Counts: &p.counts,
		}
		requests := platformShortFlow
		if i%2 == 0 {
			requests = platformLongFlow
		}
		g.Go(func() error {
			return caller.Run(calling, routes[i%len(routes)].Listen, platformFlows, requests, platformPause)
		})
	}
	g.Go(func() error {
		time.Sleep(p.span / 3)
		fmt.Println("change: a route more")
		if err := op.Put(ctx, 2, append(routes, standin.Route{Listen: netip.MustParseAddrPort("198.18.0.2:443"), Service: "feed"})); err != nil {
			return err
		}
		fmt.Println("change: a backend server drains")
		backends[0].Drain()
		version, err := op.Get(ctx)
		if err == nil && version != 2 {
			err = fmt.Errorf("document read back has version %d, not 2", version)
		}
		return err
	})
	return g.Wait()
}

func (p *platformRun) report() error {
	served, unopened := p.counts.Served.Load(), p.counts.Unopened.Load()
	fmt.Printf("requests-served: %d\nflows-refused: %d\nflows-unopened: %d\nflows-broken: %d\nrequests-moved: %d\n",
		served, p.counts.Refused.Load(), unopened, p.counts.Broken.Load(), p.counts.Moved.Load())
	if served == 0 || p.counts.Broken.Load() > 0 || p.counts.Moved.Load() > 0 || p.counts.Refused.Load() > 0 ||
		unopened*100 > served*platformUnopenedMax {
		return errPlatformRun
	}
	return nil
}
