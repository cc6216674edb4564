package main

import (
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

// request opens a flow to a route, sends a request and closes the flow. With via, all packets go to that entry
// instance instead of the one that the routers choose.
func (c *client) request(route, via netip.AddrPort) outcome {
	c.mu.Lock()
	c.port++
	src := netip.AddrPortFrom(c.addr, c.port)
	ch := make(chan packet, 64)
	c.open[src.Port()] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.open, src.Port())
		c.mu.Unlock()
	}()
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
	switch {
	case !ok:
		o.text = "no answer"
		return o
	case in.flags&flagRST != 0:
		o.text = "reset"
		return o
	}
	p.flags, p.seq, p.ack, p.echo = flagACK, p.seq+1, in.seq+1, in.echo
	p.data = []byte("request " + src.String())
	deadline := time.Now().Add(requestTimeout)
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait *= 2 {
		c.send(&p, via)
		answer, ok := await(ch, time.Now().Add(wait), func(in *packet) bool { return len(in.data) > 0 || in.flags&flagRST != 0 })
		if !ok {
			continue
		}
		if answer.flags&flagRST != 0 {
			o.text = "reset of the open flow"
			return o
		}
		host, text, _ := strings.Cut(string(answer.data), " ")
		if text != string(p.data) {
			o.text = "answer of another request"
			return o
		}
		o.text, o.host = "served", host
		p.seq, p.ack, p.echo = p.seq+uint32(len(p.data)), answer.seq+uint32(len(answer.data)), answer.echo
		p.flags, p.data = flagACK|flagFIN, nil
		c.send(&p, via)
		return o
	}
	o.text = "no answer on the open flow"
	return o
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
