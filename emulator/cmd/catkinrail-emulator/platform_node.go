package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/alecthomas/kingpin/v2"

	"catkinrail.example/catkinrail/platform/standin"
)

// platformNodeCommand prints the node file of an instance on the emulated platform.
func platformNodeCommand(app *kingpin.Application) command {
	c := app.Command("platform-node", "Print the settings of an instance's machine on the emulated platform.")
	name := c.Flag("name", "Name of the machine.").Required().String()
	zone := c.Flag("zone", "Availability zone.").Required().String()
	ip := c.Flag("ip", "Address of the machine.").Required().String()
	listen := c.Flag("listen", "Address that the machine listens on, if it differs from --ip.").String()
	seeds := c.Flag("seed", "Address of a control instance; repeat it for up to three.").Required().Strings()
	data := c.Flag("data", "Directory of the durable state; empty for an entry instance.").String()
	link := c.Flag("link-mbps", "Rate of the machine's link in Mbit/s; 0 if it isn't given.").Float64()
	first := c.Flag("first", "Bootstrap: the whole system starts for the first time.").Bool()
	return command{clause: c, run: func(context.Context) error {
		n := standin.Node{Name: *name, Zone: *zone, Data: *data, FirstStart: *first, LinkMbps: *link}
		var err error
		if n.IP, err = netip.ParseAddr(*ip); err != nil {
			return err
		}
		if *listen != "" {
			if n.Listen, err = netip.ParseAddr(*listen); err != nil {
				return err
			}
		}
		for _, text := range *seeds {
			seed, err := netip.ParseAddr(text)
			if err != nil {
				return err
			}
			n.Seeds = append(n.Seeds, seed)
		}
		fmt.Print(n.Settings())
		return nil
	}}
}
