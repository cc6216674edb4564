// Package token routes packets by the token that they carry: any entry instance
// can forward any packet of an open flow without having seen the flow before.
// Only the opening packets of a flow need a placement decision. The package does
// no I/O and reads no clock; callers pass in packets and times.
package token

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/egress"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/upload"
	"catkinrail.example/catkinrail/coordination/warmup"
	"catkinrail.example/catkinrail/coordination/work"
)

// Action is what to do with a packet.
type Action uint8

// Actions.
const (
	// Drop means that the packet is discarded; its sender retransmits it.
	Drop Action = iota
	// Forward means that the packet is sent to the verdict's backend server.
	Forward
	// Refuse means that the caller is sent a reset at once, because the flow doesn't
	// exist.
	Refuse
)

// String returns the name of the action.
func (a Action) String() string {
	return [...]string{"drop", "forward", "refuse"}[a]
}

// Reason is why a packet was dropped, refused or forwarded.
type Reason uint8

// Reasons.
const (
	// ReasonPlaced is a new flow that was placed on the best backend server.
	ReasonPlaced Reason = iota
	// ReasonCopy is a retransmitted opening packet that went to the same backend
	// server as before.
	ReasonCopy
	// ReasonNext is a retransmitted opening packet that went to another backend
	// server, because the previous one had not answered.
	ReasonNext
	// ReasonToken is a packet that was forwarded by its token.
	ReasonToken
	// ReasonNoRoute is a new flow to an endpoint that the document doesn't list, or a copy of the opening packet of
	// an open flow whose service the endpoint no longer leads to.
	ReasonNoRoute
	// ReasonStale is a new flow without a known endpoint or backend server, while
	// the document and the list of backend servers may be out of date.
	ReasonStale
	// ReasonNoBackend is a new flow to a service without a backend server that takes
	// new flows.
	ReasonNoBackend
	// ReasonUnknownToken is a packet whose token belongs to no known backend server.
	ReasonUnknownToken
	// ReasonGone is a packet whose token belongs to an incarnation that has ended,
	// and its flows with it: another one holds its address, or it announced its end and doesn't answer.
	ReasonGone
	// ReasonNoDocument is a packet received before the first document.
	ReasonNoDocument
	// ReasonOverload is a new flow that was shed because this instance is overloaded.
	ReasonOverload
	// ReasonLink is a new flow that was shed because its packets would wait too long for
	// this instance's link.
	ReasonLink
	// ReasonEvacuated is a new flow to a service whose backend servers are all in
	// evacuated zones.
	ReasonEvacuated
	// ReasonCold is an opening packet to a service of which only cold backend servers are
	// left, without a loan for one of them.
	ReasonCold
	// ReasonRoom is a new flow that was refused because the backend servers of its service have
	// more requests than they can answer in time.
	ReasonRoom
	numReasons
)

