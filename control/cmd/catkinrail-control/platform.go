package main

import (
	"fmt"
	"time"

	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/platform"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Settings of a control instance on the platform.
const (
	// evictAfter exceeds the losses that an instance comes back from, a freeze
	// and a network partition of seconds.
	evictAfter = 12 * time.Second
	// missedReports is the number of reports that may go amiss before a backend
	// server counts as silent: one that waited a second for its answer, and one
	// that went to the next instance.
	missedReports = 2
	// reportTimeout is how long a backend server waits for an answer.
	reportTimeout = time.Second
)

// platformSettings translates the contents of the platform's settings file.
func platformSettings(file string, b []byte) (*Settings, error) {
	n, err := platform.ParseNode(file, b)
	if err != nil {
		return nil, err
	}
	if !n.Control.IsValid() || n.Data == "" {
		return nil, fmt.Errorf("%s: a control instance needs an address for callers and a data folder", file)
	}
	cfg := &Settings{
		Name: n.Name, Zone: n.Zone, Address: n.Internal.String(), Listen: n.InternalListen.String(), Data: n.Data, Lease: defaultLease,
		Public: n.Control.String(), EvictAfter: evictAfter, SilentAfter: missedReports*n.ReportInterval + reportTimeout,
		Metrics: n.Metrics.String(), TLS: rpc.TLSSettings{TrustedNetwork: true},
		Log: logs.Settings{Level: "info"}, NoLeases: true, firstStart: n.FirstStart,
	}
	for _, seed := range n.Seeds {
		cfg.Peers = append(cfg.Peers, Peer{Name: seed.String(), Address: seed.String()})
	}
	return cfg, nil
}
