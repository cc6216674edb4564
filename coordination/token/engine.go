// Package token routes packets by the token that they carry: any entry instance
// can forward any packet of an open flow without having seen the flow before.
// Only the opening packets of a flow call for a choice. It is pure step logic;
// times are passed in.
package token

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/place"
)

// Action is what to do with a packet.
type Action uint8

// Actions.
const (
	// Drop means that the packet goes nowhere; the sender repeats it.
	Drop Action = iota
	// Forward means that the packet goes to the verdict's backend server.
	Forward
	// Refuse means that the caller is told at once that the flow doesn't exist.
	Refuse
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"drop", "forward", "refuse"}[a]
}

// Reason says why a packet was dropped, refused or sent where it was.
type Reason uint8

// Reasons.
const (
	// ReasonPlaced is a new flow on the best backend server.
	ReasonPlaced Reason = iota
	// ReasonCopy is a copy of an opening packet to the same backend server.
	ReasonCopy
	// ReasonNext is a copy of an opening packet to another backend server,
	// because the first left it unanswered.
	ReasonNext
	// ReasonToken is a packet that its token brings to its backend server.
	ReasonToken
	// ReasonNoRoute is an endpoint that the document doesn't have.
	ReasonNoRoute
	// ReasonStale is an endpoint or a backend server that isn't known, while what
	// is known may not be the newest.
	ReasonStale
	// ReasonNoBackend is a service without a backend server that takes new flows.
	ReasonNoBackend
	// ReasonUnknownToken is a token of no known backend server.
	ReasonUnknownToken
	// ReasonGone is a token of a backend server whose life has ended, its flows
	// with it.
	ReasonGone
	// ReasonNoDocument is a packet before the first document.
	ReasonNoDocument
	// ReasonOverload is a new flow while this instance can't keep up.
	ReasonOverload
	numReasons
)

// String returns the name of the reason.
func (r Reason) String() string {
	names := [numReasons]string{
		"placed", "copy", "next", "token", "no-route", "stale", "no-backend",
		"unknown-token", "gone", "no-document", "overload",
	}
	if r >= numReasons {
		return "unknown"
	}
	return names[r]
}

// Reasons returns all reasons.
func Reasons() []Reason {
	list := make([]Reason, numReasons)
	for i := range list {
		list[i] = Reason(i)
	}
	return list
}

// Verdict is the decision about a packet.
type Verdict struct {
	Action Action
	Reason Reason
	// Backend is where a forwarded packet goes.
	Backend *Backend
}

// Timing of decisions.
const (
	// copyGap is the time since an opening packet was passed on from which a copy
	// means that it was left unanswered. Callers send the first copy after 200 ms;
	// copies that waited here together come closer to each other.
	copyGap = 120 * time.Millisecond
	// currentSpan is the time since the last word of control for which the
	// document counts as current: twice the longest pause between two updates.
	currentSpan = time.Second
	// flowTimeout is the time without a packet after which a flow is forgotten
	// here. Its packets still go by their token.
	flowTimeout = 20 * time.Second
	// openTimeout is the time after which a caller has given up on a flow that got
	// no answer: copies are sent until 600 ms, and the last is waited for.
	openTimeout = 2 * time.Second
	// handshakeFactor times the usual handshake is the time after which one counts
	// as unanswered, between the bounds below. The upper one is before the first
	// copy.
	handshakeFactor     = 4
	minHandshakeTimeout = 30 * time.Millisecond
	maxHandshakeTimeout = 150 * time.Millisecond
	// endGrace is the time after the end of a backend server's life from which the
	// callers of its flows are told. It may still send its last packets when it
	// says that it leaves.
	endGrace = 2 * time.Second
	// answerTimeout is the time after which a request counts no longer as
	// waiting: its caller has given up.
	answerTimeout = 5 * time.Second
	// latencyShift sets the share of one request in the latency of a backend
	// server to 1/8, which follows a change within some ten requests.
	latencyShift = 3
)

