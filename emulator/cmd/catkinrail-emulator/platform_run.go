package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/platform/standin"
	"catkinrail.example/catkinrail/transport/clock"
)

// Load and timing of a run on the emulated platform.
const (
	platformCallers       = 4
	platformFlows         = 8
	platformRequestPause  = 20 * time.Millisecond
	platformShortRequests = 1
	platformLongRequests  = 100
	platformReadyTimeout  = 10 * time.Second
	// platformDrainGrace is the time after which a draining backend server must get
	// no new flows; the users set it.
	platformDrainGrace = 3 * time.Second
	// platformEvacuationGrace is the time after which an evacuated zone must get no new
	// flows; the users set it.
	platformEvacuationGrace = 5 * time.Second
	// platformEvacuation is the least duration of an evacuation, and
	// platformEvacuationJitter what a soak test adds at most.
	platformEvacuation       = 6 * time.Second
	platformEvacuationJitter = 3 * time.Second
	platformBackends         = 3
	// platformUploadFlows is the number of flows that upload platformUploadSize bytes
	// with each request.
	platformUploadFlows = 2
	platformUploadSize  = 40_000
	// platformLoss and platformRepeat are the shares of callers' packets that are
	// lost or sent twice in a soak test.
	platformLoss   = 0.01
	platformRepeat = 0.01
	// platformRecovery is the time after a loss of all instances within which everything works
	// again; the users set it.
	platformRecovery = 12 * time.Second
	// lossMessage is the line after which all instances may be killed.
	lossMessage = "acknowledged: the last document before the loss"
	// platformMaxChangeInterval is the maximum time between two changes in a soak
	// test.
	platformMaxChangeInterval = 1500 * time.Millisecond
)

// uploadRoute is the index of the route for uploads. The routes before it have a service
// each.
const uploadRoute = 2

// errViolation reports that a check of the run failed.
var errViolation = errors.New("a check of the run failed: see the printed counts")

// platformRunCommand emulates the platform's router, callers, backend servers and
// an operator for running instances.
func platformRunCommand(app *kingpin.Application) command {
	c := app.Command("platform-run", "Emulate the platform for running instances.")
	entries := c.Flag("entry", "Address of an entry instance; repeat it for all.").Required().Strings()
	controls := c.Flag("control", "Address of a control instance; repeat it for all.").Strings()
	list := c.Flag("control-list", "File with the addresses of the control instances, read before each call, in place of --control.").String()
	starts := c.Flag("starts", "File to which the IP address of an entry instance is appended before each of its starts.").String()
	loss := c.Flag("loss", "File that the caller creates after it has killed and restarted all instances, once the last document was acknowledged.").String()
	duration := c.Flag("duration", "Time during which callers open flows.").Default("10s").Duration()
	subnet := c.Flag("net", "Second octet of the loopback addresses, 1 to 254.").Default("1").Uint8()
	seed := c.Flag("soak", "Seed of a soak test: change documents and replace backend servers at random times, and lose packets.").Uint64()
	return command{clause: c, run: func(ctx context.Context) error {
		p := platformRun{duration: *duration, router: &standin.Router{}, seed: *seed, subnet: *subnet, controlList: *list, loss: *loss, starts: *starts}
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
		p.controlAddrs = controlAddrs(*controls)
		if len(p.control()) == 0 {
			return errNoControl
		}
		return p.run(ctx)
	}}
}

// errNoControl reports that no control instance was given.
var errNoControl = errors.New("no control instance is given: use --control or --control-list")

// controlAddrs returns the addresses at which control instances with the given IP addresses accept
// calls.
func controlAddrs(ips []string) []string {
	var list []string
	for _, ip := range ips {
		list = append(list, fmt.Sprintf("%s:%d", ip, standin.ControlPort))
	}
	return list
}

