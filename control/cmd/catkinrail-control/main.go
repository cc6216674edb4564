// Command catkinrail-control runs a control instance.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/platform"
	"catkinrail.example/catkinrail/settings"
)

func main() {
	os.Exit(run())
}

// startHeap is the size in bytes up to which the heap grows without garbage collection
// while the instance starts. After a loss of power hundreds of entry instances connect to
// it at once, and collecting what their streams allocate would delay the election.
const startHeap = 32 << 20

// deferCollection turns garbage collection off up to startHeap. The returned function
// restores the defaults; so does the first collection, since a larger heap would be
// collected all the time to keep to the limit.
func deferCollection() (restore func()) {
	percent := debug.SetGCPercent(-1)
	limit := debug.SetMemoryLimit(startHeap)
	restore = sync.OnceFunc(func() {
		debug.SetMemoryLimit(limit)
		debug.SetGCPercent(percent)
	})
	// Nothing refers to the array, so the first collection frees it. Smaller objects may be
	// freed together with others.
	runtime.AddCleanup(new([64]byte), func(restore func()) { restore() }, restore)
	return restore
}

func run() int {
	app := kingpin.New("catkinrail-control", "Runs a control instance.\n\nExit codes: 0 after a shutdown, 1 if it failed, 2 if the settings are wrong.")
	bootstrap := app.Flag("bootstrap", "Begin a new cluster. All peers must be started with it, on empty data folders.").Bool()
	var cfg Settings
	var file *platform.File
	source := settings.Source{Platform: func() (err error) {
		if file, err = platform.ReadFile(); err != nil {
			return err
		}
		given, err := platformSettings(file.Name, file.Content)
		if err != nil {
			return err
		}
		cfg = *given
		return nil
	}}
	if run, code := source.Program(app, os.Args[1:], &cfg); !run {
		return code
	}
	log := logs.NewRing(os.Stdout, cfg.Log, "catkinrail-control", cfg.Name)
	defer log.Close()
	stopping, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	d := &daemon{cfg: &cfg, log: log, bootstrap: *bootstrap || cfg.firstStart, stopping: stopping, stop: cancel}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	d.started = deferCollection()
	g.Go(func() error { return d.run(ctx, g) })
	if file != nil {
		g.Go(func() error {
			settings.Watch(ctx, file.Name, file.Content, hup, log, func(b []byte) error { return d.reload(file.Name, b) })
			return nil
		})
	}
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		log.Error(err).Msg("control instance failed")
		return settings.ExitFailed
	}
	log.Info().Msg("shut down")
	return settings.ExitOK
}
