// Package fabric emulates the network fabric: it sends each packet to a random entry
// instance that passes its health check.
package fabric

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// Timing of the health check.
const (
	checkInterval = 250 * time.Millisecond
	checkTimeout  = 200 * time.Millisecond
)

// Entry holds an entry instance's addresses.
type Entry struct {
	// Packets is the address for packets.
	Packets netip.AddrPort
	// ReadinessAddr is the HTTP address, as host:port, for health checks.
	ReadinessAddr string
}

// Fabric picks entry instances for packets. It is safe for concurrent use.
type Fabric struct {
	entries []Entry
	ready   atomic.Pointer[[]netip.AddrPort]
}

// New returns a fabric in front of the entries.
func New(entries []Entry) *Fabric {
	f := &Fabric{entries: entries}
	f.ready.Store(&[]netip.AddrPort{})
	return f
}

// Pick returns a random entry instance that is ready.
func (f *Fabric) Pick() (netip.AddrPort, bool) {
	list := *f.ready.Load()
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	return list[rand.IntN(len(list))], true
}

// Ready returns the number of entry instances that are ready.
func (f *Fabric) Ready() int {
	return len(*f.ready.Load())
}

// Run checks the entries' health at intervals until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	client := &http.Client{Timeout: checkTimeout}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		var ready []netip.AddrPort
		for _, e := range f.entries {
			if isReady(ctx, client, e.ReadinessAddr) {
				ready = append(ready, e.Packets)
			}
		}
		f.ready.Store(&ready)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// isReady reports whether the instance's readiness endpoint returns 200.
func isReady(ctx context.Context, client *http.Client, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
