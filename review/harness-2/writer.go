package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"time"
)

// writerCase plays a planned restart of the control machines, one after the other, while another
// writer's status reports, which lack the field born, name the addresses of the live hosts.
func writerCase(record string, trouble bool) (*world, verdict) {
	zones := []string{"malvern", "dovedale", "church-stretton", "ashby"}
	w, err := newWorld(record, zones, bounds{
		heartbeat: 1200 * time.Millisecond, contact: 4 * time.Second, drain: 3 * time.Second, configApply: 3 * time.Second,
		recovery: 12 * time.Second, grace: 6, addrReuse: 2, catchUp: 4, machines: 1,
	})
	if err != nil {
		return failed(w, err)
	}
	var cores []*node
	for _, z := range zones {
		cores = append(cores, w.addNode("core", z, 0, true))
		w.addNode("front", z, 1, true)
	}
	for _, n := range cores[:3] {
		w.seeds = append(w.seeds, n.ip)
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return failed(w, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	list := func() (addrs []string) {
		for _, n := range cores {
			addrs = append(addrs, fmt.Sprintf("%s:%d", n.ip, w.control))
		}
		return addrs
	}
	op := newOperator(w, list)
	if !op.put(3, w.config(3, []string{"batch-archive"}), 15*time.Second) {
		return failed(w, fmt.Errorf("the first config is not acknowledged"))
	}
	hosts := map[string]*host{}
	// The service's four hosts are in two of the zones.
	for _, z := range zones[:2] {
		for i := range 2 {
			h := newHost(w, "batch-archive", z, i, list)
			hosts[h.id] = h
			if err := h.run(ctx); err != nil {
				return failed(w, err)
			}
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return failed(w, err)
	}
	// The cold start is over, and each host reports to the control instance of its zone.
	time.Sleep(6 * time.Second)
	holds := func(id string, key flowKey) bool { return hosts[id] != nil && hosts[id].holds(key) }
	var clients []*client
	for _, z := range zones {
		r := &router{w: w, zone: z}
		go r.run(ctx)
		c := newClient(w, z, 0, r, holds)
		clients = append(clients, c)
	}
	time.Sleep(time.Second)
	for _, c := range clients {
		if err := c.run(ctx, 8, 8400, 2500*time.Millisecond); err != nil {
			return failed(w, err)
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, h := range hosts {
			go otherWriter(ctx, w, h, list()[0])
		}
	}
	time.Sleep(5 * time.Second)
	calm := time.Now()
	// SKIP=restarts leaves the planned work out.
	if os.Getenv("SKIP") != "restarts" {
		for range 2 {
			if err := restartInTurn(cores); err != nil {
				return failed(w, err)
			}
			time.Sleep(4 * time.Second)
			calm = time.Now()
		}
	}
	// The last start was more than contact_ms before.
	touch := calm
	time.Sleep(time.Until(calm.Add(14 * time.Second)))
	cancel()
	resets, early, opened, served := 0, 0, 0, 0
	for _, c := range clients {
		c.mu.Lock()
		opened, served = opened+c.opened, served+c.served
		for _, r := range c.resets {
			switch {
			case !r.bySys || !r.held:
			case r.at.Before(touch):
				early++
			default:
				resets++
			}
		}
		c.mu.Unlock()
	}
	text := fmt.Sprintf("%d flows opened, %d requests answered; %d open flows were reset by the system with all machines in touch and their hosts alive and holding them (%d more within contact_ms of the last restart)", opened, served, resets, early)
	switch {
	case served < 100:
		return w, verdict{couldNot, "too little was served: " + text}
	case resets > 0:
		return w, verdict{broken, "FLOW is broken: " + text}
	}
	return w, verdict{held, "FLOW holds: " + text}
}

// restartInTurn stops the machines with SIGTERM, one at a time, and starts them again.
func restartInTurn(list []*node) error {
	for _, n := range list {
		n.signal(syscall.SIGTERM)
		select {
		case <-n.done:
		case <-time.After(6 * time.Second):
			n.kill()
		}
		time.Sleep(200 * time.Millisecond)
		if err := n.start(); err != nil {
			return err
		}
		time.Sleep(1200 * time.Millisecond)
	}
	return nil
}

// otherWriter sends status reports under an identifier of its own, for the address of a live host,
// without the field born. They name no host to use.
func otherWriter(ctx context.Context, w *world, h *host, addr string) {
	id := fmt.Sprintf("i-%08x", 0x10000000+rand.Uint32N(0x6fffffff))
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 1; ctx.Err() == nil; n++ {
		body, _ := json.Marshal(map[string]any{
			"service": h.service, "address": h.addr(), "zone": h.zone, "version": "v1", "slots": 2, "state": "ready",
			"warmup_left_ms": 0, "sequence": n,
		})
		_, err := postReport(client, addr, id, body)
		if n <= 2 || err != nil {
			w.log("other writer: report %d of %s to %s without born, for the address of host %s: error %v", n, id, addr, h.id, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(w.bounds.heartbeat):
		}
	}
}
