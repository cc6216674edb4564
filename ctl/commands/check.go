package commands

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/settings"
)

// serviceFile is the content of a file that describes services.
type serviceFile struct {
	Services []serviceEntry `yaml:"services"`
}

type serviceEntry struct {
	Name        string               `yaml:"name"`
	Address     string               `yaml:"address"`
	Protocol    string               `yaml:"protocol"`
	Balance     string               `yaml:"balance"`
	Buckets     int                  `yaml:"buckets"`
	IdleTimeout time.Duration        `yaml:"idle-timeout"`
	MaxRecords  int                  `yaml:"max-records"`
	MaxEject    int                  `yaml:"max-eject-percent"`
	Objective   catkinrail.Objective `yaml:"objective"`
}

// Validate implements settings.Section.
func (f *serviceFile) Validate() []catkinrail.FieldError {
	var errs []catkinrail.FieldError
	for i := range f.Services {
		errs = append(errs, settings.Prefix(fmt.Sprintf("services[%d]", i), f.Services[i].validate())...)
	}
	return errs
}

func (s *serviceEntry) validate() []catkinrail.FieldError {
	cfg := catkinrail.ServiceConfig{
		Name: s.Name, Balance: catkinrail.Balance(s.Balance), Buckets: s.Buckets,
		IdleTimeout: s.IdleTimeout, MaxRecords: s.MaxRecords, MaxEject: s.MaxEject,
	}
	if addr, err := netip.ParseAddrPort(s.Address); err == nil {
		cfg.Addr = addr
	}
	switch s.Protocol {
	case "", "tcp":
	case "udp":
		cfg.Proto = catkinrail.ProtoUDP
	default:
		return []catkinrail.FieldError{{Field: "protocol", Reason: fmt.Sprintf("%q must be \"tcp\" or \"udp\"", s.Protocol)}}
	}
	cfg.SetDefaults()
	return catkinrail.FieldErrors(cfg.Validate())
}

func checkSettings(a *App) {
	c := a.kingpin.Command("check", "Check a file that describes services, without sending it.")
	file := c.Arg("file", "YAML file.").Required().String()
	a.handle(c, func(context.Context) error {
		var f serviceFile
		if err := settings.Load(*file, &f); err != nil {
			return fmt.Errorf("%w: %w", errInvalid, err)
		}
		fmt.Fprintf(a.out, "%s: %d services are valid\n", *file, len(f.Services))
		return nil
	})
}