// maxFlows bounds the flows that are remembered, at 200 bytes each.
const maxFlows = 1 << 16

// Backend is an incarnation with what this instance sees of it.
type Backend struct {
	catkinrail.Incarnation
	token   catkinrail.Token
	silent  bool
	warm    int64
	waiting int
	// unopened is the number of flows that wait for their handshake. They count
	// as load: a server that resets every flow at once has no other.
	unopened int
	flows    int
	latency  time.Duration
	misses   int
	missed   int64
	// ended is the time at which its life was found to be over.
	ended int64
	// quiet is the time at which its silence was told.
	quiet int64
}

// Token returns the token that packets to the backend server carry.
func (b *Backend) Token() catkinrail.Token { return b.token }

// Silent reports whether control hears nothing of the backend server.
func (b *Backend) Silent() bool { return b.silent }

// flow is what is remembered of a flow that was seen here.
type flow struct {
	backend *Backend
	// first is the backend server that a copy was taken away from.
	first *Backend
	seq   uint32
	// opened is the time at which the opening packet was last passed on.
	opened int64
	// open is set once the caller has answered the handshake.
	open bool
	// missed is set once the handshake counts as unanswered.
	missed bool
	// asked is the time of the request that waits, or zero.
	asked int64
	// sent and acked are the newest positions of the caller's packets.
	sent, acked uint32
	seen        int64
}

// Observer hears of the times that the engine learns. It must not wait.
type Observer interface {
	// Handshake is the time from an opening packet to the caller's answer.
	Handshake(took time.Duration)
	// Answer is the time from a request to the acknowledgement of its answer.
	Answer(took time.Duration)
}

// Engine decides about packets. It isn't safe for concurrent use.
type Engine struct {
	observer Observer
	zone     catkinrail.Zone
	rng      *rand.Rand
	document *catkinrail.Document
	routes   map[netip.AddrPort]*catkinrail.Route
	backends map[string]*Backend
	tokens   map[catkinrail.Token]*Backend
	services map[string][]*Backend
	flows    map[catkinrail.FlowKey]*flow
	// heard is the time of the last update of a control instance that is current
	// and has told all that it knows.
	heard int64
	// overloaded is set while new flows are turned away.
	overloaded bool
	candidates []place.Candidate
	// handshakes are the flows that may wait for their handshake, in order.
	handshakes []handshake
	// usual is the usual time of a handshake, zero if unknown.
	usual time.Duration
}

// handshake is the opening of a flow.
type handshake struct {
	key    catkinrail.FlowKey
	opened int64
}

// New returns an engine without a document.
func New(zone catkinrail.Zone, seed uint64) *Engine {
	return &Engine{
		zone: zone, rng: rand.New(rand.NewPCG(seed, uint64(len(zone)))),
		routes:   map[netip.AddrPort]*catkinrail.Route{},
		backends: map[string]*Backend{}, tokens: map[catkinrail.Token]*Backend{},
		services: map[string][]*Backend{}, flows: map[catkinrail.FlowKey]*flow{},
	}
}

// SetObserver passes the times that are learnt on to o.
func (e *Engine) SetObserver(o Observer) {
	e.observer = o
}

// Decide returns what to do with a packet.
func (e *Engine) Decide(p *catkinrail.TokenPacket, now int64) Verdict {
	if e.document == nil {
		return Verdict{Action: Drop, Reason: ReasonNoDocument}
	}
	if p.Opening {
		return e.open(p, now)
	}
	b := e.tokens[p.Token]
	if b == nil {
		return Verdict{Action: Drop, Reason: ReasonUnknownToken}
	}
	if b.Gone && now-b.ended > int64(endGrace) {
		if p.Reset {
			return Verdict{Action: Drop, Reason: ReasonGone}
		}
		return Verdict{Action: Refuse, Reason: ReasonGone}
	}
	e.observe(p, b, now)
	return Verdict{Action: Forward, Reason: ReasonToken, Backend: b}
}

