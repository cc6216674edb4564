package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// host stands in for a host: it serves flows and reports its status.
type host struct {
	w        *world
	id       string
	identity uint64
	ip, zone string
	born     time.Time
	conn     *net.UDPConn
	stop     chan struct{}
	wg       sync.WaitGroup

	mu    sync.Mutex
	flows map[netip.AddrPort]*hostFlow
	// resets are the flows for which the host sent a reset.
	resets map[netip.AddrPort]bool
	// runs is the number of requests that it ran.
	runs int
}

// hostFlow is a flow at its host.
type hostFlow struct {
	seq, next uint32
	open      bool
	// last is the answer to the last request, and lastSeq that request's number.
	last    *packet
	lastSeq uint32
}

// workTime is how long a host works on a request.
const workTime = 5 * time.Millisecond

// startHost starts a host in a zone.
func (w *world) startHost(zone, machine int) (*host, error) {
	h := &host{
		w: w, identity: uint64(rand.Uint32()), ip: w.ip(zone, machine), zone: fmt.Sprintf("zone-%d", zone), born: time.Now(),
		stop: make(chan struct{}), flows: map[netip.AddrPort]*hostFlow{}, resets: map[netip.AddrPort]bool{},
	}
	h.id = fmt.Sprintf("i-%08x", h.identity)
	var err error
	h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(h.addr())))
	if err != nil {
		return nil, err
	}
	w.logf("host %s (%s) started at %s", h.id, h.zone, h.addr())
	h.wg.Add(2)
	go h.serve()
	go h.report()
	return h, nil
}

func (h *host) addr() string { return h.w.addr(h.ip, hostOffset) }

func (h *host) close() {
	close(h.stop)
	h.conn.Close()
	h.wg.Wait()
}

// serve answers packets until the socket is closed.
func (h *host) serve() {
	defer h.wg.Done()
	buf := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if to := binary.BigEndian.Uint64(buf); to != h.identity && to != 0 {
			continue
		}
		if p, ok := decode(buf[8:n]); ok {
			h.handle(&p)
		}
	}
}

func (h *host) send(out *packet) {
	to := netip.AddrPortFrom(out.dst.Addr(), uint16(h.w.port+packetOffset))
	_, _ = h.conn.WriteToUDPAddrPort(out.encode(), to)
}

func (h *host) handle(p *packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[p.src]
	out := &packet{src: p.dst, dst: p.src, echo: p.echo, flags: flagACK}
	switch {
	case p.flags&flagRST != 0:
		delete(h.flows, p.src)
	case p.flags&flagSYN != 0:
		if f == nil || f.next != p.seq+1 {
			f = &hostFlow{seq: rand.Uint32(), next: p.seq + 1}
			h.flows[p.src] = f
		}
		out.flags, out.seq, out.ack = flagSYN|flagACK, f.seq, f.next
		h.send(out)
	case f == nil || (!f.open && p.ack != f.seq+1):
		out.flags, out.seq = flagRST, p.ack
		h.resets[p.src] = true
		h.w.logf("host %s resets flow %s, which it doesn't hold", h.id, p.src)
		h.send(out)
	case p.flags&flagFIN != 0:
		out.seq, out.ack = p.ack, p.seq+uint32(len(p.data))+1
		delete(h.flows, p.src)
		h.send(out)
	default:
		f.open = true
		if len(p.data) == 0 {
			return
		}
		if f.last != nil && p.seq == f.lastSeq {
			f.last.echo = p.echo
			h.send(f.last)
			return
		}
		if p.seq != f.next {
			return
		}
		f.next += uint32(len(p.data))
		h.runs++
		h.w.logf("host %s runs %s", h.id, p.data)
		out.seq, out.ack, out.data = p.ack, f.next, []byte("done "+string(p.data))
		f.last, f.lastSeq = out, p.seq
		time.AfterFunc(workTime, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.send(out)
		})
	}
}

// report sends status reports until the host stops. After a failure it calls the next
// control machine.
func (h *host) report() {
	defer h.wg.Done()
	next := ""
	for sequence := 1; ; sequence++ {
		body := map[string]any{
			"service": service, "address": h.addr(), "zone": h.zone, "version": "v1", "slots": 2, "state": "ready",
			"warmup_left_ms": 0, "sequence": sequence, "born": h.born.UnixMilli(),
		}
		addrs := []string{}
		if next != "" {
			addrs = append(addrs, next)
		}
		for _, n := range h.w.controls() {
			addrs = append(addrs, h.w.addr(n.ip, controlOffset))
		}
		for _, addr := range addrs {
			status, reply, err := post("http://"+addr+"/Instances.Heartbeat/"+h.id, body)
			if err != nil || status != http.StatusOK {
				next = ""
				continue
			}
			var r struct {
				Next string `json:"heartbeat_url"`
			}
			if json.Unmarshal(reply, &r) == nil && r.Next != "" {
				next = r.Next
			}
			if sequence == 1 {
				h.w.logf("first report of host %s acknowledged by %s", h.id, addr)
			}
			break
		}
		select {
		case <-h.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}