// platformRun is a run on the emulated platform.
type platformRun struct {
	duration time.Duration
	router   *standin.Router
	// controlList is the file that lists the control instances. If it is empty, they are
	// controlAddrs.
	controlList  string
	controlAddrs []string
	// loss is the file that exists once all instances were killed and restarted after the last
	// document; empty if that isn't done.
	loss string
	// starts is the file that lists the starts of entry instances.
	starts string
	counts standin.Counts
	// seed is the seed of a soak test, or zero for a plain run.
	seed uint64
	// subnet is the second octet of the loopback addresses.
	subnet byte

	mu       sync.Mutex
	backends []*standin.Backend
	// staleReads counts reads that returned an older document than the last one
	// acknowledged.
	staleReads int
	// check checks the documents in a soak test.
	check *documentCheck
	// digests holds what was read under each version.
	digests map[uint64]uint64
	// evacuated is the evacuated zone, empty if there is none, and evacuationEnd the time
	// at which to end that.
	evacuated     string
	evacuationEnd time.Time
	// evacuations counts the evacuations, and slowestOrder is the longest time until a start
	// or an end was acknowledged.
	evacuations  int
	slowestOrder time.Duration
}

// control returns the addresses of the control instances that accept calls.
func (p *platformRun) control() []string {
	if p.controlList == "" {
		return p.controlAddrs
	}
	b, err := os.ReadFile(p.controlList)
	if err != nil {
		fmt.Println(err)
		return p.controlAddrs
	}
	return controlAddrs(strings.Fields(string(b)))
}

// controlFrom returns a function that returns them from the n-th one on.
func (p *platformRun) controlFrom(n int) func() []string {
	return func() []string {
		list := p.control()
		return append(slices.Clone(list[n:]), list[:n]...)
	}
}

func (p *platformRun) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	routes := []standin.Route{
		{Listen: netip.MustParseAddrPort("198.18.0.1:8443"), Service: "feed"},
		{Listen: netip.MustParseAddrPort("198.18.0.1:8080"), Service: "booking"},
		{Listen: netip.MustParseAddrPort("198.18.0.1:8081"), Service: "booking", Kind: p.uploadKind()},
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, r := range routes[:uploadRoute] {
		for range platformBackends {
			p.startBackend(ctx, g, r.Service)
		}
	}
	g.Go(func() error { return p.router.Run(ctx) })
	op := standin.Operator{Control: p.control}
	readyCtx, stop := context.WithTimeout(ctx, platformReadyTimeout)
	defer stop()
	if err := op.Put(readyCtx, 1, append(routes, markerRoute(1))); err != nil {
		return err
	}
	p.check, p.digests = newDocumentCheck(p.router.Entries, p.subnet, p.starts), map[uint64]uint64{}
	p.check.recordSent(1)
	p.check.recordAcked(1)
	time.Sleep(time.Second)
	if p.seed != 0 {
		if err := p.check.start(ctx, g); err != nil {
			return err
		}
	}
	if err := p.runCallers(ctx, g, routes, &op); err != nil {
		return err
	}
	if p.seed != 0 {
		if err := p.checkCalm(ctx, routes, &op); err != nil {
			return err
		}
	}
	cancel()
	if err := g.Wait(); err != nil {
		return err
	}
	return p.report()
}

// uploadKind returns the kind of the route for uploads. Older control instances refuse
// documents with the kind "upload", and the demo also runs beside them.
func (p *platformRun) uploadKind() string {
	if p.seed != 0 {
		return "upload"
	}
	return "unsafe"
}

// startBackend starts a backend server of the service.
func (p *platformRun) startBackend(ctx context.Context, g *errgroup.Group, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.backends) + 1
	b := &standin.Backend{
		Name: fmt.Sprintf("i-%x", 0x7f000000+n), Service: service, Zone: string(rune('a' + n%platformBackends)),
		Addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.subnet, 9, byte(n)}), standin.PacketPort),
		Control: p.control, CallerPort: standin.PacketPort, DrainGrace: platformDrainGrace,
		EvacuationGrace: platformEvacuationGrace,
	}
	b.SetEvacuated(b.Zone == p.evacuated)
	p.backends = append(p.backends, b)
	g.Go(func() error { return b.Run(ctx) })
}

