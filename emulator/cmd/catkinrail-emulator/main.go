// Command catkinrail-emulator emulates the environment of a catkinrail load
// balancer: callers, the fabric and backend servers. It also runs experiments and
// benchmarks.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// command is a subcommand of the emulator.
type command struct {
	clause *kingpin.CmdClause
	run    func(context.Context) error
}

func main() {
	os.Exit(run())
}

// run runs the subcommand and returns the exit code.
func run() int {
	app := kingpin.New("catkinrail-emulator", "Emulates callers, the fabric and backend servers.")
	commands := []command{backendsCommand(app), loadCommand(app), measureCommand(app), benchCommand(app), controlCommand(app), capacityCommand(app), exchangeCommand(app), platformNodeCommand(app), platformRunCommand(app), platformDocumentsCommand(app), proxyCommand(app)}
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, c := range commands {
		if c.clause.FullCommand() != name {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	return 0
}
