// Package packet receives callers' packets that carry a routing token, and forwards
// or refuses them as the token engine decides.
package packet

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/egress"
	"catkinrail.example/catkinrail/coordination/overload"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/entry/fabric"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/metricspage"
	"catkinrail.example/catkinrail/transport/udp"
)

// arenaSize is the size in bytes of the buffer for the packets that a batch sends.
const arenaSize = udp.BatchSize * 2048

// logLinesPerSecond limits the log lines about flows. It is above the rate of new
// flows that an entry instance receives today.
const logLinesPerSecond = 100

// Router guards a token engine with a lock, so that workers and clients can share it.
type Router struct {
	mu     sync.Mutex
	engine *token.Engine
	clock  fabric.NanoClock
	wall   catkinrail.Clock
}

// NewRouter returns a router for the engine. The wall clock shows whether the machine was
// suspended while the steady clock stood still.
func NewRouter(e *token.Engine, clock fabric.NanoClock, wall catkinrail.Clock) *Router {
	return &Router{engine: e, clock: clock, wall: wall}
}

// Do calls f with the engine and the time in nanoseconds, with the lock held.
func (r *Router) Do(f func(e *token.Engine, now int64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Nanos()
	r.engine.CheckClock(now, r.wall.Now().UnixNano())
	f(r.engine, now)
}

// minReadTimeout is the shortest time for which a read waits for datagrams.
const minReadTimeout = 100 * time.Microsecond

// Socket is the part of udp.Conn that a worker uses.
type Socket interface {
	fabric.Socket
	// ReadTimeout is like Read, but returns zero if no datagram arrives within d.
	ReadTimeout(d time.Duration) (int, error)
}

// Worker serves one socket. Not safe for concurrent use.
type Worker struct {
	router *Router
	conn   Socket
	codec  catkinrail.TokenCodec
	log    *logs.Logger
	budget *logs.Budget

	reasons    []metrics.Counter
	malformed  metrics.Counter
	sendFailed metrics.Counter
	detector   overload.Detector
	// queue holds the packets that wait for the link; the router's lock guards it.
	queue      *egress.Queue
	linkStats  *linkStats
	lastPacket atomic.Int64
	arena      []byte
	events     []flowEvent
	// crowding is reused by LogLoad.
	crowding []token.Crowding
}

// flowEvent is a decision to be logged.
type flowEvent struct {
	flow catkinrail.FlowKey
	copy uint32
	token.Verdict
	backend string
	version uint64
	ageMS   int64
}

// New returns a worker for the socket. It registers its metrics with reg.
func New(r *Router, conn Socket, codec catkinrail.TokenCodec, clock catkinrail.Clock, log *logs.Logger, reg metrics.Registry) *Worker {
	w := &Worker{
		router: r, conn: conn, codec: codec, log: log, budget: logs.NewBudget(clock, logLinesPerSecond),
		malformed: metrics.GetOrRegisterCounter("packets-bad", reg), sendFailed: metrics.GetOrRegisterCounter("packets-send-failed", reg),
		arena: make([]byte, 0, arenaSize), queue: egress.New(), linkStats: newLinkStats(reg),
	}
	r.Do(func(e *token.Engine, _ int64) {
		e.SetObserver(newObserver(reg))
	})
	for _, reason := range token.Reasons() {
		w.reasons = append(w.reasons, metrics.GetOrRegisterCounter("packets-"+reason.String(), reg))
	}
	return w
}

// observer records the engine's observations in histograms.
type observer struct {
	handshake, answer metrics.Histogram
	choices           []metrics.Counter
	reg               metrics.Registry
	// spilled counts the flows placed in other zones by expected work, by zone.
	spilled map[catkinrail.Zone]metrics.Counter
}

func newObserver(reg metrics.Registry) *observer {
	o := &observer{
		handshake: metricspage.Histogram("handshake", reg), answer: metricspage.Histogram("answer", reg),
		reg: reg, spilled: map[catkinrail.Zone]metrics.Counter{},
	}
	for _, kind := range token.ChoiceKinds() {
		o.choices = append(o.choices, metrics.GetOrRegisterCounter("placed-"+kind.String(), reg))
	}
	return o
}

// Placed implements token.Observer.
func (o *observer) Placed(kind token.ChoiceKind, zone catkinrail.Zone) {
	o.choices[kind].Inc(1)
	if kind < token.ChoiceSpilled {
		return
	}
	c := o.spilled[zone]
	if c == nil {
		c = metrics.GetOrRegisterCounter("spilled-"+string(zone), o.reg)
		o.spilled[zone] = c
	}
	c.Inc(1)
}

// Handshake implements token.Observer.
func (o *observer) Handshake(took time.Duration) { o.handshake.Update(int64(took)) }

// Answer implements token.Observer.
func (o *observer) Answer(took time.Duration) { o.answer.Update(int64(took)) }

// LastPacket returns the time of the last packet, in nanoseconds of the clock.
func (w *Worker) LastPacket() int64 {
	return w.lastPacket.Load()
}

// Run serves the socket until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { w.conn.Close() })
	defer stop()
	for {
		n, err := w.read()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return catkinrail.At(err, "read packets", "")
		}
		w.Batch(n)
	}
}

