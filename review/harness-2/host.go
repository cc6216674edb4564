package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// host is a backend server as PROTOCOL.md describes it: it reports at an interval, and serves the
// flows that reach it.
type host struct {
	w                 *world
	id, service, zone string
	ip                string
	born              int64
	control           func() []string

	mu       sync.Mutex
	flows    map[flowKey]*hostFlow
	sequence int
	next     string
	at       int
	state    string
	conn     *net.UDPConn
	// lastReport is the time of the last acknowledged report.
	lastReport time.Time
	ran        int
}

type flowKey struct{ client, route endpoint }

// hostFlow is a flow that the host holds.
type hostFlow struct {
	seq, clientNext uint32
	open            bool
	answer          *packet
}

func newHost(w *world, service, zone string, n int, control func() []string) *host {
	id := fmt.Sprintf("i-%08x", 0x10000000+rand.Uint32N(0x6fffffff))
	return &host{w: w, id: id, service: service, zone: zone, ip: w.ip(zone, 150+n), born: time.Now().UnixMilli(), control: control, flows: map[flowKey]*hostFlow{}, state: "ready", at: rand.IntN(100)}
}

func (h *host) addr() string { return fmt.Sprintf("%s:%d", h.ip, h.w.host) }

func (h *host) identity() uint64 {
	n, _ := strconv.ParseUint(h.id[2:], 16, 64)
	return n
}

// run serves until ctx ends.
func (h *host) run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(h.ip), Port: h.w.host})
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp4", h.addr())
	if err != nil {
		return err
	}
	h.conn = conn
	h.w.log("host %s of %s in %s starts at %s, born %d", h.id, h.service, h.zone, h.addr(), h.born)
	health := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })}
	go func() { _ = health.Serve(l) }()
	go h.serve()
	go h.report(ctx)
	context.AfterFunc(ctx, func() { conn.Close(); health.Close() })
	return nil
}

func (h *host) report(ctx context.Context) {
	time.Sleep(rand.N(h.w.bounds.heartbeat))
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		began := time.Now()
		for range 4 {
			if h.reportOnce(client) {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(h.w.bounds.heartbeat))):
		}
	}
}

// reportOnce makes one call. After a failure the next machine is called.
func (h *host) reportOnce(client *http.Client) bool {
	list := h.control()
	h.mu.Lock()
	h.sequence++
	addr := h.next
	if addr == "" {
		addr = list[h.at%len(list)]
	}
	body, _ := json.Marshal(map[string]any{
		"service": h.service, "address": h.addr(), "zone": h.zone, "version": "v1", "slots": 2, "state": h.state,
		"warmup_left_ms": 0, "sequence": h.sequence, "born": h.born,
	})
	sequence := h.sequence
	h.mu.Unlock()
	next, err := postReport(client, addr, h.id, body)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.w.log("host %s: report %d to %s failed: %v", h.id, sequence, addr, err)
		h.next = ""
		h.at++
		return false
	}
	if !h.lastReport.IsZero() && time.Since(h.lastReport) > 3*h.w.bounds.heartbeat/2 {
		h.w.log("host %s: report %d to %s acknowledged, %.1f s after the one before", h.id, sequence, addr, time.Since(h.lastReport).Seconds())
	}
	if h.lastReport.IsZero() {
		h.w.log("host %s: first report acknowledged by %s", h.id, addr)
	}
	h.lastReport = time.Now()
	h.next = addr
	if next != "" {
		h.next = next
	}
	return true
}

func postReport(client *http.Client, addr, id string, body []byte) (next string, err error) {
	resp, err := client.Post("http://"+addr+"/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode/100 != 2 {
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	var answer struct {
		Next string `json:"heartbeat_url"`
	}
	_ = json.Unmarshal(b, &answer)
	return answer.Next, nil
}

// serve answers packets until the socket is closed.
func (h *host) serve() {
	buf := make([]byte, 4096)
	for {
		n, _, err := h.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if id := binary.BigEndian.Uint64(buf); id != 0 && id != h.identity() {
			continue
		}
		if p, ok := decode(buf[8:n]); ok {
			h.handle(&p)
		}
	}
}

func (h *host) handle(p *packet) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := h.flows[key]
	out := &packet{sum: endSum, src: p.dst, dst: p.src, echo: p.echo, flags: flagACK}
	switch {
	case p.flags&flagSYN != 0 && p.flags&flagACK != 0:
		h.w.log("host %s: forged packet", h.id)
		return
	case p.flags&flagSYN != 0:
		if f == nil {
			f = &hostFlow{seq: rand.Uint32(), clientNext: p.seq + 1}
			h.flows[key] = f
		}
		out.flags, out.seq, out.ack = flagSYN|flagACK, f.seq, f.clientNext
	case p.flags&flagRST != 0:
		delete(h.flows, key)
		return
	case f == nil:
		out.flags, out.seq = flagRST, p.ack
	case p.flags&flagFIN != 0:
		delete(h.flows, key)
		out.seq, out.ack = p.ack, p.seq+1
	default:
		if !f.open && p.ack == f.seq+1 {
			f.open = true
			f.seq++
			h.w.log("host %s: flow from port %d of %s is open", h.id, p.src.port, net.IP(p.src.ip[:]))
		}
		if !f.open || len(p.data) == 0 {
			return
		}
		if p.seq == f.clientNext {
			h.ran++
			h.w.log("host %s: ran %q", h.id, p.data)
			f.clientNext += uint32(len(p.data))
			f.answer = &packet{sum: endSum, src: p.dst, dst: p.src, flags: flagACK, seq: f.seq, ack: f.clientNext, data: []byte(h.id + " answers " + string(p.data))}
			f.seq += uint32(len(f.answer.data))
		}
		if f.answer == nil {
			return
		}
		f.answer.echo = p.echo
		out = f.answer
	}
	if out.flags&flagRST != 0 {
		h.w.log("host %s: resets a flow that it doesn't hold, from port %d of %s", h.id, p.src.port, net.IP(p.src.ip[:]))
	}
	_, _ = h.conn.WriteToUDP(out.encode(), p.src.udp(h.w.packets))
}

// holds reports whether the host holds the flow open.
func (h *host) holds(key flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[key]
	return f != nil && f.open
}
