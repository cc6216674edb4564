package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// copyTimes are the times of the opening packets of a flow.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const (
	openTimeout    = 1400 * time.Millisecond
	requestTimeout = 1500 * time.Millisecond
)

// client opens flows from one address in a zone, see the section "Flows" of PROTOCOL.md.
type client struct {
	w    *world
	zone string
	addr netip.Addr
	conn *net.UDPConn
	mu   sync.Mutex
	port uint16
	open map[uint16]chan packet
}

// outcome is the result of a request on a flow of its own.
type outcome struct {
	text string
	host string
	// opened holds the sending times of the opening packets, via the entry instance of the first.
	opened []time.Time
	via    netip.AddrPort
	client netip.AddrPort
}

func (w *world) startClient(z, n int) (*client, error) {
	c := &client{w: w, zone: zones[z], addr: w.addr(z, n, 0).Addr(), port: 20000, open: map[uint16]chan packet{}}
	var err error
	if c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, packetPort))); err != nil {
		return nil, err
	}
	w.wg.Add(1)
	go c.read()
	go func() {
		<-w.ctx.Done()
		c.conn.Close()
	}()
	return c, nil
}

func (c *client) read() {
	defer c.w.wg.Done()
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		ch := c.open[p.dst.Port()]
		c.mu.Unlock()
		select {
		case ch <- p:
		default:
		}
	}
}

// flow is an open flow of a client.
type flow struct {
	c        *client
	p        packet
	ch       chan packet
	via      netip.AddrPort
	requests int
}

// request opens a flow to a route, sends a request and closes the flow. With via, all packets go to that entry
// instance instead of the one that the routers choose.
func (c *client) request(route, via netip.AddrPort) outcome {
	f, o := c.openFlow(route, via)
	if f == nil {
		return o
	}
	defer f.close()
	o.text, o.host = f.request()
	return o
}

// openFlow opens a flow to a route, see request. It returns nil and the outcome if the flow wasn't opened.
func (c *client) openFlow(route, via netip.AddrPort) (*flow, outcome) {
	c.mu.Lock()
	c.port++
	src := netip.AddrPortFrom(c.addr, c.port)
	ch := make(chan packet, 64)
	c.open[src.Port()] = ch
	c.mu.Unlock()
	o := outcome{client: src}
	p := packet{flags: flagSYN, src: src, dst: route, seq: rand.Uint32()}
	begin := time.Now()
	var in packet
	ok := false
	for i, at := range copyTimes {
		time.Sleep(time.Until(begin.Add(at)))
		p.ack = uint32(i)
		to := c.send(&p, via)
		if i == 0 {
			o.via = to
		}
		o.opened = append(o.opened, time.Now())
		until := begin.Add(openTimeout)
		if i+1 < len(copyTimes) {
			until = begin.Add(copyTimes[i+1])
		}
		if in, ok = await(ch, until, func(in *packet) bool { return in.flags&(flagSYN|flagRST) != 0 }); ok {
			break
		}
	}
	if ok && in.flags&flagRST == 0 {
		p.flags, p.seq, p.ack, p.echo = flagACK, p.seq+1, in.seq+1, in.echo
		c.send(&p, via)
		return &flow{c: c, p: p, ch: ch, via: via}, o
	}
	o.text = "no answer"
	if ok {
		o.text = "reset"
	}
	c.forget(src.Port())
	return nil, o
}

func (c *client) forget(port uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, port)
}

// request sends a request and returns its outcome and the host that answered.
func (f *flow) request() (text, host string) {
	f.requests++
	f.p.flags, f.p.data = flagACK, fmt.Appendf(nil, "request %d of %s", f.requests, f.p.src)
	deadline := time.Now().Add(requestTimeout)
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait *= 2 {
		f.c.send(&f.p, f.via)
		answer, ok := await(f.ch, time.Now().Add(wait), func(in *packet) bool {
			return in.flags&flagRST != 0 || len(in.data) > 0 && in.ack == f.p.seq+uint32(len(f.p.data))
		})
		if !ok {
			continue
		}
		if answer.flags&flagRST != 0 {
			if answer.sum == 0 {
				return "reset of the open flow by the system", ""
			}
			return "reset of the open flow by its host", ""
		}
		host, text, _ := strings.Cut(string(answer.data), " ")
		if text != string(f.p.data) {
			return "answer of another request", host
		}
		f.p.seq, f.p.ack, f.p.echo = f.p.seq+uint32(len(f.p.data)), answer.seq+uint32(len(answer.data)), answer.echo
		f.p.data = nil
		return "served", host
	}
	return "no answer on the open flow", ""
}

func (f *flow) close() {
	f.p.flags, f.p.data = flagACK|flagFIN, nil
	f.c.send(&f.p, f.via)
	f.c.forget(f.p.src.Port())
}

func await(ch chan packet, until time.Time, match func(*packet) bool) (packet, bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		select {
		case in := <-ch:
			if match(&in) {
				return in, true
			}
		case <-timer.C:
			return packet{}, false
		}
	}
}

func (c *client) send(p *packet, via netip.AddrPort) netip.AddrPort {
	p.sign()
	to := via
	if !to.IsValid() {
		var ok bool
		if to, ok = c.w.pick(c.zone, p.src, p.dst); !ok {
			return to
		}
	}
	_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to)
	return to
}
