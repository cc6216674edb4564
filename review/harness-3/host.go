package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

// host is a host of a service, see the sections "Hosts" and "Service discovery" of PROTOCOL.md.
type host struct {
	w       *world
	id      string
	number  uint64
	service string
	zone    string
	addr    netip.AddrPort
	born    int64
	conn    *net.UDPConn
	http    *http.Server
	// fullUntil is the time up to which it takes no new flows, since it is full.
	mu        sync.Mutex
	fullUntil time.Time
	state     string
	ackedAt   time.Time
	flows     map[netip.AddrPort]*hostFlow
	taken     []takenFlow
	// nodes are the addresses of the control instances that it knows, quiet ends its status reports.
	nodes       []netip.AddrPort
	own         string
	stop, quiet chan struct{}
	endedAt     time.Time
}

type hostFlow struct {
	seq, clientSeq, echo uint32
	open                 bool
	synAt                time.Time
	from                 string
	dst                  netip.AddrPort
	// next is the sequence number of the next answer, end that of the end of the last request.
	next, end uint32
	answer    []byte
}

// takenFlow is a flow on which the host ran a request.
type takenFlow struct {
	client, route netip.AddrPort
	synAt, runAt  time.Time
	via           string
}

func (w *world) startHost(service string, z, n int, nodes ...netip.AddrPort) (*host, error) {
	if len(nodes) == 0 {
		nodes = w.controls()
	}
	number := uint64(rand.Uint32())
	h := &host{
		w: w, id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zones[z], addr: w.addr(z, n, hostPort),
		born: time.Now().UnixMilli(), state: "ready", flows: map[netip.AddrPort]*hostFlow{}, nodes: nodes, stop: make(chan struct{}), quiet: make(chan struct{}),
	}
	var err error
	if h.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.addr)); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", h.addr.String())
	if err != nil {
		return nil, err
	}
	h.http = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })}
	go func() { _ = h.http.Serve(l) }()
	w.note("host %s of %s starts in %s at %s", h.id, service, h.zone, h.addr)
	w.wg.Add(2)
	go h.serve()
	go h.report()
	go func() {
		select {
		case <-w.ctx.Done():
		case <-h.stop:
		}
		h.conn.Close()
		h.http.Close()
	}()
	return h, nil
}

// report sends status reports at the interval. It follows the address in the reply until a report fails there.
func (h *host) report() {
	defer h.w.wg.Done()
	list, next, own := h.nodes, slices.Index(zones, h.zone), ""
	for sequence := 1; ; sequence++ {
		h.mu.Lock()
		state := h.state
		h.mu.Unlock()
		body, _ := json.Marshal(map[string]any{
			"service": h.service, "address": h.addr.String(), "zone": h.zone, "version": "v1", "slots": 2, "state": state,
			"warmup_left_ms": 0, "sequence": sequence, "born": h.born,
		})
		for range len(list) + 1 {
			addr := own
			if addr == "" {
				addr = list[next%len(list)].String()
				next++
			}
			status, reply, err := post("http://"+addr+"/Instances.Heartbeat/"+h.id, body)
			if err != nil || status/100 != 2 {
				own = ""
				continue
			}
			var r struct {
				HeartbeatURL string `json:"heartbeat_url"`
			}
			own = addr
			if json.Unmarshal(reply, &r) == nil && r.HeartbeatURL != "" {
				own = strings.TrimPrefix(r.HeartbeatURL, "http://")
			}
			h.mu.Lock()
			h.own = own
			if state == "draining" && h.ackedAt.IsZero() {
				h.ackedAt = time.Now()
				h.mu.Unlock()
				h.w.note("host %s: %s acknowledges that it is draining", h.id, addr)
				break
			}
			h.mu.Unlock()
			break
		}
		wait := beat - 50*time.Millisecond + rand.N(100*time.Millisecond)
		select {
		case <-h.w.ctx.Done():
			return
		case <-h.quiet:
			return
		case <-time.After(wait):
		}
	}
}

// drain makes the host report that it is draining from its next status report on.
func (h *host) drain() {
	h.mu.Lock()
	h.state = "draining"
	h.mu.Unlock()
	h.w.note("host %s: begins to drain", h.id)
}

