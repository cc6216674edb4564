// Command catkinrail-entry runs an entry instance.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/settings"
)

func main() {
	os.Exit(run())
}

func run() int {
	app := kingpin.New("catkinrail-entry", "Runs an entry instance.\n\nThe first SIGTERM or SIGINT begins a graceful shutdown, a second one ends it.\n\nExit codes: 0 after a shutdown, 1 if it failed, 2 if the settings are wrong.")
	var cfg Settings
	var d tokenDaemon
	source := settings.Source{Platform: d.loadPlatform}
	if run, code := source.Program(app, os.Args[1:], &cfg); !run {
		return code
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d.reloadSignals = make(chan os.Signal, 1)
	signal.Notify(d.reloadSignals, syscall.SIGHUP)
	if d.node != nil {
		d.log = logs.NewRing(os.Stdout, logs.Settings{Level: "info"}, "catkinrail-entry", d.node.Name)
		defer d.log.Close()
		return finish(d.log, d.run(context.Background(), signals))
	}
	log := logs.NewRing(os.Stdout, cfg.Log, "catkinrail-entry", cfg.Name)
	defer log.Close()
	return finish(log, runDaemon(context.Background(), &cfg, log, signals))
}

// finish logs how the instance ended and returns the exit code.
func finish(log *logs.Logger, err error) int {
	if err != nil {
		log.Error(err).Msg("entry instance failed")
		return settings.ExitFailed
	}
	log.Info().Msg("shut down")
	return settings.ExitOK
}
