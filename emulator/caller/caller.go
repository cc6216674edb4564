// Package caller emulates callers: each opens a flow to a service, sends requests
// on it, and checks that every answer is complete and comes from the slot that
// answered first.
package caller

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/emulator/fabric"
	"catkinrail.example/catkinrail/emulator/wire"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/transport/udp"
)

// Timing of flows.
const (
	tickInterval = 10 * time.Millisecond
	// firstRetryInterval is the time before a packet is sent again; it doubles with
	// each attempt.
	firstRetryInterval = time.Second
	maxAttempts        = 7
)

// Profile describes the flows to one service.
type Profile struct {
	Service string
	Addr    netip.AddrPort
	Proto   uint8
	// Flows is the number of flows.
	Flows int
	// Interval is the time from an answer to the flow's next request.
	Interval time.Duration
	// Requests is the number of requests of a flow; with 0 it sends requests until
	// FinishFlows.
	Requests int
	// Chunks is the number of chunks of each answer.
	Chunks int
}

// state is the state of a flow as its caller sees it.
type state uint8

const (
	notStarted state = iota
	connecting
	idle
	awaitingAnswer
	closed
	failed
)

// flow is one caller's flow.
type flow struct {
	profile *Profile
	key     catkinrail.FlowKey
	state   state
	// slot is the name of the slot that answered first.
	slot string
	// cause says why the flow failed.
	cause string
	// nextAction is when the next packet is due.
	nextAction time.Time
	// attempts counts how often the current packet was sent.
	attempts int
	request  wire.Request
	// received holds the indexes of the chunks received for the request.
	received     map[int]bool
	requestsDone int
}

// Callers runs the flows of all profiles. Its methods are safe for concurrent use.
type Callers struct {
	clock  catkinrail.Clock
	fabric *fabric.Fabric
	conn   *udp.Conn

	mu    sync.Mutex
	flows map[catkinrail.FlowKey]*flow
	order []*flow
	// finishing is set once FinishFlows was called.
	finishing bool
}

// New returns callers that send packets through f and receive answers on conn.
func New(clock catkinrail.Clock, f *fabric.Fabric, conn *udp.Conn) *Callers {
	return &Callers{clock: clock, fabric: f, conn: conn, flows: map[catkinrail.FlowKey]*flow{}}
}

// Add adds the profile's flows, whose starts are spread evenly over the ramp.
func (c *Callers) Add(p *Profile, ramp time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for i := range p.Flows {
		n := len(c.order)
		src := netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
		f := &flow{profile: p, nextAction: now.Add(ramp * time.Duration(i) / time.Duration(p.Flows))}
		f.key = catkinrail.FlowKey{
			Src: src.As16(), SrcPort: uint16(20000 + n%20000),
			Dst: p.Addr.Addr().As16(), DstPort: p.Addr.Port(), Proto: p.Proto,
		}
		c.flows[f.key] = f
		c.order = append(c.order, f)
	}
}

// Run starts goroutines in g that run the flows until ctx ends.
func (c *Callers) Run(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return c.read(ctx) })
	g.Go(func() error { return c.tick(ctx) })
}

// FinishFlows makes each flow finish its request and then close. No more flows open.
func (c *Callers) FinishFlows() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishing = true
}

// tick sends the packets that are due, until ctx ends.
func (c *Callers) tick(ctx context.Context) error {
	out, err := udp.Listen(ctx, netip.AddrPortFrom(c.conn.LocalAddr().Addr(), 0))
	if err != nil {
		return err
	}
	defer out.Close()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		c.mu.Lock()
		now := c.clock.Now()
		for _, f := range c.order {
			if !now.Before(f.nextAction) {
				c.step(f, now, out)
			}
		}
		c.mu.Unlock()
		out.Flush()
	}
}

// step takes a flow's next step, which is due.
func (c *Callers) step(f *flow, now time.Time, out *udp.Conn) {
	switch f.state {
	case notStarted:
		if c.finishing || c.fabric.Ready() == 0 {
			return
		}
		f.state = connecting
		f.attempts = 0
		c.open(f, now, out)
	case connecting:
		c.open(f, now, out)
	case idle:
		if c.finishing || (f.profile.Requests > 0 && f.requestsDone >= f.profile.Requests) {
			c.close(f, out)
			return
		}
		f.state = awaitingAnswer
		f.attempts = 0
		f.request = wire.Request{ID: f.request.ID + 1, Chunks: f.profile.Chunks}
		f.received = map[int]bool{}
		c.sendRequest(f, now, out)
	case awaitingAnswer:
		c.sendRequest(f, now, out)
	}
}

// open sends the opening packet, or with UDP the first request.
func (c *Callers) open(f *flow, now time.Time, out *udp.Conn) {
	if f.key.Proto == catkinrail.ProtoUDP {
		f.state = awaitingAnswer
		f.request = wire.Request{ID: 1, Chunks: f.profile.Chunks}
		f.received = map[int]bool{}
		c.sendRequest(f, now, out)
		return
	}
	if !c.scheduleRetry(f, now, "no answer to the opening packet") {
		return
	}
	c.send(f, ip.FlagSYN, nil, out)
}

// sendRequest sends the flow's current request, for the first time or again.
func (c *Callers) sendRequest(f *flow, now time.Time, out *udp.Conn) {
	if !c.scheduleRetry(f, now, fmt.Sprintf("answer to request %d is incomplete: got %d of %d chunks", f.request.ID, len(f.received), f.request.Chunks)) {
		return
	}
	c.send(f, ip.FlagACK, f.request.Append(nil), out)
}

