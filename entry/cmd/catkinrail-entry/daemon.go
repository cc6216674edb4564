package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/entry/backend"
	"catkinrail.example/catkinrail/entry/control"
	"catkinrail.example/catkinrail/entry/fabric"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/metricspage"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
	"catkinrail.example/catkinrail/transport/udp"
)

// Timing of a graceful shutdown.
const (
	drainPollInterval = 100 * time.Millisecond
	// drainIdleTime is the time without a packet after which a drained instance exits.
	drainIdleTime = 2 * time.Second
	// leaveReportTime is the time for the last report to reach control.
	leaveReportTime = time.Second
	logInterval     = 10 * time.Second
)

// daemon is an entry instance that routes by bucket.
type daemon struct {
	cfg    *Settings
	log    *logs.Logger
	clock  *clock.System
	engine *route.Engine
	stats  *fabric.Stats
	client *control.Client
}

// runDaemon runs the instance until a signal has stopped it.
func runDaemon(ctx context.Context, cfg *Settings, log *logs.Logger, signals <-chan os.Signal) error {
	creds, err := rpc.NewCredentials(cfg.TLS)
	if err != nil {
		return err
	}
	if creds == nil {
		log.Info().Msg("TLS is off; only loopback addresses are accepted")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	reg := metrics.NewRegistry()
	d := &daemon{cfg: cfg, log: log, clock: clock.New(), stats: fabric.NewStats(reg)}
	d.engine = route.New(route.Config{Zone: cfg.Zone})
	registry := backend.New(d.clock, cfg.Zone, d.engine.ServiceKnown)
	d.client = control.New(control.Config{
		Registration: plan.Registration{
			Name: cfg.Name, Zone: cfg.Zone, Relay: cfg.relay, Incarnation: uint64(d.clock.Nanos()),
		},
		Peers: cfg.Control, Credentials: creds, Clock: d.clock, Engine: d.engine, Registry: registry,
		Stats: d.stats, Log: log, Limiter: logs.NewLimiter(d.clock, logInterval),
	})
	if err := d.startWorkers(ctx, g); err != nil {
		return err
	}
	g.Go(func() error { return d.client.Run(ctx) })
	g.Go(func() error { return d.serveAnnounce(ctx, registry) })
	if cfg.Metrics != "" {
		g.Go(func() error { return d.serveMetrics(ctx, reg) })
	}
	g.Go(func() error {
		defer cancel()
		d.awaitShutdown(ctx, signals)
		return nil
	})
	log.Info().Str("fabric", cfg.Fabric).Msg("started")
	return g.Wait()
}

// startWorkers opens the sockets and runs a worker for each.
func (d *daemon) startWorkers(ctx context.Context, g *errgroup.Group) error {
	for i := range d.cfg.Workers + 1 {
		relaySocket := i == d.cfg.Workers
		addr := d.cfg.fabric
		if relaySocket {
			addr = d.cfg.relay
		}
		conn, err := udp.Listen(ctx, addr)
		if err != nil {
			return err
		}
		w := fabric.New(d.engine, d.clock, conn, d.cfg.relayKey, d.stats, relaySocket)
		g.Go(func() error { return w.Run(ctx) })
	}
	g.Go(func() error {
		return fabric.RunTicks(ctx, d.engine, d.clock, d.cfg.relayKey, d.cfg.relay.Addr())
	})
	return nil
}

func (d *daemon) serveAnnounce(ctx context.Context, registry *backend.Registry) error {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/announce", registry)
	return metricspage.ServeHTTP(ctx, d.cfg.Announce, mux)
}

// errNotReady is returned to readiness checks while the instance should get no packets.
var errNotReady = errors.New("no lease, no configuration, or leaving")

func (d *daemon) serveMetrics(ctx context.Context, reg metrics.Registry) error {
	records := metrics.GetOrRegisterGauge("flow-records", reg)
	version := metrics.GetOrRegisterGauge("version", reg)
	leased := metrics.GetOrRegisterGauge("leased", reg)
	ready := func() error {
		records.Update(int64(d.engine.Records()))
		version.Update(int64(d.engine.Version()))
		leaseHeld := d.engine.Leased(d.clock.Nanos())
		leased.Update(0)
		if leaseHeld {
			leased.Update(1)
		}
		if d.client.Ready() && (leaseHeld || d.engine.Partitioned()) {
			return nil
		}
		return errNotReady
	}
	return metricspage.Serve(ctx, d.cfg.Metrics, "catkinrail_entry", reg, ready)
}

// awaitShutdown waits for a signal, leaves the view and keeps forwarding packets. It
// returns when the view has released the instance and no packets arrive any more, at
// the deadline, or at a second signal.
func (d *daemon) awaitShutdown(ctx context.Context, signals <-chan os.Signal) {
	if !awaitStopSignal(ctx, signals) {
		return
	}
	d.log.Info().Msg("leaving")
	d.client.Leave()
	deadline := time.NewTimer(d.cfg.DrainDeadline)
	defer deadline.Stop()
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	began := d.clock.Nanos()
	for {
		select {
		case <-signals:
			d.log.Info().Msg("stopped by a second signal")
			return
		case <-deadline.C:
			d.log.Info().Msg("stopped at the drain deadline")
			d.reportLeft(ctx)
			return
		case <-ctx.Done():
			return
		case <-poll.C:
		}
		idle := time.Duration(d.clock.Nanos() - max(began, d.stats.LastPacket()))
		if d.engine.Released() && idle > drainIdleTime {
			d.reportLeft(ctx)
			return
		}
	}
}

// awaitStopSignal waits for a signal to stop. It returns false if ctx ends first.
func awaitStopSignal(ctx context.Context, signals <-chan os.Signal) bool {
	select {
	case sig := <-signals:
		return sig != nil
	case <-ctx.Done():
		return false
	}
}

// reportLeft makes the client report that the instance has left, and gives it time to.
func (d *daemon) reportLeft(ctx context.Context) {
	d.client.CompleteLeave()
	clock.Sleep(ctx, leaveReportTime)
}