// open decides about an opening packet.
func (e *Engine) open(p *catkinrail.TokenPacket, now int64) Verdict {
	e.expireHandshakes(now)
	if f := e.flows[p.Flow]; f != nil && f.seq == p.Seq && !f.backend.Gone {
		return e.again(p, f, now)
	}
	if e.overloaded {
		return e.shed(p)
	}
	listen := netip.AddrPortFrom(netip.AddrFrom16(p.Flow.Dst).Unmap(), p.Flow.DstPort)
	r := e.routes[listen]
	if r == nil {
		return e.refuse(p, ReasonNoRoute, now)
	}
	b := e.place(r.Pick(e.rng.Uint64()), nil, now)
	if b == nil {
		return e.refuse(p, ReasonNoBackend, now)
	}
	e.remember(p, b, now)
	return Verdict{Action: Forward, Reason: ReasonPlaced, Backend: b}
}

// refuse turns a new flow away at once if that is certainly right: if what this
// instance knows is current, and no instance can have passed the flow on.
func (e *Engine) refuse(p *catkinrail.TokenPacket, reason Reason, now int64) Verdict {
	if e.Age(now) > currentSpan {
		return Verdict{Action: Drop, Reason: ReasonStale}
	}
	if p.Copy > 0 {
		return Verdict{Action: Drop, Reason: reason}
	}
	return Verdict{Action: Refuse, Reason: reason}
}

// shed turns a new flow away. A copy is dropped: the first may have been passed on
// elsewhere.
func (e *Engine) shed(p *catkinrail.TokenPacket) Verdict {
	if p.Copy > 0 {
		return Verdict{Action: Drop, Reason: ReasonOverload}
	}
	return Verdict{Action: Refuse, Reason: ReasonOverload}
}

// SetOverloaded says whether new flows are to be turned away, for the sake of those
// that are open. It reports whether that is news.
func (e *Engine) SetOverloaded(on bool) (changed bool) {
	changed = e.overloaded != on
	e.overloaded = on
	return changed
}

// again decides about a copy of an opening packet.
func (e *Engine) again(p *catkinrail.TokenPacket, f *flow, now int64) Verdict {
	f.seen = now
	if f.open || now-f.opened < int64(copyGap) {
		return Verdict{Action: Forward, Reason: ReasonCopy, Backend: f.backend}
	}
	e.miss(f, now)
	next := e.place(f.backend.Service, f.backend, now)
	if next == nil || next == f.first {
		f.opened = now
		return Verdict{Action: Forward, Reason: ReasonCopy, Backend: f.backend}
	}
	f.first = f.backend
	e.detach(f)
	f.backend, f.opened, f.missed = next, now, false
	next.flows++
	next.unopened++
	e.handshakes = append(e.handshakes, handshake{p.Flow, now})
	return Verdict{Action: Forward, Reason: ReasonNext, Backend: next}
}

// place returns the backend server for a new flow, other than the one to avoid,
// or nil if there is none.
func (e *Engine) place(service string, avoid *Backend, now int64) *Backend {
	list := e.services[service]
	if len(list) == 0 {
		return nil
	}
	e.candidates = e.candidates[:0]
	for _, b := range list {
		e.candidates = append(e.candidates, place.Candidate{
			Slots: b.Slots, Waiting: b.waiting + b.unopened, Flows: b.flows, Latency: b.latency,
			Warmup: time.Duration(max(0, b.warm-now)), Misses: b.misses, SinceMiss: time.Duration(now - b.missed),
			Silent: b.silent, Draining: b.Draining || b == avoid, Local: b.Zone == e.zone,
		})
	}
	i := place.Choose(e.candidates, e.rng.Uint64())
	if i < 0 {
		return nil
	}
	return list[i]
}
