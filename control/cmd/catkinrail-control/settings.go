package main

import (
	"fmt"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/warmup"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/settings"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Defaults and limits of the settings.
const (
	defaultLease = 1500 * time.Millisecond
	minLease     = 500 * time.Millisecond
	maxLease     = 10 * time.Second
	minPeers     = 1
	// defaultSilentAfter allows for two lost reports.
	defaultSilentAfter = 4 * time.Second
	// defaultLeaveTimeout covers several elections: the leaders that are asked may stop as well.
	defaultLeaveTimeout = 4 * time.Second
	// defaultReuseAfter is above the time between two reports of a backend server.
	defaultReuseAfter = 2 * time.Second
	maxPeers          = 7
	// maxWarmupOverage and maxWarmupSlack are above any sensible tolerance.
	maxWarmupOverage = 100
	maxWarmupSlack   = 10_000
)

// Settings are the settings of a control instance.
type Settings struct {
	Name string          `yaml:"name"`
	Zone catkinrail.Zone `yaml:"zone"`
	// Zones are the availability zones of the deployment, if they are known; others become
	// known by their backend servers and entry instances.
	Zones []catkinrail.Zone `yaml:"zones"`
	// Address is the address at which other instances and operators reach this one.
	Address string `yaml:"address"`
	// Listen is the address to listen on for their calls; empty for Address.
	Listen string `yaml:"listen"`
	// Data is the folder that holds the instance's durable state.
	Data string `yaml:"data"`
	// Peers are the control instances, including this one.
	Peers []Peer `yaml:"peers"`
	// Lease is the duration of an entry instance's lease.
	Lease time.Duration `yaml:"lease"`
	// Public is the address at which backend servers and operators reach the instance
	// over HTTP; empty for none.
	Public string `yaml:"public"`
	// EvictAfter is the time out of contact after which a control instance may lose its vote
	// until it joins again, if the number of votes is odd; zero for never.
	EvictAfter time.Duration `yaml:"evict-after"`
	// LeaveTimeout is the longest time for which a stop waits until the others have decided
	// about the instance's vote.
	LeaveTimeout time.Duration `yaml:"leave-timeout"`
	// ToleratedLosses is the number of control instances that may lose their disks at the
	// same time. At least twice as many and one more keep their votes, however long some
	// are out of contact.
	ToleratedLosses int `yaml:"tolerated-losses"`
	// Expendable is set if this instance may be lost at any time beside the tolerated losses.
	Expendable bool `yaml:"expendable"`
	// SilentAfter is the time without a report after which a backend server gets
	// no new flows.
	SilentAfter time.Duration `yaml:"silent-after"`
	// ReuseAfter is the least time between the end of a backend server and the reuse of its
	// address by another.
	ReuseAfter time.Duration `yaml:"reuse-after"`
	// NoLeases is set if all entry instances route by token and need no leases. The
	// control instances then elect a leader sooner after all of them have stopped.
	NoLeases bool `yaml:"no-leases"`
	// WarmupOverage and WarmupSlack say how far the opening packets to a cold backend
	// server may exceed its limit: limit x overage + slack are tolerated in any second.
	WarmupOverage float64 `yaml:"warmup-overage"`
	WarmupSlack   float64 `yaml:"warmup-slack"`
	// Metrics is the address of the metrics and health pages; empty for none.
	Metrics string          `yaml:"metrics"`
	TLS     rpc.TLSSettings `yaml:"tls"`
	Log     logs.Settings   `yaml:"log"`

	// firstStart is set if the platform states that the whole system starts for the
	// first time, so that no instance has stored anything yet.
	firstStart bool
}

// ownPeer returns the peer with this instance's address, or nil if there is none.
func (s *Settings) ownPeer() *Peer {
	for i := range s.Peers {
		if s.Peers[i].Address == s.Address {
			return &s.Peers[i]
		}
	}
	return nil
}

// peerAddrs returns the addresses of the peers.
func (s *Settings) peerAddrs() []string {
	var list []string
	for _, p := range s.Peers {
		list = append(list, p.Address)
	}
	return list
}

// warmupTolerance returns how far the rate of a cold backend server may be exceeded.
func (s *Settings) warmupTolerance() warmup.Tolerance {
	return warmup.Tolerance{Overage: s.WarmupOverage, Slack: s.WarmupSlack}
}

// Peer is a control instance in the settings.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
}

// Validate implements settings.Section. It also fills in defaults.
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
	s.fillDefaults()
	if s.Lease < minLease || s.Lease > maxLease {
		add("lease", fmt.Sprintf("must be from %s to %s", minLease, maxLease))
	}
	for _, f := range []struct {
		field string
		value time.Duration
	}{{"evict-after", s.EvictAfter}, {"leave-timeout", s.LeaveTimeout}, {"silent-after", s.SilentAfter}, {"reuse-after", s.ReuseAfter}} {
		if f.value < 0 {
			add(f.field, "must not be negative")
		}
	}
	if s.ToleratedLosses < 0 {
		add("tolerated-losses", "must not be negative")
	}
	if !(s.WarmupOverage >= 1 && s.WarmupOverage <= maxWarmupOverage) {
		add("warmup-overage", fmt.Sprintf("must be from 1 to %d", maxWarmupOverage))
	}
	if !(s.WarmupSlack >= 0 && s.WarmupSlack <= maxWarmupSlack) {
		add("warmup-slack", fmt.Sprintf("must be from 0 to %d", maxWarmupSlack))
	}
	errs = append(errs, s.validatePeers()...)
	errs = append(errs, settings.Prefix("tls", s.TLS.Validate())...)
	return append(errs, settings.Prefix("log", s.Log.Validate())...)
}

func (s *Settings) fillDefaults() {
	if s.Listen == "" {
		s.Listen = s.Address
	}
	if s.Lease == 0 {
		s.Lease = defaultLease
	}
	if s.SilentAfter == 0 {
		s.SilentAfter = defaultSilentAfter
	}
	if s.LeaveTimeout == 0 {
		s.LeaveTimeout = defaultLeaveTimeout
	}
	if s.ReuseAfter == 0 {
		s.ReuseAfter = defaultReuseAfter
	}
	if s.ToleratedLosses == 0 {
		s.ToleratedLosses = (len(s.Peers) - 1) / 2
	}
	if s.WarmupOverage == 0 {
		s.WarmupOverage = 1
	}
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
