package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/entry/follow"
	"catkinrail.example/catkinrail/entry/load"
	"catkinrail.example/catkinrail/entry/packet"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/platform"
	"catkinrail.example/catkinrail/protocol/metricspage"
	"catkinrail.example/catkinrail/settings"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
	"catkinrail.example/catkinrail/transport/udp"
)

// Timing of an entry instance that routes by token.
const (
	// expireInterval is the interval between calls of the engine's Tick, which expires
	// flows, requests and incarnations.
	expireInterval = time.Second
	// minDrainTime is the shortest time for which packets still arrive after readiness
	// ends: the platform stops sending after two failed checks, 500 ms apart.
	minDrainTime = 1500 * time.Millisecond
	// tokenDrainIdleTime is the time without a packet after which the instance exits.
	tokenDrainIdleTime = 700 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for exiting.
	exitMargin = 500 * time.Millisecond
)

// tokenDaemon is an entry instance that routes by token.
type tokenDaemon struct {
	file    *platform.File
	node    *platform.Node
	log     *logs.Logger
	clock   *clock.System
	router  *packet.Router
	client  *follow.Client
	loads   *load.Client
	worker  *packet.Worker
	leaving chan struct{}
	// reloadSignals receives SIGHUP, at which the settings are read again.
	reloadSignals chan os.Signal
}

// loadPlatform reads the platform's settings file.
func (d *tokenDaemon) loadPlatform() error {
	file, err := platform.ReadFile()
	if err != nil {
		return err
	}
	n, err := platform.ParseNode(file.Name, file.Content)
	if err != nil {
		return err
	}
	if !n.Packets.IsValid() || !n.Readiness.IsValid() {
		return catkinrail.At(errNoPackets, "read settings", file.Name)
	}
	d.file, d.node = file, n
	return nil
}

// errNoPackets reports settings without the address for packets or for readiness.
var errNoPackets = errors.New("an entry instance needs listen.datagram_addr and listen.readiness_addr")

// run runs the instance until a signal has stopped it.
func (d *tokenDaemon) run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	d.clock = clock.New()
	d.leaving = make(chan struct{})
	creds, err := rpc.NewCredentials(rpc.TLSSettings{TrustedNetwork: true})
	if err != nil {
		return err
	}
	reg := metrics.NewRegistry()
	d.router = packet.NewRouter(token.New(d.node.Zone, uint64(d.clock.Nanos())), d.clock, clock.Wall{})
	d.client = follow.New(d.node.Name, d.node.Zone, seedAddrs(d.node), creds, d.clock, d.router, d.log)
	d.loads = load.New(load.Config{
		Name: d.node.Name, Zone: d.node.Zone, Process: rand.Uint64(), Creds: creds, Router: d.router, Follow: d.client,
		Clock: d.clock, Log: d.log, Metrics: reg,
	})
	conn, err := udp.Listen(ctx, d.node.Packets)
	if err != nil {
		return err
	}
	codec := platform.PacketCodec{CallerPort: d.node.Packets.Port()}
	d.worker = packet.New(d.router, conn, codec, d.clock, d.log, reg)
	d.worker.SetLink(d.node.LinkBits)
	d.loads.SetLink(d.node.LinkBits)
	g.Go(func() error { return d.worker.Run(ctx) })
	g.Go(func() error { return d.client.Run(ctx) })
	g.Go(func() error { return d.loads.Run(ctx) })
	g.Go(func() error {
		return metricspage.ServeHTTP(ctx, d.node.Readiness.String(), platform.ReadinessHandler(d.ready))
	})
	g.Go(func() error {
		return metricspage.Serve(ctx, d.node.Metrics.String(), "catkinrail_entry", reg, d.ready)
	})
	g.Go(func() error { return d.runExpiry(ctx, newZoneGauges(reg)) })
	g.Go(func() error {
		settings.Watch(ctx, d.file.Name, d.file.Content, d.reloadSignals, d.log, d.reload)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		d.awaitShutdown(ctx, signals)
		return nil
	})
	d.log.Info().Stringer("packets", d.node.Packets).Str("zone", string(d.node.Zone)).Strs("seeds", seedAddrs(d.node)).Msg("started")
	return g.Wait()
}

func seedAddrs(n *platform.Node) []string {
	var list []string
	for _, seed := range n.Seeds {
		list = append(list, seed.String())
	}
	return list
}

// ready returns an error if the platform should send no packets to this instance.
func (d *tokenDaemon) ready() error {
	select {
	case <-d.leaving:
		return errNotReady
	default:
	}
	if !d.client.Ready() {
		return errNotReady
	}
	return nil
}

// runExpiry expires what the engine tracks and updates the gauges of zones, until ctx ends.
func (d *tokenDaemon) runExpiry(ctx context.Context, zones *zoneGauges) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.router.Do(func(e *token.Engine, now int64) {
				e.Tick(now)
				zones.read(e)
			})
			zones.update()
			d.worker.LogLoad()
		}
	}
}

// awaitShutdown waits for a signal, ends readiness and drains the instance.
func (d *tokenDaemon) awaitShutdown(ctx context.Context, signals <-chan os.Signal) {
	if !awaitStopSignal(ctx, signals) {
		return
	}
	d.log.Info().Msg("leaving")
	close(d.leaving)
	d.drain(ctx)
}

// reload applies the settings that may change while the instance runs: the seeds and the
// link's rate.
func (d *tokenDaemon) reload(b []byte) error {
	n, err := platform.ParseNode(d.file.Name, b)
	if err != nil {
		return err
	}
	d.client.SetSeeds(seedAddrs(n))
	d.worker.SetLink(n.LinkBits)
	d.loads.SetLink(n.LinkBits)
	return nil
}

// drain waits while the worker forwards the packets that still arrive. It returns when
// none arrive any more, or shortly before the platform kills the process.
func (d *tokenDaemon) drain(ctx context.Context) {
	deadline := time.NewTimer(d.node.Grace - exitMargin)
	defer deadline.Stop()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	began := d.clock.Nanos()
	for {
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			d.log.Info().Msg("stopped at the drain deadline")
			return
		case <-poll.C:
		}
		now := d.clock.Nanos()
		if now-began > int64(minDrainTime) && now-d.worker.LastPacket() > int64(tokenDrainIdleTime) {
			return
		}
	}
}