// SetLink sets the rate of the instance's link in bits a second. Anything but a positive
// number means that the link is unlimited.
func (w *Worker) SetLink(bitsPerSecond float64) {
	w.router.Do(func(e *token.Engine, _ int64) {
		w.queue.SetLink(bitsPerSecond)
		e.SetLinkRate(w.queue.Rate())
	})
}

// LogLoad logs what the link has carried since the last call, if packets had to wait, and the
// services for which there was no place.
func (w *Worker) LogLoad() {
	w.crowding = w.crowding[:0]
	w.router.Do(func(e *token.Engine, _ int64) {
		w.linkStats.log(w.log)
		w.crowding = e.TakeCrowding(w.crowding)
	})
	for i := range w.crowding {
		c := &w.crowding[i]
		w.log.Info().Str("service", c.Service).Int("refused", c.Refused).Int("elsewhere", c.Elsewhere).
			Int("slots", c.Zone.Slots).Int("pending", c.Zone.Pending).Int64("latency-ms", c.Zone.Latency.Milliseconds()).
			Int("instances", c.Instances).Int64("mean-work-us", c.MeanWork.Microseconds()).Msg("service crowded")
	}
}

// read waits for datagrams, or until the next waiting packet may be sent.
func (w *Worker) read() (int, error) {
	var at, now int64
	waiting := false
	w.router.Do(func(_ *token.Engine, nanos int64) {
		now = nanos
		at, waiting = w.queue.NextAt()
	})
	if !waiting {
		return w.conn.Read()
	}
	return w.conn.ReadTimeout(max(time.Duration(at-now), minReadTimeout))
}

// Batch handles the datagrams of the socket's last read, and sends the waiting packets
// that the link can take.
func (w *Worker) Batch(n int) {
	w.arena = w.arena[:0]
	w.events = w.events[:0]
	w.router.Do(func(e *token.Engine, now int64) {
		if n > 0 {
			w.lastPacket.Store(now)
		}
		overloaded := w.detector.ObserveRead(n == udp.BatchSize, now)
		if e.SetOverloaded(overloaded) {
			w.log.Info().Bool("overloaded", overloaded).Int("flows", e.Flows()).Msg("overload changed")
		}
		e.SetLinkWait(w.linkWait())
		for i := range n {
			w.handle(e, i, now)
		}
		w.sendWaiting(e, now)
	})
	if failed := w.conn.Flush(); failed > 0 {
		w.sendFailed.Inc(int64(failed))
	}
	for i := range w.events {
		w.logEvent(&w.events[i])
	}
}