// String returns the name of the reason.
func (r Reason) String() string {
	names := [numReasons]string{
		"placed", "copy", "next", "token", "no-route", "stale", "no-backend",
		"unknown-token", "gone", "no-document", "overload", "link", "evacuated", "cold", "room",
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
	// Class is the packet's priority on the link.
	Class egress.Class
}

// Timeouts and their parameters.
const (
	// retransmitGap is the time after an opening packet was forwarded from which a
	// copy shows that it was left unanswered. Callers retransmit first after 200 ms;
	// copies that were queued here together are closer to each other.
	retransmitGap = 120 * time.Millisecond
	// staleAfter is the time since the last contact with control after which the
	// document counts as stale: twice the longest pause between two updates.
	staleAfter = time.Second
	// flowIdleTimeout is the time without a packet after which a flow is no longer
	// tracked here. Its packets are still forwarded by their token.
	flowIdleTimeout = 20 * time.Second
	// openTimeout is the time after which a caller has given up on a flow that got
	// no answer: it retransmits until 600 ms and then waits for an answer.
	openTimeout = 2 * time.Second
	// A handshake counts as unanswered after handshakeFactor times the mean
	// handshake time, within the limits below. The upper one is shorter than the
	// time until callers retransmit.
	handshakeFactor     = 4
	minHandshakeTimeout = 30 * time.Millisecond
	maxHandshakeTimeout = 150 * time.Millisecond
	// endGracePeriod is the time after an incarnation has announced its end from which packets of
	// its flows are refused, once it doesn't answer any more. A backend server may still send its last
	// packets when it reports that it leaves.
	endGracePeriod = 2 * time.Second
	// unansweredTimeout is the time without an answer after which a packet that is sent again shows that a
	// backend server which announced its end has ended. It is shorter than the time until callers send a packet
	// for the third time, and longer than until the second, which a backend server answers.
	unansweredTimeout = 500 * time.Millisecond
	// supersededGracePeriod is the same for an incarnation that is superseded. It is longer than
	// the 2 s for which a late report of the earlier holder of its address may supersede it.
	supersededGracePeriod = 5 * time.Second
	// answerTimeout is the time after which a request no longer counts as pending:
	// its caller has given up.
	answerTimeout = 5 * time.Second
	// retransmitTime is the time within which a caller sends a request again that has no answer:
	// 200 ms, doubled each time, and a margin for the way here.
	retransmitTime = 300 * time.Millisecond
	// latencyShift gives a sample the weight 1/8 in the moving averages of latency
	// and handshake time, which then follow a change within about ten samples.
	latencyShift = 3
	// defaultLatencyTarget is assumed for routes without a latency target.
	defaultLatencyTarget = time.Second
)

// shortRequest is the length of a request, in bytes, from which its packets count as
// part of a long body.
const shortRequest = 3 << 10

// maxFlows limits the flows that are tracked, at about 200 bytes each.
const maxFlows = 1 << 16

// Backend is an incarnation with what this instance has observed of it.
type Backend struct {
	catkinrail.Incarnation
	token  catkinrail.Token
	silent bool
	// superseded is set while control takes another incarnation for the holder of the address.
	superseded bool
	// named is set if the document names the service.
	named     bool
	warmUntil int64
	pending   int
	// pendingHandshakes is the number of flows whose handshake isn't complete. They
	// count as load: a backend server that resets every flow at once has no other.
	pendingHandshakes int
	flows             int
	latency           time.Duration
	misses            int
	lastMiss          int64
	// endedAt is the time at which it was first found to have ended, or to have announced that.
	endedAt int64
	// unanswered is set while a caller's packet shows that it has ended after it announced that. answeredAt is the
	// time at which a caller last acknowledged more than before.
	unanswered bool
	answeredAt int64
	// silentSince is the time at which control reported it as silent.
	silentSince int64
	// evacuated is set while its zone is evacuated.
	evacuated bool
	// work is what its requests show, and others the load of the other instances.
	work   work.Server
	others othersLoad
	// loadKey identifies the incarnation in reports of load.
	loadKey message.ServerKey
	// seenAt is the time at which this instance first heard of the incarnation;
	// seenInTraffic is set if it had placed flows by then.
	seenAt        int64
	seenInTraffic bool
}

// Token returns the token that packets to the backend server carry.
func (b *Backend) Token() catkinrail.Token { return b.token }

// Silent reports whether control receives no reports from the backend server.
func (b *Backend) Silent() bool { return b.silent }

// Ended reports whether the incarnation has ended, by its own word or as its address was reused.
func (b *Backend) Ended() bool { return b.Gone || b.superseded }

// gracePeriod returns the time after the end from which packets are refused.
func (b *Backend) gracePeriod() time.Duration {
	if b.Gone {
		return endGracePeriod
	}
	return supersededGracePeriod
}

// flow is the state of a flow that this instance has received packets of.
type flow struct {
	backend *Backend
	// previous is the backend server that the flow was moved away from, because it
	// had left the opening packet unanswered.
	previous *Backend
	seq      uint32
	// openedAt is the time at which the opening packet was last forwarded.
	openedAt int64
	// open is set once the caller has completed the handshake.
	open bool
	// missed is set once the handshake counts as unanswered.
	missed bool
	// requestedAt is the time at which the last byte of the pending request was sent, or
	// zero.
	requestedAt int64
	// requestBytes is the length of the pending request.
	requestBytes int
	// advancedAt is the time of the last packet with bytes that had not been sent before.
	advancedAt int64
	// sent and acked are the highest sequence and acknowledgement numbers of the
	// caller's packets.
	sent, acked uint32
	lastSeen    int64
	flowCost
	// version is that of the document that last allowed the flow's opening packet to go to the backend server.
	version uint64
	// priority is that of its route.
	priority int
	// body is that of its request, if its route takes uploads.
	body upload.Body
}

// Observer receives the times that the engine measures. It must not block.
type Observer interface {
	// Handshake receives the time from an opening packet to the caller's answer.
	Handshake(took time.Duration)
	// Answer receives the time from a request to the acknowledgement of its answer.
	Answer(took time.Duration)
	// Placed receives how the backend server of a flow was chosen, and its zone.
	Placed(kind ChoiceKind, zone catkinrail.Zone)
}

// Engine decides what to do with packets. It isn't safe for concurrent use.
type Engine struct {
	observer Observer
	zone     catkinrail.Zone
	rng      *rand.Rand
	document *catkinrail.Document
	routes   map[netip.AddrPort]*catkinrail.Route
	// named holds the services that the document names.
	named    map[string]bool
	backends map[string]*Backend
	tokens   map[catkinrail.Token]*Backend
	services map[string][]*Backend
	flows    map[catkinrail.FlowKey]*flow
	// evacuations are the zones whose backend servers get no new flows.
	evacuations catkinrail.Evacuations
	// lastContact is the time of the last update from a control instance that is in
	// contact with its leader and has sent all that it knows.
	lastContact int64
	// overloaded is set while new flows are shed.
	overloaded bool
	// linkWait is the time for which a packet of each class waits for the link.
	linkWait [egress.NumClasses]time.Duration
	// uploads limits the bodies of uploads to what the link carries in time, by route.
	uploads     upload.Limiter
	uploadSizes map[string]*upload.Sizes
	placement   placement
	// handshakes are the attempts that may be pending, oldest first.
	handshakes []handshake
	// awaited are the requests that may be pending, by the time of the next check, oldest first.
	awaited []awaitedRequest
	// meanHandshake is the moving average of the handshake time, zero if unknown.
	meanHandshake time.Duration
	loads         sharedLoads
	// cold holds the services whose requests to cold backend servers are limited, nil if
	// there are none.
	cold      map[string]*coldService
	allowance *warmup.Allowance
	requests  requests
	// placed is set once a flow was placed; oldestStart is the earliest start of a known
	// incarnation, in Unix milliseconds.
	placed      bool
	oldestStart int64
}

// handshake is an attempt to open a flow.
type handshake struct {
	key      catkinrail.FlowKey
	openedAt int64
}

// awaitedRequest is a request whose answer has not been seen when it was last checked.
type awaitedRequest struct {
	key catkinrail.FlowKey
	at  int64
}

// New returns an engine without a document.
func New(zone catkinrail.Zone, seed uint64) *Engine {
	return &Engine{
		zone: zone, rng: rand.New(rand.NewPCG(seed, uint64(len(zone)))),
		routes:   map[netip.AddrPort]*catkinrail.Route{},
		backends: map[string]*Backend{}, tokens: map[catkinrail.Token]*Backend{},
		services: map[string][]*Backend{}, flows: map[catkinrail.FlowKey]*flow{},
		uploadSizes: map[string]*upload.Sizes{}, placement: newPlacement(), allowance: warmup.NewAllowance(),
	}
}

// SetObserver makes o receive the measured times.
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
	if b.Ended() && now-b.endedAt > int64(b.gracePeriod()) && (b.superseded || e.showsEnd(p, b, now)) {
		if p.Reset {
			return Verdict{Action: Drop, Reason: ReasonGone}
		}
		return Verdict{Action: Refuse, Reason: ReasonGone}
	}
	return Verdict{Action: Forward, Reason: ReasonToken, Backend: b, Class: e.observe(p, b, now)}
}