// runCallers runs the callers and, meanwhile, changes the system.
func (p *platformRun) runCallers(ctx context.Context, g *errgroup.Group, routes []standin.Route, op *standin.Operator) error {
	callCtx, stop := context.WithTimeout(ctx, p.duration)
	defer stop()
	var callers errgroup.Group
	for i := range platformCallers {
		caller := standin.Caller{
			Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.subnet, 8, byte(1 + i)}), standin.PacketPort),
			Router: p.router, Counts: &p.counts,
		}
		requests := platformShortRequests
		if i%2 == 0 {
			requests = platformLongRequests
		}
		callers.Go(func() error {
			return caller.Run(callCtx, routes[i%uploadRoute].Listen, platformFlows, requests, platformRequestPause)
		})
	}
	uploader := standin.Caller{
		Addr:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.subnet, 8, byte(1 + platformCallers)}), standin.PacketPort),
		Router: p.router, Counts: &p.counts, Body: platformUploadSize,
	}
	callers.Go(func() error {
		return uploader.Run(callCtx, routes[uploadRoute].Listen, platformUploadFlows, platformShortRequests, platformRequestPause)
	})
	callers.Go(func() error {
		if p.seed != 0 {
			return p.churn(callCtx, ctx, g, routes, op)
		}
		return p.changeOnce(ctx, routes, op)
	})
	return callers.Wait()
}

// changeOnce changes the document and drains a backend server, once.
func (p *platformRun) changeOnce(ctx context.Context, routes []standin.Route, op *standin.Operator) error {
	time.Sleep(p.duration / 3)
	fmt.Println("change: a route is added")
	if err := putInTime(ctx, op, 2, append(slices.Clone(routes), extraRoute(1))); err != nil {
		return err
	}
	fmt.Println("change: a backend server drains")
	p.backends[0].Drain()
	if err := p.checkRead(ctx, op, 2); err != nil {
		return err
	}
	fmt.Println("change: a zone is evacuated")
	err := p.evacuate(ctx, op, "c", platformEvacuation)
	if errors.Is(err, standin.ErrNotSupported) {
		fmt.Println("evacuations are not supported by an older control instance")
		return nil
	}
	if err != nil {
		return err
	}
	time.Sleep(time.Until(p.evacuationEnd))
	fmt.Println("change: the evacuation ends")
	return p.endEvacuation(ctx, op)
}

// evacuate orders the evacuation of a zone for a time.
func (p *platformRun) evacuate(ctx context.Context, op *standin.Operator, zone string, d time.Duration) error {
	began := time.Now()
	if err := inTime(ctx, func(ctx context.Context) error { return op.Evacuate(ctx, zone, true) }); err != nil {
		return err
	}
	p.evacuationEnd = time.Now().Add(d)
	p.slowestOrder = max(p.slowestOrder, time.Since(began))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuations++
	p.evacuated = zone
	for _, b := range p.backends {
		if b.Zone == zone {
			b.SetEvacuated(true)
		}
	}
	return nil
}

// endEvacuation orders the end of the evacuation.
func (p *platformRun) endEvacuation(ctx context.Context, op *standin.Operator) error {
	p.mu.Lock()
	zone := p.evacuated
	p.evacuated = ""
	for _, b := range p.backends {
		b.SetEvacuated(false)
	}
	p.mu.Unlock()
	began := time.Now()
	err := inTime(ctx, func(ctx context.Context) error { return op.Evacuate(ctx, zone, false) })
	p.slowestOrder = max(p.slowestOrder, time.Since(began))
	return err
}

// serves reports whether a backend server that control knows, other than except, takes new
// flows of the service while the zone is evacuated. The caller holds mu.
func (p *platformRun) serves(service, zone string, except *standin.Backend) bool {
	return slices.ContainsFunc(p.backends, func(b *standin.Backend) bool {
		return b != except && b.Service == service && b.Zone != zone && !b.Draining() && b.Reported()
	})
}

// churnEvacuation ends the evacuation in force if it is due. If there is none it evacuates a
// random zone now and then, unless a service would lose its last backend server.
func (p *platformRun) churnEvacuation(ctx context.Context, op *standin.Operator, rng *rand.Rand, routes []standin.Route) error {
	zone, hold := string(rune('a'+rng.IntN(platformBackends))), platformEvacuation+time.Duration(rng.Int64N(int64(platformEvacuationJitter)))
	if p.evacuated != "" {
		if time.Now().Before(p.evacuationEnd) {
			return nil
		}
		return p.endEvacuation(ctx, op)
	}
	p.mu.Lock()
	served := !slices.ContainsFunc(routes, func(r standin.Route) bool { return !p.serves(r.Service, zone, nil) })
	p.mu.Unlock()
	if !served {
		return nil
	}
	return p.evacuate(ctx, op, zone, hold)
}

