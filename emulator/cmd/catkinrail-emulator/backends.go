package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/emulator/backend"
)

// backendsCommand runs the backend servers of one service in one zone.
func backendsCommand(app *kingpin.Application) command {
	c := app.Command("backends", "Run backend servers of a service in a zone.")
	service := c.Flag("service", "Name of the service.").Required().String()
	zone := c.Flag("zone", "Availability zone.").Required().String()
	names := c.Flag("name", "Name of a backend server; repeat it for several.").Required().Strings()
	slots := c.Flag("slots", "Slots of each backend server.").Default("2").Int()
	callers := c.Flag("callers", "Address that answers go to.").Required().String()
	entries := c.Flag("entry", "Announcement address of an entry instance of the zone; repeat it for all.").Required().Strings()
	return command{clause: c, run: func(ctx context.Context) error {
		to, err := netip.ParseAddrPort(*callers)
		if err != nil {
			return fmt.Errorf("--callers: %w", err)
		}
		g, ctx := errgroup.WithContext(ctx)
		var servers []*backend.Server
		for _, name := range *names {
			s, err := backend.New(ctx, backend.Config{
				Service: *service, Name: name, Zone: catkinrail.Zone(*zone), Addr: netip.MustParseAddr("127.0.0.1"),
				Slots: *slots, Incarnation: uint64(time.Now().UnixNano()), Callers: to, Entries: *entries,
			})
			if err != nil {
				return err
			}
			s.Run(ctx, g)
			servers = append(servers, s)
		}
		err = g.Wait()
		for i, s := range servers {
			fmt.Fprintf(os.Stderr, "%s: %d flows accepted, %d resets sent\n", (*names)[i], s.Accepted.Load(), s.Resets.Load())
		}
		return err
	}}
}