// showsEnd reports whether a backend server that announced its end has ended, by what callers send: one that sends
// a packet again has no answer, and one that acknowledges more than before has. An announcement alone doesn't show it,
// since the backend server goes on for some seconds if the answer is lost.
func (e *Engine) showsEnd(p *catkinrail.TokenPacket, b *Backend, now int64) bool {
	f := e.flows[p.Flow]
	if f == nil || f.backend != b {
		return b.unanswered
	}
	again := p.Payload > 0 && int32(p.Seq+uint32(p.Payload)-f.sent) <= 0
	switch {
	case int32(p.Ack-f.acked) > 0:
		b.unanswered = false
	case again && f.requestedAt != 0 && b.answeredAt <= f.advancedAt && now-f.advancedAt >= int64(unansweredTimeout):
		b.unanswered = true
	}
	return b.unanswered
}

// open decides what to do with an opening packet.
func (e *Engine) open(p *catkinrail.TokenPacket, now int64) Verdict {
	e.expireHandshakes(now)
	if f := e.flows[p.Flow]; f != nil && f.seq == p.Seq && !f.backend.Ended() {
		switch {
		case e.allows(&p.Flow, f, now):
			return e.openCopy(p, f, now)
		case f.open:
			// The flow stays where it is; its caller needs no further answer to the opening packet.
			return Verdict{Action: Drop, Reason: ReasonNoRoute}
		}
		e.untrack(p.Flow, f)
	}
	if e.overloaded {
		return e.shed(p, ReasonOverload)
	}
	r := e.route(&p.Flow)
	if r == nil {
		return e.refuse(p, ReasonNoRoute, now)
	}
	if e.linkFull(r, now) {
		return e.shed(p, ReasonLink)
	}
	service := r.Pick(e.rng.Uint64())
	e.countOpening(service, r.Priority)
	b, reason := e.place(r, service, nil, r.Priority, now)
	switch {
	case b == nil && (reason == ReasonCold || reason == ReasonRoom):
		return e.shed(p, reason)
	case b == nil:
		return e.refuse(p, reason, now)
	case !e.takeLoan(b, now):
		return e.shed(p, ReasonCold)
	}
	e.placed = true
	if f := e.track(p, b, now); f != nil {
		e.setRoute(f, r, now)
	}
	return Verdict{Action: Forward, Reason: ReasonPlaced, Backend: b, Class: egress.ClassOpening}
}