// extraRoute returns the n-th route that callers don't use.
func extraRoute(n int) standin.Route {
	return standin.Route{Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, byte(n)}), 443), Service: "feed"}
}

// churn changes the document, replaces a backend server or evacuates a zone at random times
// until callCtx ends.
func (p *platformRun) churn(callCtx, ctx context.Context, g *errgroup.Group, routes []standin.Route, op *standin.Operator) error {
	rng, evacuations, orders := rand.New(rand.NewPCG(p.seed, 1)), rand.New(rand.NewPCG(p.seed, 2)), rand.New(rand.NewPCG(p.seed, 3))
	for version := uint64(2); callCtx.Err() == nil; version++ {
		clock.Sleep(callCtx, time.Duration(rng.Int64N(int64(platformMaxChangeInterval))))
		if evacuations.IntN(3) == 0 {
			if err := p.churnEvacuation(ctx, op, evacuations, routes); err != nil {
				return err
			}
		}
		if rng.IntN(2) == 0 {
			p.replaceBackend(ctx, g, routes[rng.IntN(uploadRoute)].Service)
			continue
		}
		list := routes
		for n := range rng.IntN(5) {
			list = append(list, extraRoute(n))
		}
		if err := p.putChecked(ctx, op, orders, version, append(list, markerRoute(version))); err != nil {
			return err
		}
		if err := p.checkRead(ctx, op, version); err != nil {
			return err
		}
	}
	return nil
}

// putChecked puts a document: by one operator or by two at once, to other control instances, with
// different routes. At times an invalid document of the same version comes before it, and the
// acknowledged document is sent again.
func (p *platformRun) putChecked(ctx context.Context, op *standin.Operator, rng *rand.Rand, version uint64, list []standin.Route) error {
	p.check.recordSent(version)
	if rng.IntN(4) == 0 {
		err := inTime(ctx, func(ctx context.Context) error { return op.PutInvalid(ctx, version, list) })
		if errors.Is(err, standin.ErrAccepted) {
			p.check.fail("invalid-accepted", "version %d", version)
		} else if err != nil {
			return err
		}
	}
	var g errgroup.Group
	if rng.IntN(4) == 0 {
		other := &standin.Operator{Control: p.controlFrom(1)}
		g.Go(func() error { return putInTime(ctx, other, version, append(slices.Clone(list), extraRoute(9))) })
	}
	g.Go(func() error { return putInTime(ctx, op, version, list) })
	if err := g.Wait(); err != nil {
		return err
	}
	p.check.recordAcked(version)
	if rng.IntN(4) == 0 {
		again := &standin.Operator{Control: p.controlFrom(2)}
		return putInTime(ctx, again, version, list)
	}
	return nil
}

// checkCalm waits until there were no faults for calmTime, and checks that another document is then
// in force everywhere in time.
func (p *platformRun) checkCalm(ctx context.Context, routes []standin.Route, op *standin.Operator) error {
	clock.Sleep(ctx, calmTime)
	version := p.check.sent + 1
	p.check.recordSent(version)
	if err := putInTime(ctx, op, version, append(slices.Clone(routes), markerRoute(version))); err != nil {
		return err
	}
	p.check.recordAcked(version)
	p.check.checkInForce(ctx, version)
	if err := p.checkRead(ctx, op, version); err != nil || p.loss == "" {
		return err
	}
	return p.checkLoss(ctx, routes, op)
}

