// Package route decides where an entry instance sends each packet. It does no I/O and
// reads no clock: callers pass in times, packets and messages, and the engine returns
// what must be sent.
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

// drainGracePeriod is how long an instance may still place new flows on a backend
// server after it received the change that drains it. Together with the longest
// lease under the default settings, it stays below the 5 s that callers are promised.
const drainGracePeriod = 2800 * time.Millisecond

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

// Reason is the reason why a packet was dropped or refused.
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

// String returns the name that identifies the reason in metrics.
func (r Reason) String() string {
	if r >= numReasons {
		return "unknown"
	}
	return reasonNames[r]
}

// Reasons returns all reasons.
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
	// Slot is the slot that a packet is forwarded to.
	Slot catkinrail.SlotID
	// Opening is set if the packet opens a flow.
	Opening bool
	// Addr is the address that the packet is sent to.
	Addr netip.AddrPort
	// Message is sent with the packet if Action is Relay.
	Message relay.Message
}

// Outgoing is a message to another entry instance that carries no packet.
type Outgoing struct {
	To      catkinrail.InstanceID
	Addr    netip.AddrPort
	Message relay.Message
	Payload []byte
}

// Config holds the settings of an engine.
type Config struct {
	Zone catkinrail.Zone
	// Copies is the number of instances that hold each record. Zero means
	// NumReplicas.
	Copies int
}

// Engine makes the decisions of one entry instance. Its methods are safe for
// concurrent use.
type Engine struct {
	cfg   Config
	self  atomic.Uint32
	table atomic.Pointer[table]
	lease atomic.Int64
	flows *flow.Table
	zone  zoneState
	// viewSince is the time of the last change of the replica view, in nanoseconds of
	// the clock, or zero.
	viewSince atomic.Int64

	mu        sync.Mutex
	state     *cluster.State
	sweepTurn int
	copies    copier
}

// New returns an engine with an empty cluster state. It drops every packet until Update
// or Replace, and SetLease, have been called.
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
// earlier time is ignored, so that a late reply doesn't shorten the lease.
func (e *Engine) SetLease(until int64) {
	for {
		old := e.lease.Load()
		if until <= old || e.lease.CompareAndSwap(old, until) {
			return
		}
	}
}

// Leased reports whether the lease is valid at the given time.
func (e *Engine) Leased(now int64) bool {
	return now < e.lease.Load()
}

// Version returns the state version in force.
func (e *Engine) Version() uint64 {
	return e.table.Load().version
}

// Released reports whether the view no longer needs this instance: it is settled and
// doesn't include it.
func (e *Engine) Released() bool {
	v := &e.table.Load().view
	self := e.Self()
	return v.Phase == catkinrail.Settled && !slices.Contains(v.Base, self)
}

// ServiceKnown reports whether the cluster state has the named service.
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

// Update applies changes that follow the version in force. Changes at or below that
// version are skipped. A gap is an error and leaves the version in force as it is.
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

// Replace replaces the whole state by s if s has a higher version.
func (e *Engine) Replace(s *cluster.State, now int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Version <= e.state.Version {
		return
	}
	e.state = s
	e.publish(now)
}

// publish compiles the current state into the table that packets are looked up in.
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

// request is a packet that is being decided about.
type request struct {
	h   *ip.Header
	now int64
	t   *table
	svc *service
	n   int
	b   *bucket
	// opening is set if the packet may be the first of its flow and must then get
	// a record.
	opening bool
	hops    uint8
}

func (r *request) bucketID() flow.Bucket {
	return flow.Bucket{Service: r.svc.id, Number: uint32(r.n)}
}

func (e *Engine) newRequest(h *ip.Header, now int64) (request, bool) {
	t := e.table.Load()
	svc := t.services[endpointOfFlow(&h.Key)]
	if svc == nil {
		return request{}, false
	}
	n := int(hash(&h.Key, svc.seed) & svc.mask)
	return request{h: h, now: now, t: t, svc: svc, n: n, b: &svc.buckets[n], opening: h.Opening()}, true
}

// HandlePacket decides about a packet from the fabric. Most are later packets of
// settled buckets, which take the short path.
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
		if v, ok := e.decideException(r); ok {
			return v
		}
		return e.decideSettled(r)
	}
	if l.length == 0 {
		return e.decideWithoutReplicas(r)
	}
	if l.head == e.Self() {
		return e.decideAsHead(r)
	}
	return e.relayTo(r, l.head)
}

// decideWithoutReplicas decides about a packet whose bucket has no replicas, as before
// the first view. A record stored only here would be missing on the instance that
// receives the flow's next packet, so a new flow is dropped and the caller retries.
func (e *Engine) decideWithoutReplicas(r *request) Verdict {
	if r.opening || r.h.Key.Proto == catkinrail.ProtoUDP {
		return r.drop(ReasonNoPeer)
	}
	return e.decideUnrecorded(r)
}

// decideSettled decides about a packet whose bucket has all its flows on one slot.
func (e *Engine) decideSettled(r *request) Verdict {
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

// settled reports whether all flows of the bucket are on one slot whose backend
// server hasn't ended.
func (b *bucket) settled() bool {
	return b.lookup == nil && b.slot != nil && b.slot.state != catkinrail.BackendGone
}

// relayTo relays the packet to another instance, which decides about it.
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

// HandleRelayed decides about a packet that another instance relayed.
func (e *Engine) HandleRelayed(m *relay.Message, h *ip.Header, now int64) Verdict {
	r, ok := e.newRequest(h, now)
	if !ok {
		return Verdict{Reason: ReasonNoService}
	}
	r.hops = m.Hops
	if m.Kind == relay.Store {
		return e.receiveStore(m, &r)
	}
	return e.decide(&r)
}