// allows reports whether the document in force allows an opening packet to go to the service that the flow was placed
// for, and applies what the document says of a flow that isn't open yet.
func (e *Engine) allows(key *catkinrail.FlowKey, f *flow, now int64) bool {
	if f.version == e.document.Version {
		return true
	}
	r := e.route(key)
	if r == nil || !leadsTo(r, f.backend.Service) {
		return false
	}
	f.version = e.document.Version
	if !f.open {
		e.uploads.Drop(&f.body)
		e.setRoute(f, r, now)
	}
	return true
}

// AllowsOpening reports whether an opening packet that was forwarded under an earlier document, and has waited for the
// link since, may still be sent to the backend server at the address. A reset may not be sent to the caller: the answer
// to its next copy may differ.
func (e *Engine) AllowsOpening(key *catkinrail.FlowKey, seq uint32, to netip.AddrPort, now int64) bool {
	f := e.flows[*key]
	return f != nil && f.seq == seq && f.backend.Addr == to && e.allows(key, f, now)
}

// setRoute records the route, in the document in force, of a flow that was placed by it.
func (e *Engine) setRoute(f *flow, r *catkinrail.Route, now int64) {
	f.version = e.document.Version
	f.priority, f.route = r.Priority, e.cost(r, f.backend.Service, now)
	if r.Kind == catkinrail.KindUpload {
		f.body = e.uploads.Admit(e.sizes(r))
	}
}

