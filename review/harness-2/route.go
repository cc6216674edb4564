package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Timing of routeCase.
const (
	additions = 8
	// openInterval is the time between two new flows of a zone's clients on an added route, and
	// openTime how long they come.
	openInterval = 25 * time.Millisecond
	openTime     = 3 * time.Second
	restartDelay = 500 * time.Millisecond
	// ownEnds is the number of ends by itself from which a machine counts.
	ownEnds = 3
)

// routeCase plays configs that each add a service and a route to it. Its clients begin as the config
// is acknowledged, and its hosts start right after that.
func routeCase(record string, trouble bool) (*world, verdict) {
	zones := []string{"malvern", "dovedale", "church-stretton", "ashby"}
	w, err := newWorld(record, zones, bounds{
		heartbeat: 1200 * time.Millisecond, contact: 4 * time.Second, drain: 3 * time.Second, configApply: 3 * time.Second,
		recovery: 12 * time.Second, grace: 6, addrReuse: 2, catchUp: 4, machines: 1,
	})
	if err != nil {
		return failed(w, err)
	}
	var cores, fronts []*node
	for _, z := range zones {
		cores = append(cores, w.addNode("core", z, 0, true))
		fronts = append(fronts, w.addNode("front", z, 1, true))
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
	services := []string{"rota-desk"}
	if !op.put(3, w.config(3, services), 15*time.Second) {
		return failed(w, fmt.Errorf("the first config is not acknowledged"))
	}
	// A service has one host in each zone.
	startHosts := func(service string, n int) error {
		for _, z := range zones {
			if err := newHost(w, service, z, n, list).run(ctx); err != nil {
				return err
			}
		}
		return nil
	}
	if err := startHosts(services[0], 0); err != nil {
		return failed(w, err)
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return failed(w, err)
	}
	s := &supervisor{w: w, ends: map[*node]int{}}
	var g sync.WaitGroup
	for _, n := range w.nodes {
		g.Go(func() { s.run(ctx, n) })
	}
	time.Sleep(4 * time.Second)
	holds := func(string, flowKey) bool { return false }
	var clients []*client
	for _, z := range zones {
		r := &router{w: w, zone: z}
		go r.run(ctx)
		clients = append(clients, newClient(w, z, 0, r, holds))
	}
	time.Sleep(time.Second)
	for _, c := range clients {
		if err := c.run(ctx, 6, 8400, 400*time.Millisecond); err != nil {
			return failed(w, err)
		}
	}
	time.Sleep(4 * time.Second)
	for i := 1; i <= additions; i++ {
		service := fmt.Sprintf("archive-%d", i)
		port := uint16(8400)
		if trouble {
			services = append(services, service)
			port = uint16(8400 + i)
		}
		if !op.put(3+2*i, w.config(3+2*i, services), 5*time.Second) {
			return failed(w, fmt.Errorf("config %d is not acknowledged", 3+2*i))
		}
		for _, c := range clients {
			go c.openMany(ctx, port)
		}
		if trouble {
			if err := startHosts(service, i); err != nil {
				return failed(w, err)
			}
		}
		time.Sleep(openTime + 3*time.Second)
	}
	cancel()
	g.Wait()
	opened, served, often := 0, 0, 0
	for _, c := range clients {
		c.mu.Lock()
		opened, served = opened+c.opened, served+c.served
		c.mu.Unlock()
	}
	total := 0
	for _, n := range w.nodes {
		w.log("%s ended by itself %d times", n.name, s.ends[n])
		total += s.ends[n]
		if s.ends[n] >= ownEnds {
			often++
		}
	}
	text := fmt.Sprintf("%d flows opened, %d requests answered; processes ended by themselves %d times, on %d of %d machines (%d of %d entry instances) three times or more, with no disturbance", opened, served, total, often, len(w.nodes), often, len(fronts))
	switch {
	case served < 100:
		return w, verdict{couldNot, "too little was served: " + text}
	case often >= max(2, (len(w.nodes)+9)/10):
		return w, verdict{broken, "Fault is broken: " + text}
	}
	return w, verdict{held, "Fault holds: " + text}
}

// supervisor starts processes again that ended by themselves, as the provider does.
type supervisor struct {
	w    *world
	mu   sync.Mutex
	ends map[*node]int
}

func (s *supervisor) run(ctx context.Context, n *node) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.done:
		}
		s.mu.Lock()
		s.ends[n]++
		s.mu.Unlock()
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			s.w.log("start %s: %v", n.name, err)
			return
		}
	}
}

// openMany opens a flow for each request at an interval, for openTime.
func (c *client) openMany(ctx context.Context, port uint16) {
	for end := time.Now().Add(openTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(openInterval) {
		go c.oneRequest(ctx, port)
	}
}

// oneRequest opens a flow, sends a request and closes it. It tries again once, on a new flow, as a
// client does after a failure.
func (c *client) oneRequest(ctx context.Context, to uint16) {
	for range 2 {
		if c.tryRequest(ctx, to) || ctx.Err() != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (c *client) tryRequest(ctx context.Context, to uint16) bool {
	ch := make(chan packet, 16)
	c.mu.Lock()
	c.port++
	port := c.port
	c.open[port] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.open, port)
		c.mu.Unlock()
	}()
	p := packet{sum: endSum, src: endpoint{ip4(c.ip), port}, dst: endpoint{ip4(c.w.routeIP()), to}, flags: flagSYN, seq: rand.Uint32()}
	c.w.log("client %s: flow from port %d to %s:%d", c.ip, port, net.IP(p.dst.ip[:]), to)
	answer, ok := c.handshake(&p, ch)
	if !ok {
		return false
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	p.flags, p.seq, p.ack, p.echo = flagACK, p.seq+1, answer.seq+1, answer.echo
	p.data = fmt.Appendf(nil, "request of port %d of %s", port, c.ip)
	host := ""
	if !c.request(ctx, &p, ch, &host) {
		return false
	}
	p.flags, p.data = flagACK|flagFIN, nil
	c.send(&p)
	return true
}
