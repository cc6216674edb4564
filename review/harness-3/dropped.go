package main

import (
	"fmt"
	"net/netip"
	"time"
)

// droppedRoute drops a route while an opening packet on it is unanswered, since the host is full for a moment.
func droppedRoute(w *world, trouble bool) error {
	dropped, added := netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.2:443")
	if err := w.startAll(1); err != nil {
		return err
	}
	full, err := w.startHost(logbook, 0, 30)
	if err != nil {
		return err
	}
	other, err := w.startHost("drawvault", 0, 31)
	if err != nil {
		return err
	}
	if _, err := w.put(1, config(1, route("r-old", dropped, logbook))); err != nil {
		return err
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	w.sleep(contact + time.Second)
	c, err := w.startClient(0, 60)
	if err != nil {
		return err
	}
	via := w.entries[0].packets
	version := 2
	for round := range 5 {
		if round > 0 {
			// The route is back for the next round.
			if _, err := w.put(version, config(version, route("r-old", dropped, logbook))); err != nil {
				return err
			}
			version++
			w.sleep(3 * time.Second)
		}
		if o := c.request(dropped, via); o.text != "served" {
			return fmt.Errorf("the route doesn't serve: %s", o.text)
		}
		if trouble {
			full.fill(450 * time.Millisecond)
		}
		done := make(chan outcome, 1)
		go func() { done <- c.request(dropped, via) }()
		w.sleep(20 * time.Millisecond)
		if _, err := w.put(version, config(version, route("r-new", added, "drawvault"))); err != nil {
			return err
		}
		version++
		// The first request on the added route that a host runs shows that the new version is in force.
		var seen time.Time
		for seen.IsZero() {
			if o := c.request(added, via); o.text == "served" {
				list := other.takenFlows()
				seen = list[len(list)-1].runAt
				w.note("client: host %s runs a request on the added route %s through %s", o.host, added, via)
			}
			if w.ctx.Err() != nil {
				return w.ctx.Err()
			}
		}
		o := <-done
		w.note("client: request on the dropped route %s through %s: %s", dropped, via, o.text)
		if o.text != "served" {
			continue
		}
		sent := o.opened[len(o.opened)-1]
		if after := sent.Sub(seen); after > rollback {
			return fmt.Errorf("CONFIG: %w: the opening packet that the host took was sent %d ms after a host had seen the version that drops its route",
				errBroken, after.Milliseconds())
		}
	}
	return nil
}

// fill makes the host full for a time: it leaves opening packets unanswered.
func (h *host) fill(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fullUntil = time.Now().Add(d)
}