// route returns the route of the flow, or nil.
func (e *Engine) route(key *catkinrail.FlowKey) *catkinrail.Route {
	return e.routes[netip.AddrPortFrom(netip.AddrFrom16(key.Dst).Unmap(), key.DstPort)]
}

// refuse refuses a new flow if that is certainly right: if the document and the list
// of backend servers are current and no instance can have forwarded the flow. If not,
// it drops the packet.
func (e *Engine) refuse(p *catkinrail.TokenPacket, reason Reason, now int64) Verdict {
	if e.Age(now) > staleAfter {
		return Verdict{Action: Drop, Reason: ReasonStale}
	}
	if p.Copy > 0 {
		return Verdict{Action: Drop, Reason: reason}
	}
	return Verdict{Action: Refuse, Reason: reason}
}

// shed refuses a new flow. A retransmitted packet is dropped instead: another
// instance may have forwarded the first.
func (e *Engine) shed(p *catkinrail.TokenPacket, reason Reason) Verdict {
	if p.Copy > 0 {
		return Verdict{Action: Drop, Reason: reason}
	}
	return Verdict{Action: Refuse, Reason: reason}
}

// SetOverloaded sets whether new flows are shed to keep those that are open. It
// reports whether that is a change.
func (e *Engine) SetOverloaded(on bool) (changed bool) {
	changed = e.overloaded != on
	e.overloaded = on
	return changed
}

// openCopy decides what to do with a copy of an opening packet.
func (e *Engine) openCopy(p *catkinrail.TokenPacket, f *flow, now int64) Verdict {
	f.lastSeen = now
	// The flow's backend server may be an earlier incarnation, which SetEvacuations doesn't reach.
	evacuated := !f.open && e.isEvacuated(f.backend.Zone)
	unanswered := now-f.openedAt >= int64(retransmitGap)
	if f.open || (!unanswered && !evacuated) {
		return e.repeat(f, now)
	}
	if unanswered {
		e.recordMiss(f, now)
	}
	next, _ := e.place(e.route(&p.Flow), f.backend.Service, f.backend, f.priority, now)
	if next == nil || (next == f.previous && !evacuated) || !e.takeLoan(next, now) {
		if evacuated {
			return Verdict{Action: Drop, Reason: ReasonEvacuated}
		}
		f.openedAt = now
		return e.repeat(f, now)
	}
	f.previous = f.backend
	e.detach(f)
	f.backend, f.openedAt, f.missed = next, now, false
	next.flows++
	next.pendingHandshakes++
	e.handshakes = append(e.handshakes, handshake{p.Flow, now})
	return Verdict{Action: Forward, Reason: ReasonNext, Backend: next, Class: egress.ClassOpening}
}

// unplacedReason returns why no backend server of the service takes a new flow.
func (e *Engine) unplacedReason(service string) Reason {
	for _, b := range e.services[service] {
		if b.evacuated && !b.Draining {
			return ReasonEvacuated
		}
	}
	return ReasonNoBackend
}

// repeat forwards a copy of an opening packet to the backend server that it went to
// before. A cold one counts it like a new flow, so that it needs a loan of its own.
func (e *Engine) repeat(f *flow, now int64) Verdict {
	if !e.takeLoan(f.backend, now) {
		return Verdict{Action: Drop, Reason: ReasonCold}
	}
	return Verdict{Action: Forward, Reason: ReasonCopy, Backend: f.backend, Class: egress.ClassOpening}
}
