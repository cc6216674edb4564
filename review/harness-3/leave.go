package main

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// lostLeave lets a host leave while the answers to its calls are lost. It then ends some seconds later, and a client
// sends a request on an open flow before that.
func lostLeave(w *world, trouble bool) error {
	if err := w.startAll(1); err != nil {
		return err
	}
	var proxies []*proxy
	var nodes []netip.AddrPort
	for z := range zones {
		from := w.addr(z, 110, controlPort)
		p, err := w.startProxy(from, w.addr(z, 100, controlPort))
		if err != nil {
			return err
		}
		proxies, nodes = append(proxies, p), append(nodes, from)
	}
	if _, err := w.put(1, config(1, route("r-logbook", logbookRoute, logbook))); err != nil {
		return err
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	// The hosts start once all control instances answer, so that each finds that of its own zone, through the proxy.
	var hosts []*host
	for z := range zones {
		h, err := w.startHost(logbook, z, 30, nodes...)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	w.sleep(contact + 2*time.Second)
	leaving := hosts[0]
	c, err := w.startClient(0, 60)
	if err != nil {
		return err
	}
	f, o := c.openFlow(logbookRoute, netip.AddrPort{})
	if f == nil {
		return fmt.Errorf("the flow wasn't opened: %s", o.text)
	}
	defer f.close()
	text, name := f.request()
	w.note("client: first request on the flow from %s through %s: %s by host %s", o.client, o.via, text, name)
	if text != "served" || name != leaving.id {
		return errors.New("the first request wasn't served by the host that will leave")
	}
	leaving.drain()
	for leaving.drainedAt().IsZero() {
		if !w.sleep(20 * time.Millisecond) {
			return errors.New("the host's report was not acknowledged")
		}
	}
	w.sleep(time.Until(leaving.drainedAt().Add(drain + 200*time.Millisecond)))
	for _, p := range proxies {
		p.deaf.Store(trouble)
	}
	if trouble {
		w.note("from now on, the answers to the hosts' calls are lost")
	}
	began := time.Now()
	go leaving.leave(3 * time.Second)
	w.sleep(time.Until(began.Add(3500 * time.Millisecond)))
	alive := leaving.alive()
	text, name = f.request()
	alive = alive && leaving.alive()
	w.note("client: request on the open flow %d ms after the host sent that it leaves: %s %s; the host lived meanwhile: %t",
		time.Since(began).Milliseconds(), text, name, alive)
	if alive && text == "reset of the open flow by the system" {
		return fmt.Errorf("FLOW: %w: the client got a reset that the flow's host didn't send", errBroken)
	}
	return nil
}

func (h *host) alive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endedAt.IsZero()
}
