package main

import (
	"fmt"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/settings"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Limits of the settings.
const (
	defaultLease = 1500 * time.Millisecond
	minLease     = 500 * time.Millisecond
	maxLease     = 10 * time.Second
	minPeers     = 1
	// defaultSilentAfter allows for two reports that went amiss.
	defaultSilentAfter = 4 * time.Second
	maxPeers           = 7
)

// Settings are the settings of a control instance.
type Settings struct {
	Name string          `yaml:"name"`
	Zone catkinrail.Zone `yaml:"zone"`
	// Address is where others reach the instance.
	Address string `yaml:"address"`
	// Listen is where it takes their calls; empty for Address.
	Listen string `yaml:"listen"`
	// Data is the folder of the instance's durable state.
	Data string `yaml:"data"`
	// Peers are all control instances, this one included.
	Peers []Peer `yaml:"peers"`
	// Lease is the length of an entry instance's lease.
	Lease time.Duration `yaml:"lease"`
	// Public is where backend servers and operators reach the instance over HTTP;
	// empty for none.
	Public string `yaml:"public"`
	// EvictAfter is the silence after which a control instance loses its vote
	// until it joins again; zero for never.
	EvictAfter time.Duration `yaml:"evict-after"`
	// SilentAfter is the time without a report after which a backend server gets
	// no new flows.
	SilentAfter time.Duration `yaml:"silent-after"`
	// NoLeases is set where all entry instances route by token and need no leases;
	// the instances then agree on a leader sooner after a loss of all.
	NoLeases bool `yaml:"no-leases"`
	// Metrics is the address of the metrics and health pages; empty for none.
	Metrics string          `yaml:"metrics"`
	TLS     rpc.TLSSettings `yaml:"tls"`
	Log     logs.Settings   `yaml:"log"`

	// firstStart is set if the platform vouches that no earlier start had disks.
	firstStart bool
}

// ownPeer returns this instance among the peers, or nil.
func (s *Settings) ownPeer() *Peer {
	for i := range s.Peers {
		if s.Peers[i].Address == s.Address {
			return &s.Peers[i]
		}
	}
	return nil
}

func (s *Settings) peerAddrs() []string {
	var list []string
	for _, p := range s.Peers {
		list = append(list, p.Address)
	}
	return list
}

// Peer names a control instance.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Validate implements settings.Section.
func (s *Settings) Validate() []catkinrail.FieldError {
	var errs []catkinrail.FieldError
	add := func(field, reason string) {
		errs = append(errs, catkinrail.FieldError{Field: field, Reason: reason})
	}
	for _, f := range []struct{ field, value string }{
		{"name", s.Name}, {"zone", string(s.Zone)}, {"data", s.Data},
	} {
		if f.value == "" {
			add(f.field, "is missing")
		}
	}
	for _, f := range []struct{ field, value string }{{"address", s.Address}, {"listen", s.Listen}, {"metrics", s.Metrics}, {"public", s.Public}} {
		if f.field != "address" && f.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			add(f.field, fmt.Sprintf("%q must be an IP address and a port", f.value))
		}
	}
	if s.Listen == "" {
		s.Listen = s.Address
	}
	if s.Lease == 0 {
		s.Lease = defaultLease
	}
	if s.Lease < minLease || s.Lease > maxLease {
		add("lease", fmt.Sprintf("must be from %s to %s", minLease, maxLease))
	}
	if s.SilentAfter == 0 {
		s.SilentAfter = defaultSilentAfter
	}
	for _, f := range []struct {
		field string
		value time.Duration
	}{{"evict-after", s.EvictAfter}, {"silent-after", s.SilentAfter}} {
		if f.value < 0 {
			add(f.field, "must not be negative")
		}
	}
	errs = append(errs, s.validatePeers()...)
	errs = append(errs, settings.Prefix("tls", s.TLS.Validate())...)
	return append(errs, settings.Prefix("log", s.Log.Validate())...)
}

func (s *Settings) validatePeers() []catkinrail.FieldError {
	var errs []catkinrail.FieldError
	if len(s.Peers) < minPeers || len(s.Peers) > maxPeers {
		return append(errs, catkinrail.FieldError{
			Field: "peers", Reason: fmt.Sprintf("must name %d to %d control instances", minPeers, maxPeers),
		})
	}
	seen := map[string]bool{}
	for i, p := range s.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		if _, err := netip.ParseAddrPort(p.Address); err != nil {
			errs = append(errs, catkinrail.FieldError{Field: field + ".address", Reason: fmt.Sprintf("%q must be an IP address and a port", p.Address)})
		}
		if p.Name == "" || seen[p.Name] {
			errs = append(errs, catkinrail.FieldError{Field: field + ".name", Reason: "is missing or not the only one"})
		}
		seen[p.Name] = true
		if p.Name == s.Name && p.Address != s.Address {
			errs = append(errs, catkinrail.FieldError{Field: field + ".address", Reason: "differs from this instance's address"})
		}
	}
	if !seen[s.Name] {
		errs = append(errs, catkinrail.FieldError{Field: "peers", Reason: fmt.Sprintf("must name this instance, %q", s.Name)})
	}
	return errs
}
