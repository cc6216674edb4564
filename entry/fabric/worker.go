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

// maxDecisionAge is the age above which a decision is discarded. If the process was
// stalled between deciding and sending, the lease may have expired, so the worker
// decides again.
const maxDecisionAge = 20 * time.Millisecond

// NanoClock returns the time in nanoseconds.
type NanoClock interface {
	Nanos() int64
}

// Socket is the part of udp.Conn that a worker uses.
type Socket interface {
	Read() (int, error)
	Datagram(i int) (b []byte, complete bool)
	Source(i int) netip.AddrPort
	Queue(to netip.AddrPort, b []byte)
	Discard()
	Flush() (failed int)
	Close() error
}

// Worker serves one socket. Not safe for concurrent use.
type Worker struct {
	engine *route.Engine
	clock  NanoClock
	conn   Socket
	key    relay.Key
	stats  *Stats
	// relaySocket is set if other entry instances send to the socket.
	relaySocket bool

	header  ip.Header
	message relay.Message
	// scratch holds buffers for messages, of which the first ones hold queued messages;
	// used is the number of those.
	scratch [][]byte
	used    int
	counts  batchCounts
}

// New returns a worker for a socket that receives from the fabric, or from other
// entry instances if relaySocket is set.
func New(e *route.Engine, clock NanoClock, conn Socket, key relay.Key, stats *Stats, relaySocket bool) *Worker {
	w := &Worker{engine: e, clock: clock, conn: conn, key: key, stats: stats, relaySocket: relaySocket}
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

// Batch decides about the n datagrams of the last read and sends the results. If the
// process was stalled in between, it decides again before it sends.
func (w *Worker) Batch(n int) {
	now := w.clock.Nanos()
	w.decide(n, now)
	if late := w.clock.Nanos(); late-now > int64(maxDecisionAge) {
		w.stats.decidedAgain.Inc(1)
		w.conn.Discard()
		w.decide(n, late)
	}
	if failed := w.conn.Flush(); failed > 0 {
		w.stats.sendFailed.Inc(int64(failed))
	}
	w.stats.lastPacket.Store(now)
	w.counts.flush(w.stats)
}

func (w *Worker) decide(n int, now int64) {
	w.used = 0
	w.counts = batchCounts{received: int64(n)}
	for i := range n {
		b, whole := w.conn.Datagram(i)
		switch {
		case !whole:
			w.stats.malformed[ip.FaultOversized].Inc(1)
		case w.relaySocket:
			w.handleRelay(b, w.conn.Source(i), now)
		default:
			w.handlePacket(b, w.conn.Source(i), now)
		}
	}
}

// handlePacket handles a packet from the fabric.
func (w *Worker) handlePacket(b []byte, from netip.AddrPort, now int64) {
	if !w.parse(b) {
		return
	}
	v := w.engine.HandlePacket(&w.header, now)
	w.execute(&v, b, from)
}

func (w *Worker) parse(b []byte) bool {
	fault := ip.Parse(b, &w.header)
	if fault != ip.FaultNone {
		w.stats.malformed[fault].Inc(1)
		return false
	}
	return true
}

// handleRelay handles a message from another entry instance.
func (w *Worker) handleRelay(b []byte, from netip.AddrPort, now int64) {
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
		w.execute(&v, payload, from)
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

func (w *Worker) execute(v *route.Verdict, b []byte, from netip.AddrPort) {
	w.stats.count(v)
	switch v.Action {
	case route.Forward:
		w.counts.forwarded++
		w.conn.Queue(v.Addr, b)
	case route.Relay:
		w.counts.relayed++
		w.send(v.Addr, &v.Message, b)
	case route.Refuse:
		w.counts.refused++
		w.refuse(b, from)
	case route.Drop:
		w.stats.dropped[v.Reason].Inc(1)
	}
}

// buffer returns an empty buffer that isn't reused before the next flush.
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

// refuse sends a reset to the UDP address from which the packet was received, not to
// the caller's.
func (w *Worker) refuse(b []byte, from netip.AddrPort) {
	buf := w.buffer()
	*buf = ip.AppendRefusal(*buf, b, &w.header)
	w.conn.Queue(from, *buf)
}
