// Package packet receives callers' packets that carry a routing token and sends
// them on as the token engine decides.
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
	"catkinrail.example/catkinrail/coordination/overload"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/entry/fabric"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/metricspage"
	"catkinrail.example/catkinrail/transport/udp"
)

// arenaSize holds the packets of one batch, in bytes.
const arenaSize = udp.BatchSize * 2048

// logLines is the number of lines a second about flows: above the new flows of
// an entry instance at today's sizes.
const logLines = 100

// Router is the engine with the lock that its users share.
type Router struct {
	mu     sync.Mutex
	engine *token.Engine
	clock  fabric.Nanos
}

// NewRouter returns a router.
func NewRouter(e *token.Engine, clock fabric.Nanos) *Router {
	return &Router{engine: e, clock: clock}
}

// Do calls f with the engine and the time, and nobody else meanwhile.
func (r *Router) Do(f func(e *token.Engine, now int64)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.engine, r.clock.Nanos())
}

// Worker serves one socket. Not safe for concurrent use.
type Worker struct {
	router *Router
	conn   fabric.Socket
	codec  catkinrail.TokenCodec
	log    *logs.Logger
	budget *logs.Budget

	reasons  []metrics.Counter
	bad      metrics.Counter
	unsent   metrics.Counter
	gauge    overload.Detector
	last     atomic.Int64
	arena    []byte
	verdicts []verdict
}

// verdict is a decision that a line is written about.
type verdict struct {
	flow catkinrail.FlowKey
	copy uint32
	token.Verdict
	backend string
	version uint64
	age     int64
}

// New returns a worker for the socket.
func New(r *Router, conn fabric.Socket, codec catkinrail.TokenCodec, clock catkinrail.Clock, log *logs.Logger, reg metrics.Registry) *Worker {
	w := &Worker{
		router: r, conn: conn, codec: codec, log: log, budget: logs.NewBudget(clock, logLines),
		bad: metrics.GetOrRegisterCounter("packets-bad", reg), unsent: metrics.GetOrRegisterCounter("packets-send-failed", reg),
		arena: make([]byte, 0, arenaSize),
	}
	r.Do(func(e *token.Engine, _ int64) {
		e.SetObserver(&times{
			handshake: metricspage.Histogram("handshake", reg), answer: metricspage.Histogram("answer", reg),
		})
	})
	for _, reason := range token.Reasons() {
		w.reasons = append(w.reasons, metrics.GetOrRegisterCounter("packets-"+reason.String(), reg))
	}
	return w
}

// times are the histograms of what the engine learns.
type times struct {
	handshake, answer metrics.Histogram
}

// Handshake implements token.Observer.
func (t *times) Handshake(took time.Duration) { t.handshake.Update(int64(took)) }

// Answer implements token.Observer.
func (t *times) Answer(took time.Duration) { t.answer.Update(int64(took)) }

// Last returns the time of the last packet, in nanoseconds of the clock.
func (w *Worker) Last() int64 {
	return w.last.Load()
}

// Run serves the socket until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { w.conn.Close() })
	defer stop()
	for {
		n, err := w.conn.Read()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return catkinrail.At(err, "receive packets", "")
		}
		w.Batch(n)
	}
}

// Batch handles the datagrams of the socket's last read.
func (w *Worker) Batch(n int) {
	w.arena = w.arena[:0]
	w.verdicts = w.verdicts[:0]
	w.router.Do(func(e *token.Engine, now int64) {
		w.last.Store(now)
		overloaded := w.gauge.ObserveRead(n == udp.BatchSize, now)
		if e.SetOverloaded(overloaded) {
			w.log.Info().Bool("overloaded", overloaded).Int("flows", e.Flows()).Msg("overload changed")
		}
		for i := range n {
			w.handle(e, i, now)
		}
	})
	if lost := w.conn.Flush(); lost > 0 {
		w.unsent.Inc(int64(lost))
	}
	for i := range w.verdicts {
		w.write(&w.verdicts[i])
	}
}

func (w *Worker) handle(e *token.Engine, i int, now int64) {
	b, whole := w.conn.Datagram(i)
	var p catkinrail.TokenPacket
	if err := w.codec.Parse(b, &p); err != nil || !whole {
		w.bad.Inc(1)
		return
	}
	v := e.Decide(&p, now)
	w.reasons[v.Reason].Inc(1)
	if v.Reason != token.ReasonToken {
		w.note(e, &p, &v, now)
	}
	if len(w.arena)+len(b)+64 > cap(w.arena) {
		w.conn.Flush()
		w.arena = w.arena[:0]
	}
	from := len(w.arena)
	switch v.Action {
	case token.Forward:
		w.arena = w.codec.Forward(w.arena, b, v.Backend.Identity, v.Backend.Token())
		w.conn.Queue(v.Backend.Addr, w.arena[from:])
	case token.Refuse:
		w.arena = w.codec.Reset(w.arena, &p)
		w.conn.Queue(w.codec.Caller(&p), w.arena[from:])
	}
}

// note keeps a decision until the packets are out.
func (w *Worker) note(e *token.Engine, p *catkinrail.TokenPacket, v *token.Verdict, now int64) {
	n := verdict{flow: p.Flow, copy: p.Copy, Verdict: *v, version: e.Version(), age: int64(e.Age(now)) / 1e6}
	if v.Backend != nil {
		n.backend = v.Backend.Name
	}
	w.verdicts = append(w.verdicts, n)
}

// write logs a decision.
func (w *Worker) write(v *verdict) {
	skipped, ok := w.budget.Allow()
	if !ok {
		return
	}
	line := w.log.Info().Str("flow", v.flow.String()).Stringer("action", v.Action).Stringer("reason", v.Reason).
		Uint64("document", v.version).Int64("age-ms", v.age)
	if v.backend != "" {
		line = line.Str("backend", v.backend)
	}
	if v.copy > 0 {
		line = line.Uint32("copy", v.copy)
	}
	if skipped > 0 {
		line = line.Uint64("skipped", skipped)
	}
	line.Msg("flow")
}
