package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/entry/follow"
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
	// forgetInterval is the time between two looks for flows that are over.
	forgetInterval = time.Second
	// rotationTime is the least time after readiness ends for which packets still
	// come: two checks, half a second apart, must have missed.
	rotationTime = 1500 * time.Millisecond
	// tokenQuietTime is how long no packet must have come before the instance ends.
	tokenQuietTime = 700 * time.Millisecond
	// killMargin is the part of the grace period that is left for ending.
	killMargin = 500 * time.Millisecond
)

// tokenDaemon is an entry instance that routes by token.
type tokenDaemon struct {
	file    *platform.File
	node    *platform.Node
	log     *logs.Logger
	clock   *clock.System
	router  *packet.Router
	client  *follow.Client
	worker  *packet.Worker
	leaving chan struct{}
	// hup brings the signals that the settings have changed.
	hup chan os.Signal
}

// loadPlatform reads the settings that the platform gives.
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

// errNoPackets reports settings that name no address for packets.
var errNoPackets = errors.New("an entry instance needs addresses for packets and readiness")

// run runs the instance until a signal has ended it.
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
	d.router = packet.NewRouter(token.New(d.node.Zone, uint64(d.clock.Nanos())), d.clock)
	d.client = follow.New(d.node.Name, d.node.Zone, seedsOf(d.node), creds, d.clock, d.router, d.log)
	conn, err := udp.Listen(ctx, d.node.Packets)
	if err != nil {
		return err
	}
	codec := platform.PacketCodec{CallerPort: d.node.Packets.Port()}
	d.worker = packet.New(d.router, conn, codec, d.clock, d.log, reg)
	g.Go(func() error { return d.worker.Run(ctx) })
	g.Go(func() error { return d.client.Run(ctx) })
	g.Go(func() error {
		return metricspage.ServeHTTP(ctx, d.node.Readiness.String(), platform.ReadinessHandler(d.ready))
	})
	g.Go(func() error {
		return metricspage.Serve(ctx, d.node.Metrics.String(), "catkinrail_entry", reg, d.ready)
	})
	g.Go(func() error { return d.forget(ctx) })
	g.Go(func() error {
		settings.Watch(ctx, d.file.Name, d.file.Content, d.hup, d.log, d.reload)
		return nil
	})
	g.Go(func() error {
		defer cancel()
		d.awaitSignals(ctx, signals)
		return nil
	})
	d.log.Info().Stringer("packets", d.node.Packets).Str("zone", string(d.node.Zone)).Strs("seeds", seedsOf(d.node)).Msg("started")
	return g.Wait()
}

func seedsOf(n *platform.Node) []string {
	var list []string
	for _, seed := range n.Seeds {
		list = append(list, seed.String())
	}
	return list
}

// ready tells the platform's router whether to send packets here.
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

func (d *tokenDaemon) forget(ctx context.Context) error {
	t := time.NewTicker(forgetInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			d.router.Do(func(e *token.Engine, now int64) { e.Tick(now) })
		}
	}
}

// awaitSignals returns once a signal has ended the instance and it may go.
func (d *tokenDaemon) awaitSignals(ctx context.Context, signals <-chan os.Signal) {
	if !awaitEnd(ctx, signals) {
		return
	}
	d.log.Info().Msg("leaving")
	close(d.leaving)
	d.drain(ctx)
}

// reload takes the settings that may change while the instance runs.
func (d *tokenDaemon) reload(b []byte) error {
	n, err := platform.ParseNode(d.file.Name, b)
	if err != nil {
		return err
	}
	d.client.SetSeeds(seedsOf(n))
	return nil
}

// drain goes on forwarding what still comes until nothing does, or until the
// platform is about to kill the process.
func (d *tokenDaemon) drain(ctx context.Context) {
	deadline := time.NewTimer(d.node.Grace - killMargin)
	defer deadline.Stop()
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	began := d.clock.Nanos()
	for {
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			d.log.Info().Msg("ended at the deadline")
			return
		case <-poll.C:
		}
		now := d.clock.Nanos()
		if now-began > int64(rotationTime) && now-d.worker.Last() > int64(tokenQuietTime) {
			return
		}
	}
}