// leave ends the status reports, sends that the host leaves, to further nodes while there is no answer, and ends the
// host: at once after an answer, or else after a time.
func (h *host) leave(after time.Duration) {
	close(h.quiet)
	h.mu.Lock()
	targets := []string{h.own}
	h.mu.Unlock()
	for _, n := range h.nodes {
		if n.String() != targets[0] {
			targets = append(targets, n.String())
		}
	}
	answered := false
	for _, addr := range targets {
		h.w.note("host %s: sends to %s that it leaves", h.id, addr)
		status, _, err := post("http://"+addr+"/Instances.Leave/"+h.id, fmt.Appendf(nil, `{"born":%d}`, h.born))
		if err == nil && status/100 == 2 {
			answered = true
			h.w.note("host %s: %s acknowledges that it leaves", h.id, addr)
			break
		}
		h.w.note("host %s: no answer from %s", h.id, addr)
	}
	if !answered {
		h.w.sleep(after)
	}
	h.mu.Lock()
	h.endedAt = time.Now()
	h.mu.Unlock()
	h.w.note("host %s: ends", h.id)
	close(h.stop)
}

func (h *host) drainedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ackedAt
}

// serve answers packets until the socket is closed.
func (h *host) serve() {
	defer h.w.wg.Done()
	b := make([]byte, 2048)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if id := binary.BigEndian.Uint64(b); id != 0 && id != h.number {
			continue
		}
		p, ok := decode(b[8:n])
		if !ok {
			continue
		}
		if !p.genuine() {
			h.w.note("host %s: gets a packet that its sender didn't write so, through %s", h.id, from)
			continue
		}
		h.handle(&p, from)
	}
}

func (h *host) handle(p *packet, from netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[p.src]
	now := time.Now()
	switch {
	case p.flags&flagSYN != 0 && p.flags&flagACK == 0:
		if now.Before(h.fullUntil) {
			h.w.note("host %s: is full and leaves the opening packet %d of %s to %s unanswered", h.id, p.ack, p.src, p.dst)
			return
		}
		if f == nil || f.clientSeq != p.seq {
			f = &hostFlow{seq: rand.Uint32(), clientSeq: p.seq, end: p.seq + 1, synAt: now, from: from.String(), dst: p.dst}
			f.next = f.seq + 1
			h.flows[p.src] = f
			if p.ack > 0 {
				h.w.note("host %s: takes the opening packet %d of %s to %s", h.id, p.ack, p.src, p.dst)
			}
		}
		f.echo = p.echo
		h.send(p, f, flagSYN|flagACK, f.seq, p.seq+1, nil)
	case p.flags&flagRST != 0:
		delete(h.flows, p.src)
	case f == nil:
		h.send(p, &hostFlow{echo: p.echo}, flagRST, p.ack, p.seq, nil)
	default:
		f.echo = p.echo
		if p.ack == f.seq+1 {
			f.open = true
		}
		if f.open && len(p.data) > 0 {
			if p.seq == f.end {
				f.next += uint32(len(f.answer))
				f.end, f.answer = p.seq+uint32(len(p.data)), []byte(h.id+" "+string(p.data))
				h.taken = append(h.taken, takenFlow{client: p.src, route: p.dst, synAt: f.synAt, runAt: now, via: f.from})
			}
			h.send(p, f, flagACK, f.next, f.end, f.answer)
		}
		if p.flags&flagFIN != 0 {
			h.send(p, f, flagACK|flagFIN, f.next+uint32(len(f.answer)), p.seq+uint32(len(p.data))+1, nil)
			delete(h.flows, p.src)
		}
	}
}

func (h *host) send(in *packet, f *hostFlow, flags byte, seq, ack uint32, data []byte) {
	out := packet{flags: flags, dst: in.src, src: in.dst, seq: seq, ack: ack, echo: f.echo, data: data}
	out.sign()
	_, _ = h.conn.WriteToUDPAddrPort(out.encode(), netip.AddrPortFrom(in.src.Addr(), packetPort))
}

func (h *host) takenFlows() []takenFlow {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]takenFlow(nil), h.taken...)
}
