// Command catkinctl is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"catkinrail.example/catkinrail/ctl/commands"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return commands.New(os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
}
