package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// router stands in for the platform's routers.
type router struct {
	w    *world
	mu   sync.Mutex
	list []*node
}

// startRouter polls the readiness of the entry machines until stop is closed.
func (w *world) startRouter(entries []*node, stop chan struct{}) *router {
	r := &router{w: w}
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	missed := make([]int, len(entries))
	go func() {
		for {
			var ready []*node
			for i, n := range entries {
				missed[i]++
				if resp, err := client.Get("http://" + w.addr(n.ip, readyOffset) + "/ready"); err == nil {
					resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						missed[i] = 0
					}
				}
				if missed[i] < 2 {
					ready = append(ready, n)
				}
			}
			if 2*len(ready) < len(entries) {
				ready = entries
			}
			r.mu.Lock()
			r.list = ready
			r.mu.Unlock()
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
		}
	}()
	return r
}

// pick returns the entry machine for a flow.
func (r *router) pick(p *packet) netip.AddrPort {
	h := fnv.New32a()
	fmt.Fprint(h, p.src, p.dst)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.list) == 0 {
		return netip.AddrPort{}
	}
	n := r.list[int(h.Sum32()%uint32(len(r.list)))]
	return netip.MustParseAddrPort(r.w.addr(n.ip, packetOffset))
}

// client opens flows from one address.
type client struct {
	w    *world
	r    *router
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	flows map[netip.AddrPort]chan packet
	port  uint16
}

func (w *world) startClient(r *router, zone, machine int) (*client, error) {
	c := &client{w: w, r: r, ip: netip.MustParseAddr(w.ip(zone, machine)), flows: map[netip.AddrPort]chan packet{}, port: 20000}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, uint16(w.port+packetOffset))))
	if err != nil {
		return nil, err
	}
	go func() {
		buf := make([]byte, 2048)
		for {
			n, _, err := c.conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			if p, ok := decode(buf[:n]); ok {
				c.mu.Lock()
				ch := c.flows[p.dst]
				c.mu.Unlock()
				select {
				case ch <- p:
				default:
				}
			}
		}
	}()
	return c, nil
}

func (c *client) close() { c.conn.Close() }

func (c *client) send(p *packet) {
	if to := c.r.pick(p); to.IsValid() {
		_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to)
	}
}

// flow is an open flow at its client.
type flow struct {
	c  *client
	p  packet
	ch chan packet
	// closed is set after a reset; system is set if the system sent it.
	closed, system bool
}

// endpoint is the address that the route is for.
var endpoint = netip.MustParseAddrPort("198.18.0.1:8443")

// open opens a flow. It returns nil if it was reset or not answered.
func (c *client) open() *flow {
	c.mu.Lock()
	c.port++
	if c.port > 60000 {
		c.port = 20000
	}
	f := &flow{c: c, ch: make(chan packet, 32), p: packet{src: netip.AddrPortFrom(c.ip, c.port), dst: endpoint, flags: flagSYN, seq: rand.Uint32()}}
	c.flows[f.p.src] = f.ch
	c.mu.Unlock()
	start := time.Now()
	at := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for i := range 3 {
		f.p.ack = uint32(i)
		c.send(&f.p)
		select {
		case in := <-f.ch:
			if in.flags&flagSYN == 0 {
				f.end()
				return nil
			}
			f.p.flags, f.p.seq, f.p.ack, f.p.echo = flagACK, f.p.seq+1, in.seq+1, in.echo
			c.send(&f.p)
			return f
		case <-time.After(time.Until(start.Add(at[i+1]))):
		}
	}
	f.end()
	return nil
}

func (f *flow) end() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.p.src)
}

// request sends a request and returns whether it was answered within the limit.
func (f *flow) request(id string, limit time.Duration) bool {
	p := f.p
	p.data = []byte(id)
	wait := 200 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); wait = min(2*wait, 1600*time.Millisecond) {
		f.c.send(&p)
		resend := time.After(wait)
	waiting:
		for {
			select {
			case in := <-f.ch:
				if in.flags&flagRST != 0 {
					f.closed, f.system = true, in.sum == 0
					return false
				}
				if string(in.data) == "done "+id {
					f.p.seq = p.seq + uint32(len(p.data))
					f.p.ack, f.p.echo = in.seq+uint32(len(in.data)), in.echo
					f.c.send(&f.p)
					f.c.w.logf("client has the answer to %s", id)
					return true
				}
			case <-resend:
				break waiting
			}
		}
	}
	return false
}

// close closes the flow with a FIN.
func (f *flow) close() {
	f.p.flags = flagACK | flagFIN
	f.c.send(&f.p)
	time.Sleep(50 * time.Millisecond)
	f.end()
}

// requestID returns a new id.
func requestID() string {
	return strings.ToLower(fmt.Sprintf("%016X", rand.Uint64()))
}
