package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail/emulator/proxy"
	"catkinrail.example/catkinrail/platform/standin"
)

// proxyCommand proxies the connections to control instances and injects faults.
func proxyCommand(app *kingpin.Application) command {
	c := app.Command("platform-proxy", "Proxy connections to control instances and inject network faults.")
	links := c.Flag("node", "Addresses of a control instance as LISTEN=TARGET; repeat it for all.").Required().Strings()
	seed := c.Flag("seed", "Seed of the faults.").Required().Uint64()
	duration := c.Flag("duration", "Time for which faults are injected; 0 for as long as the proxy runs.").Duration()
	return command{clause: c, run: func(ctx context.Context) error {
		g, ctx := errgroup.WithContext(ctx)
		var instances []*proxy.Instance
		for _, text := range *links {
			n, err := parseInstance(text)
			if err != nil {
				return err
			}
			for _, l := range n.Links {
				if err := l.Run(ctx, g); err != nil {
					return err
				}
			}
			instances = append(instances, n)
		}
		g.Go(func() error {
			faults, cancel := ctx, context.CancelFunc(func() {})
			if *duration > 0 {
				faults, cancel = context.WithTimeout(ctx, *duration)
			}
			defer cancel()
			proxy.InjectFaults(faults, *seed, instances, os.Stdout)
			return nil
		})
		return g.Wait()
	}}
}

// parseInstance parses LISTEN=TARGET and returns links for the control and the
// internal port.
func parseInstance(text string) (*proxy.Instance, error) {
	from, to, ok := strings.Cut(text, "=")
	if !ok {
		return nil, fmt.Errorf("%q is not LISTEN=TARGET", text)
	}
	listen, err := netip.ParseAddr(from)
	if err != nil {
		return nil, err
	}
	target, err := netip.ParseAddr(to)
	if err != nil {
		return nil, err
	}
	n := &proxy.Instance{Name: from}
	for _, port := range []uint16{standin.ControlPort, standin.InternalPort} {
		n.Links = append(n.Links, &proxy.Link{Listen: netip.AddrPortFrom(listen, port), Target: netip.AddrPortFrom(target, port)})
	}
	return n, nil
}
