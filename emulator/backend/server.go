// Package backend emulates backend servers: they announce themselves, receive
// packets as IP in UDP, and answer the caller directly.
package backend

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/emulator/wire"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/transport/udp"
)

// Config describes a backend server.
type Config struct {
	Service, Name string
	Zone          catkinrail.Zone
	Addr          netip.Addr
	Slots         int
	Incarnation   uint64
	// Callers is the address that answers are sent to.
	Callers netip.AddrPort
	// Entries are the announcement addresses of the zone's entry instances.
	Entries []string
}

// Server is an emulated backend server.
type Server struct {
	cfg   Config
	conns []*udp.Conn
	// Accepted counts the flows that were accepted.
	Accepted atomic.Int64
	// Resets counts the resets that were sent for unknown flows.
	Resets atomic.Int64
}

// New opens the server's sockets, one per slot.
func New(ctx context.Context, cfg Config) (*Server, error) {
	s := &Server{cfg: cfg}
	for range cfg.Slots {
		c, err := udp.Listen(ctx, netip.AddrPortFrom(cfg.Addr, 0))
		if err != nil {
			return nil, err
		}
		s.conns = append(s.conns, c)
	}
	return s, nil
}

// Run starts goroutines in g that serve packets and send announcements until ctx
// ends.
func (s *Server) Run(ctx context.Context, g *errgroup.Group) {
	for i, c := range s.conns {
		slot := &slot{server: s, conn: c, name: fmt.Sprintf("%s#%d/%d", s.cfg.Name, s.cfg.Incarnation, i), flows: map[catkinrail.FlowKey]*flow{}}
		g.Go(func() error { return slot.run(ctx) })
	}
	g.Go(func() error { return s.announce(ctx) })
}

// announcement returns the server's announcement.
func (s *Server) announcement() plan.Announcement {
	a := plan.Announcement{
		Service: s.cfg.Service, Name: s.cfg.Name, Zone: s.cfg.Zone, Incarnation: s.cfg.Incarnation,
	}
	for _, c := range s.conns {
		a.Slots = append(a.Slots, c.LocalAddr())
	}
	return a
}

// flow is a flow that a slot has accepted.
type flow struct {
	last wire.Request
}

// slot is one slot of a server.
type slot struct {
	server *Server
	conn   *udp.Conn
	// name identifies the server's incarnation and the slot in answers.
	name  string
	flows map[catkinrail.FlowKey]*flow
	// queued holds the answers to send with the next flush.
	queued [][]byte
}

func (s *slot) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.conn.Close() })
	defer stop()
	for {
		n, err := s.conn.Read()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return catkinrail.At(err, "read packets", s.name)
		}
		for i := range n {
			if b, complete := s.conn.Datagram(i); complete {
				s.handlePacket(b)
			}
		}
		s.flush()
	}
}

func (s *slot) flush() {
	for _, b := range s.queued {
		s.conn.Queue(s.server.cfg.Callers, b)
	}
	s.conn.Flush()
	s.queued = s.queued[:0]
}

// handlePacket answers a packet as a TCP or UDP stack with a service behind it
// would.
func (s *slot) handlePacket(b []byte) {
	var h ip.Header
	if ip.Parse(b, &h) != ip.FaultNone || h.Quoted {
		return
	}
	f := s.flows[h.Key]
	opening := h.Opening() || (h.Key.Proto == catkinrail.ProtoUDP && f == nil)
	if opening && f == nil {
		f = &flow{}
		s.flows[h.Key] = f
		s.server.Accepted.Add(1)
	}
	switch {
	case h.Flags&ip.FlagRST != 0:
		delete(s.flows, h.Key)
	case f == nil:
		s.server.Resets.Add(1)
		s.answer(&h, ip.FlagRST, nil)
	case h.Opening():
		s.answer(&h, ip.FlagSYN|ip.FlagACK, &wire.Answer{Service: s.server.cfg.Service, Slot: s.name})
	case h.Flags&ip.FlagFIN != 0:
		delete(s.flows, h.Key)
	default:
		s.handleRequest(&h, f, b[h.Payload:])
	}
}

// handleRequest answers a request with the number of chunks that it asks for.
func (s *slot) handleRequest(h *ip.Header, f *flow, payload []byte) {
	r, ok := wire.ParseRequest(payload)
	if !ok {
		return
	}
	f.last = r
	for i := range r.Chunks {
		s.answer(h, ip.FlagACK, &wire.Answer{
			Service: s.server.cfg.Service, Slot: s.name, ID: r.ID, Index: i, Total: r.Chunks,
		})
	}
}

func (s *slot) answer(h *ip.Header, flags uint8, a *wire.Answer) {
	k := h.Key
	k.Src, k.Dst = k.Dst, k.Src
	k.SrcPort, k.DstPort = k.DstPort, k.SrcPort
	seg := &ip.Segment{Key: k, Flags: flags}
	if a != nil {
		seg.Payload = a.Append(nil)
	}
	s.queued = append(s.queued, ip.Append(nil, seg))
}

// announceInterval is the time between two successful announcements.
const announceInterval = 2 * time.Second
