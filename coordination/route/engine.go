// Package route decides where each packet goes. It is pure decision logic: time
// is passed in, packets and messages come as typed values, and what must be
// sent is returned.
package route

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/state/flow"
)

// leaveBound is how long after hearing of a drain an instance may still place
// new flows on the backend server that leaves. It is below the 5 s that callers
// are promised, by more than the longest lease.
const leaveBound = 2800 * time.Millisecond

// Action says what to do with a packet.
type Action uint8

// Actions.
const (
	// Drop discards the packet; the verdict's Reason says why.
	Drop Action = iota
	// Forward sends the packet to a backend server.
	Forward
	// Relay sends the packet to another entry instance, with a message.
	Relay
	// Refuse answers the caller that its request did not run.
	Refuse
)

// Reason says why a packet was dropped or refused.
type Reason uint8

// Reasons.
const (
	ReasonNone Reason = iota
	ReasonNoService
	ReasonNoBackend
	ReasonNoLease
	ReasonNoRecord
	ReasonLeaving
	ReasonUnreachable
	ReasonHops
	ReasonNoPeer
	ReasonLimit
	ReasonPacket
	numReasons
)

var reasonNames = [numReasons]string{
	"none", "no-service", "no-backend", "no-lease", "no-record", "leaving",
	"unreachable", "hops", "no-peer", "limit", "packet",
}

// String returns the name under which the reason is counted.
func (r Reason) String() string {
	if r >= numReasons {
		return "unknown"
	}
	return reasonNames[r]
}

// Reasons lists all reasons.
func Reasons() []Reason {
	list := make([]Reason, numReasons)
	for i := range list {
		list[i] = Reason(i)
	}
	return list
}

// Verdict is the decision about one packet.
type Verdict struct {
	Action  Action
	Reason  Reason
	Service catkinrail.ServiceID
	// Slot is the destination of Forward.
	Slot catkinrail.SlotID
	// Opening is set if the packet opens a flow.
	Opening bool
	// Addr is the address to send to.
	Addr netip.AddrPort
	// Message accompanies the packet if the action is Relay.
	Message relay.Message
}

// Outgoing is a message without a packet.
type Outgoing struct {
	To      catkinrail.InstanceID
	Addr    netip.AddrPort
	Message relay.Message
	Payload []byte
}

// Config holds the settings of an engine.
type Config struct {
	Zone catkinrail.Zone
	// Copies is the number of instances that hold a record; zero means
	// NumReplicas.
	Copies int
}

// Engine decides for one entry instance. Packet and Relayed may be called
// concurrently; Update, Tick and SetSelf are serialised by the engine.
type Engine struct {
	cfg   Config
	self  atomic.Uint32
	table atomic.Pointer[table]
	lease atomic.Int64
	flows *flow.Table
	zone  zoneState
	// viewSince is the time since which the replica view is unchanged.
	viewSince atomic.Int64

	mu     sync.Mutex
	state  *cluster.State
	turn   int
	copies copier
}

// New returns an engine without configuration. Until Update and SetLease were
// called it drops every packet.
func New(cfg Config) *Engine {
	if cfg.Copies == 0 {
		cfg.Copies = NumReplicas
	}
	e := &Engine{cfg: cfg, flows: flow.New(), state: cluster.New()}
	e.copies = newCopier()
	e.zone.init()
	e.table.Store(e.compile(e.state, nil, 0))
	return e
}

// SetSelf sets the identifier under which the instance is registered.
func (e *Engine) SetSelf(id catkinrail.InstanceID) {
	e.self.Store(uint32(id))
}

// Self returns the identifier set by SetSelf.
func (e *Engine) Self() catkinrail.InstanceID {
	return catkinrail.InstanceID(e.self.Load())
}

// SetLease extends the lease to the given time, in nanoseconds of the clock. An
// answer that was overtaken by a later one doesn't shorten it.
func (e *Engine) SetLease(until int64) {
	for {
		old := e.lease.Load()
		if until <= old || e.lease.CompareAndSwap(old, until) {
			return
		}
	}
}

// Leased reports whether the lease lasts at the given time.
func (e *Engine) Leased(now int64) bool {
	return now < e.lease.Load()
}

// Version returns the configuration version in force.
func (e *Engine) Version() uint64 {
	return e.table.Load().version
}

// Released reports whether the view no longer needs this instance.
func (e *Engine) Released() bool {
	v := &e.table.Load().view
	self := e.Self()
	return v.Phase == catkinrail.Settled && !slices.Contains(v.Base, self)
}

// ServiceKnown reports whether the configuration has the named service.
func (e *Engine) ServiceKnown(name string) bool {
	for _, svc := range e.table.Load().byID {
		if svc.cfg.Name == name {
			return true
		}
	}
	return false
}

// Records returns the number of flow records held.
func (e *Engine) Records() int {
	return e.flows.Len()
}

// Update applies changes that follow the version in force. A change at or below
// that version is skipped; a gap is an error and leaves the version as it is.
func (e *Engine) Update(changes []cluster.Change, now int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.state.Version
	for _, c := range changes {
		if c.Version <= e.state.Version {
			continue
		}
		if err := e.state.Apply(c); err != nil {
			return err
		}
	}
	if e.state.Version != before {
		e.publish(now)
	}
	return nil
}

// Replace takes over a whole state, unless it is older than the one in force.
func (e *Engine) Replace(s *cluster.State, now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Version <= e.state.Version {
		return
	}
	e.state = s
	e.publish(now)
}

