package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// router picks the entry instance for a packet: by a hash over those of a zone in rotation.
type router struct {
	w    *world
	zone string
	mu   sync.Mutex
	list []*node
}

// run polls the readiness of the zone's entry instances twice a second until ctx ends.
func (r *router) run(ctx context.Context) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	missed := map[*node]int{}
	for ctx.Err() == nil {
		var ready, all []*node
		for _, n := range r.w.nodes {
			if n.class != "front" || n.zone != r.zone {
				continue
			}
			all = append(all, n)
			missed[n]++
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, r.w.ready))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					missed[n] = 0
				}
			}
			if missed[n] < 2 {
				ready = append(ready, n)
			}
		}
		if 2*len(ready) < len(all) {
			ready = all
		}
		r.mu.Lock()
		r.list = ready
		r.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

func (r *router) pick(p *packet) *node {
	h := fnv.New32a()
	var b [2]byte
	binary.BigEndian.PutUint16(b[:], p.src.port)
	_, _ = h.Write(p.src.ip[:])
	_, _ = h.Write(b[:])
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) == 0 {
		return nil
	}
	return r.list[int(h.Sum32())%len(r.list)]
}

// reset is a reset that a client got on an open flow.
type reset struct {
	at    time.Time
	key   flowKey
	host  string
	bySys bool
	held  bool
}

// client keeps long flows open and sends a request on each after a pause.
type client struct {
	w      *world
	ip     string
	router *router
	// holds reports whether the host with the identifier holds the flow.
	holds func(id string, key flowKey) bool

	conn   *net.UDPConn
	mu     sync.Mutex
	open   map[uint16]chan packet
	port   uint16
	resets []reset
	served int
	opened int
	failed int
}

func newClient(w *world, zone string, n int, r *router, holds func(string, flowKey) bool) *client {
	return &client{w: w, ip: w.ip(zone, 200+n), router: r, holds: holds, open: map[uint16]chan packet{}, port: uint16(20000 + rand.IntN(20000))}
}

// run keeps the given number of flows to the route's port open until ctx ends.
func (c *client) run(ctx context.Context, flows int, port uint16, pause time.Duration) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(c.ip), Port: c.w.packets})
	if err != nil {
		return err
	}
	c.conn = conn
	context.AfterFunc(ctx, func() { conn.Close() })
	go c.read()
	for i := range flows {
		go func() {
			time.Sleep(time.Duration(i) * pause / time.Duration(flows))
			for ctx.Err() == nil {
				if !c.runFlow(ctx, port, pause) {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	return nil
}

func (c *client) read() {
	buf := make([]byte, 4096)
	for {
		n, _, err := c.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		ch := c.open[p.dst.port]
		c.mu.Unlock()
		select {
		case ch <- p:
		default:
		}
	}
}

func (c *client) send(p *packet) {
	if n := c.router.pick(p); n != nil {
		_, _ = c.conn.WriteToUDP(p.encode(), &net.UDPAddr{IP: net.ParseIP(n.ip), Port: c.w.packets})
	}
}

// maxFlowAge is below max_flow_s.
const maxFlowAge = 50 * time.Second

// runFlow opens a flow and sends requests on it until it ends.
func (c *client) runFlow(ctx context.Context, to uint16, pause time.Duration) bool {
	ch := make(chan packet, 64)
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
	began := time.Now()
	p := packet{sum: endSum, src: endpoint{ip4(c.ip), port}, dst: endpoint{ip4(c.w.routeIP()), to}, flags: flagSYN, seq: rand.Uint32()}
	answer, ok := c.handshake(&p, ch)
	if !ok {
		c.mu.Lock()
		c.failed++
		c.mu.Unlock()
		return false
	}
	p.flags, p.seq, p.ack, p.echo = flagACK, p.seq+1, answer.seq+1, answer.echo
	c.send(&p)
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()
	host := ""
	for n := 0; ctx.Err() == nil && time.Since(began) < maxFlowAge; n++ {
		p.data = fmt.Appendf(nil, "request %d of port %d of %s", n, port, c.ip)
		if !c.request(ctx, &p, ch, &host) {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	p.flags, p.data = flagACK|flagFIN, nil
	c.send(&p)
	return true
}

// handshake sends the opening packet and its copies.
func (c *client) handshake(p *packet, ch chan packet) (packet, bool) {
	began := time.Now()
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.Sleep(time.Until(began.Add(at)))
		p.ack = uint32(i)
		c.send(p)
		until := began.Add(1400 * time.Millisecond)
		if i == 0 {
			until = began.Add(200 * time.Millisecond)
		} else if i == 1 {
			until = began.Add(600 * time.Millisecond)
		}
		select {
		case in := <-ch:
			return in, in.flags&flagSYN != 0 && in.flags&flagRST == 0
		case <-time.After(time.Until(until)):
		}
	}
	return packet{}, false
}

// request sends a request, again after 200 ms, doubled up to 1.6 s, until its answer arrives. It
// returns false if the flow has ended.
func (c *client) request(ctx context.Context, p *packet, ch chan packet, host *string) bool {
	wait := 200 * time.Millisecond
	deadline := time.Now().Add(4 * time.Second)
	c.send(p)
	again := time.After(wait)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		select {
		case in := <-ch:
			if in.flags&flagRST != 0 {
				c.recordReset(p, &in, *host)
				return false
			}
			if len(in.data) == 0 || in.ack != p.seq+uint32(len(p.data)) {
				continue
			}
			if id, _, _ := strings.Cut(string(in.data), " "); *host == "" {
				*host = id
			}
			c.mu.Lock()
			c.served++
			c.mu.Unlock()
			c.w.log("client %s: answer to %q: %q", c.ip, p.data, in.data)
			p.seq += uint32(len(p.data))
			p.ack, p.echo, p.data = in.seq+uint32(len(in.data)), in.echo, nil
			c.send(p)
			return true
		case <-again:
			c.send(p)
			wait = min(2*wait, 1600*time.Millisecond)
			again = time.After(wait)
		case <-ctx.Done():
			return false
		}
	}
	c.w.log("client %s: no answer to %q", c.ip, p.data)
	return false
}

// maxResetDistance is the distance of a reset's number from the last acknowledgement up to which a
// client takes it.
const maxResetDistance = 76800

func (c *client) recordReset(p, in *packet, host string) {
	distance := int64(int32(in.seq - p.ack))
	if distance < -maxResetDistance || distance > maxResetDistance {
		return
	}
	r := reset{at: time.Now(), key: flowKey{p.src, p.dst}, host: host, bySys: in.sum == 0}
	r.held = host != "" && c.holds(host, r.key)
	c.w.log("client %s: flow of port %d on host %s is reset; by the system: %t; the host holds it: %t", c.ip, p.src.port, host, r.bySys, r.held)
	c.mu.Lock()
	c.resets = append(c.resets, r)
	c.mu.Unlock()
}