func (w *Worker) handle(e *token.Engine, i int, now int64) {
	b, whole := w.conn.Datagram(i)
	var p catkinrail.TokenPacket
	if err := w.codec.Parse(b, &p); err != nil || !whole {
		w.malformed.Inc(1)
		return
	}
	v := e.Decide(&p, now)
	w.reasons[v.Reason].Inc(1)
	if v.Reason != token.ReasonToken {
		w.recordEvent(e, &p, &v, now)
	}
	if len(w.arena)+len(b)+64 > cap(w.arena) {
		w.conn.Flush()
		w.arena = w.arena[:0]
	}
	w.linkStats.received(v.Class, len(b))
	start := len(w.arena)
	switch v.Action {
	case token.Forward:
		w.arena = w.codec.Forward(w.arena, b, v.Backend.Identity, v.Backend.Token())
		w.send(egress.Packet{To: v.Backend.Addr, Flow: p.Flow, Seq: p.Seq, Class: v.Class, Version: e.Version(), Data: w.arena[start:]}, now)
	case token.Refuse:
		w.arena = w.codec.Reset(w.arena, &p)
		w.send(egress.Packet{To: w.codec.Caller(&p), Flow: p.Flow, Seq: p.Seq, Class: egress.ClassOpening, Version: e.Version(), Data: w.arena[start:]}, now)
	}
}

// send sends a packet, or queues a copy until the link can take it.
func (w *Worker) send(p egress.Packet, now int64) {
	if w.queue.Admit(len(p.Data), now) {
		w.conn.Queue(p.To, p.Data)
		w.linkStats.sent(p.Class, len(p.Data), 0)
		return
	}
	if w.queue.Push(&p, now) == egress.Duplicate {
		w.linkStats.duplicates.Inc(1)
	}
}

// sendWaiting sends the waiting packets that the link can take.
func (w *Worker) sendWaiting(e *token.Engine, now int64) {
	w.queue.Release()
	for {
		p, waited, ok := w.queue.Pop(now)
		if !ok {
			break
		}
		if p.Class == egress.ClassOpening && p.Version != e.Version() && !e.AllowsOpening(&p.Flow, p.Seq, p.To, now) {
			w.recordEvent(e, &catkinrail.TokenPacket{Flow: p.Flow}, &token.Verdict{Action: token.Drop, Reason: token.ReasonNoRoute}, now)
			continue
		}
		w.conn.Queue(p.To, p.Data)
		w.lastPacket.Store(now)
		w.linkStats.sent(p.Class, len(p.Data), waited)
		if p.Class == egress.ClassBulk {
			e.RecordSent(p.Flow, now)
		}
	}
	w.linkStats.update(w.queue, e)
}

func (w *Worker) linkWait() (wait [egress.NumClasses]time.Duration) {
	for c := range egress.NumClasses {
		wait[c] = w.queue.Wait(c)
	}
	return wait
}

// recordEvent keeps a decision to be logged after the batch's packets are sent.
func (w *Worker) recordEvent(e *token.Engine, p *catkinrail.TokenPacket, v *token.Verdict, now int64) {
	event := flowEvent{flow: p.Flow, copy: p.Copy, Verdict: *v, version: e.Version(), ageMS: int64(e.Age(now)) / 1e6}
	if v.Backend != nil {
		event.backend = v.Backend.Name
	}
	w.events = append(w.events, event)
}

// logEvent logs a decision, unless the limit on log lines is reached.
func (w *Worker) logEvent(event *flowEvent) {
	skipped, ok := w.budget.Allow()
	if !ok {
		return
	}
	line := w.log.Info().Str("flow", event.flow.String()).Stringer("action", event.Action).Stringer("reason", event.Reason).
		Uint64("document", event.version).Int64("age-ms", event.ageMS)
	if event.backend != "" {
		line = line.Str("backend", event.backend)
	}
	if event.copy > 0 {
		line = line.Uint32("copy", event.copy)
	}
	if skipped > 0 {
		line = line.Uint64("skipped", skipped)
	}
	line.Msg("flow")
}
