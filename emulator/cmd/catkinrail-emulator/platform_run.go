package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail/platform/standin"
	"catkinrail.example/catkinrail/transport/clock"
)

// Load of the run on the stand-in platform.
const (
	platformCallers   = 4
	platformFlows     = 8
	platformPause     = 20 * time.Millisecond
	platformShortFlow = 1
	platformLongFlow  = 100
	platformReadyWait = 10 * time.Second
	// platformDrainBound is the users' bound on a draining backend server.
	platformDrainBound = 3 * time.Second
	platformBackends   = 3
	// platformLoss and platformRepeat are the shares of callers' packets that are
	// lost or sent twice in a soak.
	platformLoss   = 0.01
	platformRepeat = 0.01
	// platformChangePause is the longest time between two changes of a soak.
	platformChangePause = 1500 * time.Millisecond
)

// errPlatformRun means that callers saw what they must not see.
var errPlatformRun = errors.New("a promise was broken")

// platformRunCommand plays the router, callers, backend servers and an operator
// of the stand-in platform against running instances.
func platformRunCommand(app *kingpin.Application) command {
	c := app.Command("platform-run", "Play the platform against running instances.")
	entries := c.Flag("entry", "Address of an entry instance; repeat it for all.").Required().Strings()
	controls := c.Flag("control", "Address of a control instance; repeat it for all.").Required().Strings()
	span := c.Flag("duration", "How long callers call.").Default("10s").Duration()
	network := c.Flag("net", "Second number of the addresses, 1 to 254.").Default("1").Uint8()
	seed := c.Flag("soak", "Change documents and replace backend servers at random times, with this seed, and lose packets.").Uint64()
	return command{clause: c, run: func(ctx context.Context) error {
		p := platformRun{span: *span, router: &standin.Router{}, seed: *seed, net: *network}
		if p.seed != 0 {
			p.router.Loss, p.router.Repeat = platformLoss, platformRepeat
		}
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
	// seed is that of a soak, zero for a plain run.
	seed uint64
	net  byte

	mu       sync.Mutex
	backends []*standin.Backend
	// stale counts reads that were older than an acknowledged document.
	stale int
}

func (p *platformRun) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	routes := []standin.Route{
		{Listen: netip.MustParseAddrPort("198.18.0.1:8443"), Service: "feed"},
		{Listen: netip.MustParseAddrPort("198.18.0.1:8080"), Service: "booking"},
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, r := range routes {
		for range platformBackends {
			p.start(ctx, g, r.Service)
		}
	}
	g.Go(func() error { return p.router.Run(ctx) })
	op := standin.Operator{Control: p.control}
	wait, stop := context.WithTimeout(ctx, platformReadyWait)
	defer stop()
	if err := op.Put(wait, 1, routes); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := p.call(ctx, g, routes, &op); err != nil {
		return err
	}
	cancel()
	if err := g.Wait(); err != nil {
		return err
	}
	return p.report()
}

// start starts a backend server of the service.
func (p *platformRun) start(ctx context.Context, g *errgroup.Group, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.backends) + 1
	b := &standin.Backend{
		Name: fmt.Sprintf("i-%x", 0x7f000000+n), Service: service, Zone: string(rune('a' + n%platformBackends)),
		Addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.net, 9, byte(n)}), standin.PacketPort),
		Control: p.control, CallerPort: standin.PacketPort, DrainGrace: platformDrainBound,
	}
	p.backends = append(p.backends, b)
	g.Go(func() error { return b.Run(ctx) })
}

// call runs the callers, with changes meanwhile.
func (p *platformRun) call(ctx context.Context, g *errgroup.Group, routes []standin.Route, op *standin.Operator) error {
	calling, stop := context.WithTimeout(ctx, p.span)
	defer stop()
	var callers errgroup.Group
	for i := range platformCallers {
		caller := standin.Caller{
			Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.net, 8, byte(1 + i)}), standin.PacketPort),
			Router: p.router, Counts: &p.counts,
		}
		requests := platformShortFlow
		if i%2 == 0 {
			requests = platformLongFlow
		}
		callers.Go(func() error {
			return caller.Run(calling, routes[i%len(routes)].Listen, platformFlows, requests, platformPause)
		})
	}
	callers.Go(func() error {
		if p.seed != 0 {
			return p.churn(calling, ctx, g, routes, op)
		}
		return p.change(ctx, routes, op)
	})
	return callers.Wait()
}

// change changes the document once and drains a backend server.
func (p *platformRun) change(ctx context.Context, routes []standin.Route, op *standin.Operator) error {
	time.Sleep(p.span / 3)
	fmt.Println("change: a route more")
	if err := op.Put(ctx, 2, append(routes, extraRoute(1))); err != nil {
		return err
	}
	fmt.Println("change: a backend server drains")
	p.backends[0].Drain()
	return p.readBack(ctx, op, 2)
}

// extraRoute returns the n-th route without traffic.
func extraRoute(n int) standin.Route {
	return standin.Route{Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(n)}), 443), Service: "feed"}
}

// churn changes documents and replaces backend servers at random times until
// calling ends.
func (p *platformRun) churn(calling, ctx context.Context, g *errgroup.Group, routes []standin.Route, op *standin.Operator) error {
	rng := rand.New(rand.NewPCG(p.seed, 1))
	for version := uint64(2); calling.Err() == nil; version++ {
		clock.Sleep(calling, time.Duration(rng.Int64N(int64(platformChangePause))))
		if rng.IntN(2) == 0 {
			p.replace(ctx, g, routes[rng.IntN(len(routes))].Service)
			continue
		}
		list := routes
		for n := range rng.IntN(5) {
			list = append(list, extraRoute(n))
		}
		if err := op.Put(ctx, version, list); err != nil {
			return err
		}
		if err := p.readBack(ctx, op, version); err != nil {
			return err
		}
	}
	return nil
}

// replace starts a backend server and lets the oldest of its service drain.
func (p *platformRun) replace(ctx context.Context, g *errgroup.Group, service string) {
	p.start(ctx, g, service)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		if b.Service == service && !b.Draining() {
			b.Drain()
			return
		}
	}
}

// readBack notes whether the document that is read is older than one that was
// acknowledged.
func (p *platformRun) readBack(ctx context.Context, op *standin.Operator, acknowledged uint64) error {
	version, err := op.Get(ctx)
	if err == nil && version < acknowledged {
		fmt.Printf("read version %d after version %d was acknowledged\n", version, acknowledged)
		p.stale++
	}
	return err
}

// report prints what callers, backend servers and the operator saw, and fails if
// a promise was broken. How long things took is not judged.
func (p *platformRun) report() error {
	late := int64(0)
	for _, b := range p.backends {
		late += b.LateFlows.Load()
	}
	c := &p.counts
	fmt.Printf("requests-served: %d\nflows-refused: %d\nflows-unopened: %d\nrequests-silent: %d\n",
		c.Served.Load(), c.Refused.Load(), c.Unopened.Load(), c.Unanswered.Load())
	fmt.Printf("flows-broken: %d\nrequests-moved: %d\nflows-late: %d\nreads-stale: %d\n",
		c.Broken.Load(), c.Moved.Load(), late, p.stale)
	if c.Served.Load() == 0 || c.Broken.Load() > 0 || c.Moved.Load() > 0 || c.Refused.Load() > 0 || late > 0 || p.stale > 0 {
		return errPlatformRun
	}
	return nil
}
