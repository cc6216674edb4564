package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail/platform/standin"
	"catkinrail.example/catkinrail/transport/clock"
)

// Times of the checks of documents.
const (
	// applyTime is the time within which an acknowledged document is in force at entry instances
	// that are in touch; the users set it.
	applyTime = 3 * time.Second
	// calmTime is the time without faults after which instances are in touch; the users set it.
	calmTime = 4 * time.Second
	// probePause is the time between two probes of an entry instance.
	probePause = 40 * time.Millisecond
)

// markerRoute returns the route that only the document of a version has.
func markerRoute(version uint64) standin.Route {
	return standin.Route{Listen: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 2, 1}), uint16(1024+version%60000)), Service: "feed"}
}

// documentCheck checks from outside which documents entry instances have in force: each document
// has a route of its own, which is probed through each entry instance all the time.
type documentCheck struct {
	entries []standin.Entry
	subnet  byte
	// starts is the file to which the IP address of an entry instance is appended before each of
	// its starts. A process may begin with an older document than the one before it had. If it is
	// empty, no instance is started again.
	starts string

	mu sync.Mutex
	// sent and acked are the newest versions that were sent and acknowledged; ackedAt is the time
	// of the latter's acknowledgement.
	sent, acked uint64
	ackedAt     time.Time
	// inForce is the newest version that each entry instance has shown.
	inForce map[int]uint64
	// failures counts the checks that failed, by what was seen.
	failures map[string]int
	probes   int
}

func newDocumentCheck(entries []standin.Entry, subnet byte, starts string) *documentCheck {
	return &documentCheck{entries: entries, subnet: subnet, starts: starts, inForce: map[int]uint64{}, failures: map[string]int{}}
}

func (c *documentCheck) recordSent(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = max(c.sent, version)
}

func (c *documentCheck) recordAcked(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version > c.acked {
		c.acked, c.ackedAt = version, time.Now()
	}
}

// fail counts a failed check and prints what was seen.
func (c *documentCheck) fail(kind, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures[kind]++
	fmt.Printf("%s %s: %s\n", time.Now().Format("15:04:05.000"), kind, fmt.Sprintf(format, args...))
}

// start probes all entry instances until ctx ends.
func (c *documentCheck) start(ctx context.Context, g *errgroup.Group) error {
	for i := range c.entries {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, c.subnet, 7, byte(1 + i)}), standin.PacketPort)
		p, err := standin.NewProber(addr, c.entries[i].Packets)
		if err != nil {
			return err
		}
		g.Go(func() error { return errors.Join(c.probe(ctx, p, i), p.Close()) })
	}
	return nil
}

// countStarts returns the number of starts of the entry instance at the address.
func (c *documentCheck) countStarts(addr netip.Addr) (int, error) {
	if c.starts == "" {
		return 0, nil
	}
	b, err := os.ReadFile(c.starts)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, line := range strings.Fields(string(b)) {
		if line == addr.String() {
			n++
		}
	}
	return n, nil
}

// probe probes an entry instance until ctx ends. A document that it had in force must not be
// followed by an older one while it runs, and a route that was acknowledged applyTime ago must not be
// refused: an instance that isn't in touch leaves the packet unanswered.
func (c *documentCheck) probe(ctx context.Context, p *standin.Prober, i int) error {
	var shown uint64
	started := 0
	for turn := 0; clock.Sleep(ctx, probePause); turn++ {
		c.mu.Lock()
		acked, ackedAt, sent := c.acked, c.ackedAt, c.sent
		c.probes++
		c.mu.Unlock()
		version := acked
		if turn%4 == 3 && shown > 0 {
			version = shown - 1
		}
		began := time.Now()
		answer, err := p.Probe(markerRoute(version).Listen)
		if err != nil {
			return err
		}
		if answer == standin.Silent {
			continue
		}
		n, err := c.countStarts(p.Entry.Addr())
		if err != nil {
			return err
		}
		if n != started {
			// The answer may come from the process that has ended.
			started, shown = n, 0
			continue
		}
		switch {
		case answer == standin.Served && version < shown:
			c.fail("documents-back", "%s serves version %d after version %d", p.Entry, version, shown)
		case answer == standin.Served:
			shown = version
			c.mu.Lock()
			c.inForce[i] = version
			c.mu.Unlock()
		case version == acked && sent == acked && !c.sentAfter(sent) && began.Sub(ackedAt) > applyTime:
			c.fail("routes-missing", "%s refuses the route of version %d, acknowledged %s before", p.Entry, version, began.Sub(ackedAt))
		}
	}
	return nil
}

// sentAfter reports whether a newer version than the given one has been sent.
func (c *documentCheck) sentAfter(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent > version
}

// checkInForce waits, once there are no faults any more, until all entry instances have shown the
// newest document, for applyTime at most.
func (c *documentCheck) checkInForce(ctx context.Context, version uint64) {
	began := time.Now()
	missing := c.behind(version)
	for missing > 0 && time.Since(began) < applyTime && clock.Sleep(ctx, probePause) {
		missing = c.behind(version)
	}
	if missing > 0 {
		c.fail("documents-late", "%d entry instances don't serve version %d, acknowledged %s before, although all is calm", missing, version, time.Since(began).Round(time.Millisecond))
	}
}

// behind returns the number of entry instances that have not shown a version yet.
func (c *documentCheck) behind(version uint64) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.entries {
		if c.inForce[i] < version {
			n++
		}
	}
	return n
}