// scheduleRetry counts an attempt and sets the time of the next one. After
// maxAttempts it fails the flow with the cause and returns false.
func (c *Callers) scheduleRetry(f *flow, now time.Time, cause string) bool {
	if f.attempts == maxAttempts {
		f.fail(cause)
		return false
	}
	f.nextAction = now.Add(firstRetryInterval << f.attempts)
	f.attempts++
	return true
}

func (c *Callers) close(f *flow, out *udp.Conn) {
	f.state = closed
	f.nextAction = f.nextAction.Add(365 * 24 * time.Hour)
	if f.key.Proto == catkinrail.ProtoTCP {
		c.send(f, ip.FlagFIN|ip.FlagACK, nil, out)
	}
}

func (f *flow) fail(cause string) {
	if f.state != closed {
		f.state = failed
		f.cause = cause
	}
}

// send queues a packet of the flow on out, to an entry instance that the fabric
// picks. If none is ready, the packet is lost.
func (c *Callers) send(f *flow, flags uint8, payload []byte, out *udp.Conn) {
	to, ok := c.fabric.Pick()
	if !ok {
		return
	}
	out.Queue(to, ip.Append(nil, &ip.Segment{Key: f.key, Flags: flags, Seq: f.request.ID, Payload: payload}))
}

// read handles answers until ctx ends.
func (c *Callers) read(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	for {
		n, err := c.conn.Read()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return catkinrail.At(err, "read answers", "")
		}
		c.mu.Lock()
		for i := range n {
			if b, complete := c.conn.Datagram(i); complete {
				c.handlePacket(b)
			}
		}
		c.mu.Unlock()
	}
}

// handlePacket handles a packet from a backend server.
func (c *Callers) handlePacket(b []byte) {
	var h ip.Header
	if ip.Parse(b, &h) != ip.FaultNone {
		return
	}
	k := h.Key
	k.Src, k.Dst = k.Dst, k.Src
	k.SrcPort, k.DstPort = k.DstPort, k.SrcPort
	f := c.flows[k]
	if f == nil || f.state == closed || f.state == failed {
		return
	}
	if h.Flags&ip.FlagRST != 0 {
		f.fail("reset by a backend server; the first answer was from " + f.slot)
		return
	}
	if a, ok := wire.ParseAnswer(b[h.Payload:]); ok {
		c.handleAnswer(f, &a)
	}
}

// handleAnswer checks a chunk of an answer and advances the flow.
func (c *Callers) handleAnswer(f *flow, a *wire.Answer) {
	if a.Service != f.profile.Service {
		f.fail(fmt.Sprintf("answer from service %s to a request for service %s", a.Service, f.profile.Service))
		return
	}
	if f.slot == "" {
		f.slot = a.Slot
	}
	if f.slot != a.Slot {
		// A retried opening packet may be answered by another slot, too; the flow
		// stays with the one that answered first.
		if a.Total > 0 {
			f.fail(fmt.Sprintf("answer from %s; the first answer was from %s", a.Slot, f.slot))
		}
		return
	}
	switch {
	case f.state == connecting && a.Total == 0:
		f.state = idle
		f.nextAction = c.clock.Now()
	case f.state == awaitingAnswer && a.ID == f.request.ID && a.Total == f.request.Chunks:
		f.received[a.Index] = true
		if len(f.received) == f.request.Chunks {
			f.requestsDone++
			f.state = idle
			f.nextAction = c.clock.Now().Add(f.profile.Interval)
		}
	}
}

// Result summarizes the flows of a profile.
type Result struct {
	Service string
	// Served, Broken and Open are the numbers of flows that closed with all answers
	// complete, that failed, and that are in any other state.
	Served, Broken, Open int
	// Requests is the number of requests that were answered completely.
	Requests int
	// BySlot is the number of flows by the slot that answered first.
	BySlot map[string]int
	// Causes says why flows failed, for at most maxCauses of them.
	Causes []string
	// Imbalance is the maximum over the mean of BySlot.
	Imbalance float64
}

// maxCauses limits the causes that are listed for a profile.
const maxCauses = 10

// Results returns a result for each profile, in order.
func (c *Callers) Results(profiles []*Profile) []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Result
	for _, p := range profiles {
		r := Result{Service: p.Service, BySlot: map[string]int{}}
		for _, f := range c.order {
			if f.profile == p {
				r.add(f)
			}
		}
		r.Imbalance = imbalance(r.BySlot)
		out = append(out, r)
	}
	return out
}

func (r *Result) add(f *flow) {
	r.Requests += f.requestsDone
	if f.slot != "" {
		r.BySlot[f.slot]++
	}
	switch f.state {
	case closed:
		r.Served++
	case failed:
		r.Broken++
		if len(r.Causes) < maxCauses {
			r.Causes = append(r.Causes, fmt.Sprintf("%s: %s", f.key.String(), f.cause))
		}
	default:
		r.Open++
	}
}

// imbalance returns the maximum over the mean of flows by slot, or 0 without flows.
func imbalance(by map[string]int) float64 {
	total, most := 0, 0
	for _, n := range by {
		total += n
		most = max(most, n)
	}
	if total == 0 {
		return 0
	}
	return float64(most) * float64(len(by)) / float64(total)
}