// checkLoss puts a document, awaits the loss of a disk and of the power of all instances, and checks
// that the document is read afterwards and another one gets in force everywhere.
func (p *platformRun) checkLoss(ctx context.Context, routes []standin.Route, op *standin.Operator) error {
	version := p.check.sent + 1
	p.check.recordSent(version)
	if err := putInTime(ctx, op, version, append(slices.Clone(routes), markerRoute(version))); err != nil {
		return err
	}
	p.check.recordAcked(version)
	fmt.Println(lossMessage)
	ctx, cancel := context.WithTimeout(ctx, platformRecovery)
	defer cancel()
	for _, err := os.Stat(p.loss); err != nil; _, err = os.Stat(p.loss) {
		if !clock.Sleep(ctx, probePause) {
			return catkinrail.At(err, "await loss", p.loss)
		}
	}
	if err := p.checkRead(ctx, op, version); err != nil {
		return err
	}
	next := version + 1
	p.check.recordSent(next)
	if err := putInTime(ctx, op, next, append(slices.Clone(routes), markerRoute(next))); err != nil {
		return err
	}
	p.check.recordAcked(next)
	p.check.checkInForce(ctx, next)
	return p.checkRead(ctx, op, next)
}

// replaceBackend starts a backend server, and drains the oldest one of the service
// that isn't draining.
func (p *platformRun) replaceBackend(ctx context.Context, g *errgroup.Group, service string) {
	p.startBackend(ctx, g, service)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		if b.Service == service && !b.Draining() {
			if p.evacuated == "" || p.serves(service, p.evacuated, b) {
				b.Drain()
			}
			return
		}
	}
}

// operatorTimeout limits the time for which an operator sends an order or a read again. All
// control instances are back within a few seconds of each fault.
const operatorTimeout = 30 * time.Second

// putInTime puts a document. It fails if that isn't acknowledged within operatorTimeout.
func putInTime(ctx context.Context, op *standin.Operator, version uint64, list []standin.Route) error {
	return inTime(ctx, func(ctx context.Context) error { return op.Put(ctx, version, list) })
}

// inTime makes an operator's call, for operatorTimeout at most.
func inTime(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return call(ctx)
}

// checkRead reads the document and counts it as stale if it is older than the
// acknowledged version.
func (p *platformRun) checkRead(ctx context.Context, op *standin.Operator, acknowledged uint64) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	version, digest, err := op.Get(ctx)
	if err == nil && version < acknowledged {
		fmt.Printf("read version %d after version %d was acknowledged\n", version, acknowledged)
		p.staleReads++
	}
	if known, ok := p.digests[version]; err == nil && ok && known != digest {
		p.check.fail("contents-changed", "version %d", version)
	}
	p.digests[version] = digest
	return err
}

// report prints the counts. It returns an error if nothing was served, a flow was
// broken or refused, a request moved to another backend server, a flow was late or went to an
// evacuated zone, or a read was stale. It doesn't judge how long things took: unopened flows and unanswered
// requests are only printed.
func (p *platformRun) report() error {
	late, evacuated := int64(0), int64(0)
	for _, b := range p.backends {
		late += b.LateFlows.Load()
		evacuated += b.EvacuatedFlows.Load()
	}
	c := &p.counts
	fmt.Printf("requests-served: %d\nflows-refused: %d\nflows-unopened: %d\nrequests-silent: %d\n",
		c.Served.Load(), c.Refused.Load(), c.Unopened.Load(), c.Unanswered.Load())
	fmt.Printf("flows-broken: %d\nrequests-moved: %d\nflows-late: %d\nreads-stale: %d\n",
		c.Broken.Load(), c.Moved.Load(), late, p.staleReads)
	fmt.Printf("evacuations: %d\nflows-into-evacuated: %d\nslowest-evacuation-order: %s\n", p.evacuations, evacuated, p.slowestOrder.Round(time.Millisecond))
	fmt.Printf("documents-probed: %d\n", p.check.probes)
	for _, kind := range []string{"documents-back", "documents-late", "routes-missing", "invalid-accepted", "contents-changed"} {
		fmt.Printf("%s: %d\n", kind, p.check.failures[kind])
	}
	if len(p.check.failures) > 0 || evacuated > 0 || c.Served.Load() == 0 || c.Broken.Load() > 0 || c.Moved.Load() > 0 || c.Refused.Load() > 0 || late > 0 || p.staleReads > 0 {
		return errViolation
	}
	return nil
}
