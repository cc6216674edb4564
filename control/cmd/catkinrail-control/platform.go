package main

import (
	"fmt"
	"time"

	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/platform"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Timeouts and limits of a control instance on the platform.
const (
	// evictAfter is longer than a restart. With an election before it, it is shorter than the
	// 4 s after which an instance that was removed no longer counts as lost.
	evictAfter = 3 * time.Second
	// closeTimeout is the part of the grace period in which an instance ends after it has left, but at
	// most half of it.
	closeTimeout = time.Second
	// missedReports is the number of reports that may be lost before a backend
	// server counts as silent: one that waited for its answer until reportTimeout,
	// and one that went to the next instance.
	missedReports = 2
	// reportTimeout is how long a backend server waits for the answer to a report.
	reportTimeout = time.Second
)

// platformSettings returns the settings that follow from the contents b of the
// platform's settings file. The file's name is used in errors only.
func platformSettings(file string, b []byte) (*Settings, error) {
	n, err := platform.ParseNode(file, b)
	if err != nil {
		return nil, err
	}
	if !n.Control.IsValid() || n.Data == "" {
		return nil, fmt.Errorf("%s: a control instance needs both listen.control and data_dir", file)
	}
	cfg := &Settings{
		Name: n.Name, Zone: n.Zone, Zones: n.Zones, Address: n.Internal.String(), Listen: n.InternalListen.String(), Data: n.Data, Lease: defaultLease,
		Public: n.Control.String(), EvictAfter: evictAfter, LeaveTimeout: max(n.Grace-closeTimeout, n.Grace/2), ToleratedLosses: n.ToleratedLosses,
		Expendable:  n.Expendable,
		SilentAfter: missedReports*n.ReportInterval + reportTimeout, ReuseAfter: n.AddrReuse,
		WarmupOverage: n.WarmupOverage, WarmupSlack: n.WarmupSlack, Metrics: n.Metrics.String(), TLS: rpc.TLSSettings{TrustedNetwork: true},
		Log: logs.Settings{Level: "info"}, NoLeases: true, firstStart: n.FirstStart,
	}
	for _, seed := range n.Seeds {
		cfg.Peers = append(cfg.Peers, Peer{Name: seed.String(), Address: seed.String()})
	}
	return cfg, nil
}
