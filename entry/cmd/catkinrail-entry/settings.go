package main

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/settings"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Limits of the settings.
const (
	maxWorkers           = 64
	defaultDrainDeadline = 30 * time.Second
)

// Settings are the settings of an entry instance.
type Settings struct {
	Name string          `yaml:"name"`
	Zone catkinrail.Zone `yaml:"zone"`
	// Fabric is the address for packets from the fabric, as IP in UDP.
	Fabric string `yaml:"fabric"`
	// Relay is the address for messages from other entry instances.
	Relay string `yaml:"relay"`
	// RelayKey authenticates messages between entry instances: 32 hexadecimal
	// digits, the same on all of them.
	RelayKey string `yaml:"relay-key"`
	// Announce is the address at which backend servers announce themselves.
	Announce string `yaml:"announce"`
	// Control lists the control instances' addresses.
	Control []string `yaml:"control"`
	// Workers is the number of goroutines that receive packets from the fabric.
	Workers int `yaml:"workers"`
	// DrainDeadline limits the duration of a graceful shutdown.
	DrainDeadline time.Duration `yaml:"drain-deadline"`
	// Metrics is the address of the metrics and health pages; empty for none.
	Metrics string          `yaml:"metrics"`
	TLS     rpc.TLSSettings `yaml:"tls"`
	Log     logs.Settings   `yaml:"log"`

	fabric, relay netip.AddrPort
	relayKey      relay.Key
}

// Validate implements settings.Section.
func (s *Settings) Validate() []catkinrail.FieldError {
	var errs []catkinrail.FieldError
	add := func(field, reason string) {
		errs = append(errs, catkinrail.FieldError{Field: field, Reason: reason})
	}
	addr := func(field, value string) netip.AddrPort {
		ap, err := netip.ParseAddrPort(value)
		if err != nil || ap.Port() == 0 {
			add(field, fmt.Sprintf("%q must be an IP address and a port", value))
		}
		return ap
	}
	if s.Name == "" {
		add("name", "is missing")
	}
	if s.Zone == "" {
		add("zone", "is missing")
	}
	s.fabric = addr("fabric", s.Fabric)
	s.relay = addr("relay", s.Relay)
	addr("announce", s.Announce)
	if s.Metrics != "" {
		addr("metrics", s.Metrics)
	}
	if len(s.Control) == 0 {
		add("control", "must name at least one control instance")
	}
	for i, value := range s.Control {
		addr(fmt.Sprintf("control[%d]", i), value)
	}
	if s.Workers == 0 {
		s.Workers = 1
	}
	if s.Workers < 0 || s.Workers > maxWorkers {
		add("workers", fmt.Sprintf("must be from 1 to %d", maxWorkers))
	}
	if s.DrainDeadline == 0 {
		s.DrainDeadline = defaultDrainDeadline
	}
	if s.DrainDeadline < 0 {
		add("drain-deadline", "must not be negative")
	}
	if err := s.parseKey(); err != nil {
		add("relay-key", err.Error())
	}
	errs = append(errs, settings.Prefix("tls", s.TLS.Validate())...)
	return append(errs, settings.Prefix("log", s.Log.Validate())...)
}

func (s *Settings) parseKey() error {
	b, err := hex.DecodeString(s.RelayKey)
	if err != nil {
		return fmt.Errorf("must be %d hexadecimal digits", 2*relay.KeySize)
	}
	s.relayKey, err = relay.NewKey(b)
	return err
}
