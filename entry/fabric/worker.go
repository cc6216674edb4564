package fabric

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/transport/udp"
)

// staleAfter is the age of a decision from which it isn't carried out any more.
// A process that was stopped between deciding and sending decides again, by
// what its lease says then.
const staleAfter = 20 * time.Millisecond

// Nanos tells the time in nanoseconds.
type Nanos interface {
	Nanos() int64
}

// Socket is what a worker needs of a udp.Conn.
type Socket interface {
	Read() (int, error)
	Datagram(i int) (b []byte, whole bool)
	Source(i int) netip.AddrPort
	Queue(to netip.AddrPort, b []byte)
	Discard()
	Flush() (lost int)
	Close() error
}

// Worker serves one socket. Not safe for concurrent use.
type Worker struct {
	engine *route.Engine
	clock  Nanos
	conn   Socket
	key    relay.Key
	stats  *Stats
	// relaying is set for the socket that other entry instances send to.
	relaying bool

	header  ip.Header
	message relay.Message
	// scratch holds the bytes of messages that are queued.
	scratch [][]byte
	used    int
	tally   tally
}

// New returns a worker for a socket of the fabric, or of the other entry
// instances if relaying is set.
func New(e *route.Engine, clock Nanos, conn Socket, key relay.Key, stats *Stats, relaying bool) *Worker {
	w := &Worker{engine: e, clock: clock, conn: conn, key: key, stats: stats, relaying: relaying}
	for range udp.BatchSize {
		w.scratch = append(w.scratch, make([]byte, 0, udp.MaxDatagram+relay.Overhead))
	}
	return w
}

// Run serves the socket until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { w.conn.Close() })
	defer stop()
	for {
		n, err := w.conn.Read()
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return catkinrail.At(err, "read packets", "")
		}
		if n > 0 {
			w.Batch(n)
		}
	}
}

// Batch decides about the n datagrams that were read last, and sends what
// follows. If the process was held up meanwhile, it decides again.
func (w *Worker) Batch(n int) {
	now := w.clock.Nanos()
	w.decide(n, now)
	if late := w.clock.Nanos(); late-now > int64(staleAfter) {
		w.stats.retried.Inc(1)
		w.conn.Discard()
		w.decide(n, late)
	}
	if lost := w.conn.Flush(); lost > 0 {
		w.stats.lost.Inc(int64(lost))
	}
	w.stats.last.Store(now)
	w.tally.flush(w.stats)
}

func (w *Worker) decide(n int, now int64) {
	w.used = 0
	w.tally = tally{received: int64(n)}
	for i := range n {
		b, whole := w.conn.Datagram(i)
		switch {
		case !whole:
			w.stats.faults[ip.FaultOversized].Inc(1)
		case w.relaying:
			w.relayed(b, w.conn.Source(i), now)
		default:
			w.packet(b, w.conn.Source(i), now)
		}
	}
}

// packet decides about a packet from the fabric.
func (w *Worker) packet(b []byte, from netip.AddrPort, now int64) {
	if !w.parse(b) {
		return
	}
	v := w.engine.HandlePacket(&w.header, now)
	w.carryOut(&v, b, from)
}

func (w *Worker) parse(b []byte) bool {
	fault := ip.Parse(b, &w.header)
	if fault != ip.FaultNone {
		w.stats.faults[fault].Inc(1)
		return false
	}
	return true
}

// relayed handles a message of another entry instance.
func (w *Worker) relayed(b []byte, from netip.AddrPort, now int64) {
	payload, err := w.key.Parse(b, &w.message)
	if err != nil {
		w.stats.relayErrors.Inc(1)
		return
	}
	if w.message.Kind == relay.Lookup || w.message.Kind == relay.Store {
		if !w.parse(payload) {
			return
		}
		v := w.engine.HandleRelayed(&w.message, &w.header, now)
		w.carryOut(&v, payload, from)
		return
	}
	answers, err := w.engine.Receive(&w.message, payload, now)
	if err != nil {
		w.stats.relayErrors.Inc(1)
	}
	for i := range answers {
		w.send(answers[i].Addr, &answers[i].Message, answers[i].Payload)
	}
}

func (w *Worker) carryOut(v *route.Verdict, b []byte, from netip.AddrPort) {
	w.stats.count(v)
	switch v.Action {
	case route.Forward:
		w.tally.forwarded++
		w.conn.Queue(v.Addr, b)
	case route.Relay:
		w.tally.relayed++
		w.send(v.Addr, &v.Message, b)
	case route.Refuse:
		w.tally.refused++
		w.refuse(b, from)
	case route.Drop:
		w.stats.reasons[v.Reason].Inc(1)
	}
}

// buffer returns an empty buffer that stays untouched until the next flush.
func (w *Worker) buffer() *[]byte {
	if w.used == len(w.scratch) {
		w.conn.Flush()
		w.used = 0
	}
	b := &w.scratch[w.used]
	*b = (*b)[:0]
	w.used++
	return b
}

func (w *Worker) send(to netip.AddrPort, m *relay.Message, payload []byte) {
	buf := w.buffer()
	*buf = w.key.Append(*buf, m, payload)
	w.conn.Queue(to, *buf)
}

// refuse sends a reset back the way that the packet came.
func (w *Worker) refuse(b []byte, from netip.AddrPort) {
	buf := w.buffer()
	*buf = ip.AppendRefusal(*buf, b, &w.header)
	w.conn.Queue(from, *buf)
}