// publish makes the current state the one that packets see.
func (e *Engine) publish(now int64) {
	old := e.table.Load()
	t := e.compile(e.state, old, now)
	if t.view.Version != old.view.Version {
		e.viewSince.Store(now)
	}
	e.table.Store(t)
	e.startCopies(t)
}

// hash returns the bucket hash of a flow.
func hash(k *catkinrail.FlowKey, seed uint64) uint64 {
	var b [37]byte
	copy(b[:], k.Src[:])
	copy(b[16:], k.Dst[:])
	b[32], b[33] = byte(k.SrcPort>>8), byte(k.SrcPort)
	b[34], b[35] = byte(k.DstPort>>8), byte(k.DstPort)
	b[36] = k.Proto
	return xxh3.HashSeed(b[:], seed)
}

// request is one packet under decision.
type request struct {
	h   *ip.Header
	now int64
	t   *table
	svc *service
	n   int
	b   *bucket
	// opening is set if the packet may be the first of its flow and must then
	// get a record.
	opening bool
	hops    uint8
}

func (r *request) bucketID() flow.Bucket {
	return flow.Bucket{Service: r.svc.id, Number: uint32(r.n)}
}

func (e *Engine) request(h *ip.Header, now int64) (request, bool) {
	t := e.table.Load()
	svc := t.services[endpointOfFlow(&h.Key)]
	if svc == nil {
		return request{}, false
	}
	n := int(hash(&h.Key, svc.seed) & svc.mask)
	return request{h: h, now: now, t: t, svc: svc, n: n, b: &svc.buckets[n], opening: h.Opening()}, true
}

// HandlePacket decides about a packet from the fabric. Most packets are later ones of
// settled buckets; the way for them is short.
func (e *Engine) HandlePacket(h *ip.Header, now int64) (v Verdict) {
	t := e.table.Load()
	svc := t.services[endpointOfFlow(&h.Key)]
	if svc == nil {
		v.Reason = ReasonNoService
		return v
	}
	n := int(hash(&h.Key, svc.seed) & svc.mask)
	b := &svc.buckets[n]
	if b.settled() && e.Leased(now) && !h.Opening() && !e.zone.anyException.Load() {
		v.Action, v.Service, v.Slot, v.Addr = Forward, svc.id, b.slot.id, b.slot.addr
		return v
	}
	r := request{h: h, now: now, t: t, svc: svc, n: n, b: b, opening: h.Opening()}
	return e.decide(&r)
}

func (e *Engine) decide(r *request) Verdict {
	if !e.Leased(r.now) {
		return e.decideUnleased(r)
	}
	l := r.b.lookup
	if l == nil {
		if v, ok := e.exception(r); ok {
			return v
		}
		return e.settled(r)
	}
	if l.length == 0 {
		return e.withoutReplicas(r)
	}
	if l.head == e.Self() {
		return e.answer(r)
	}
	return e.relayTo(r, l.head)
}

// withoutReplicas decides before the first view names replicas. A record that only
// this instance held would be missing wherever the flow's next packet enters, so
// the caller has to try again.
func (e *Engine) withoutReplicas(r *request) Verdict {
	if r.opening || r.h.Key.Proto == catkinrail.ProtoUDP {
		return r.drop(ReasonNoPeer)
	}
	return e.unrecorded(r)
}

// settled decides for a bucket that has all its flows on one slot.
func (e *Engine) settled(r *request) Verdict {
	if !r.b.settled() {
		return r.drop(ReasonNoBackend)
	}
	if r.opening && !r.b.slot.admits(r.now) {
		return r.drop(ReasonLeaving)
	}
	return r.forwardTo(r.b.slot)
}

func (r *request) drop(reason Reason) Verdict {
	return Verdict{Reason: reason, Service: r.svc.id, Opening: r.opening}
}

func (r *request) forward(id catkinrail.SlotID) Verdict {
	s := r.t.slots[id]
	if s == nil || s.state == catkinrail.BackendGone {
		return r.drop(ReasonNoBackend)
	}
	return r.forwardTo(s)
}

func (r *request) forwardTo(s *slot) Verdict {
	return Verdict{Action: Forward, Service: r.svc.id, Slot: s.id, Addr: s.addr, Opening: r.opening}
}

// settled reports whether all flows of the bucket are on one slot that has not
// lost them.
func (b *bucket) settled() bool {
	return b.lookup == nil && b.slot != nil && b.slot.state != catkinrail.BackendGone
}

// relayTo passes the packet to another instance, which decides.
func (e *Engine) relayTo(r *request, to catkinrail.InstanceID) Verdict {
	p, ok := r.t.peers[to]
	if !ok {
		return r.drop(ReasonNoPeer)
	}
	if r.hops >= relay.MaxHops {
		return r.drop(ReasonHops)
	}
	v := Verdict{Action: Relay, Service: r.svc.id, Opening: r.opening, Addr: p.addr}
	v.Message = relay.Message{
		Kind: relay.Lookup, Hops: r.hops + 1, Sender: e.Self(), Version: r.t.version, View: r.t.view.Version,
	}
	return v
}

// HandleRelayed decides about a packet that another instance passed on.
func (e *Engine) HandleRelayed(m *relay.Message, h *ip.Header, now int64) Verdict {
	r, ok := e.request(h, now)
	if !ok {
		return Verdict{Reason: ReasonNoService}
	}
	r.hops = m.Hops
	if m.Kind == relay.Store {
		return e.store(m, &r)
	}
	return e.decide(&r)
}
