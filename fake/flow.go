package fake

import (
	"fmt"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/state/cluster"
)

// Callers' retransmission (RFC 6298).
const (
	firstRTO = time.Second
	maxTries = 8
)

// FlowState is what a caller knows of its flow.
type FlowState uint8

// States of a flow.
const (
	Connecting FlowState = iota
	Established
	Broken
	Refused
	Failed
	Closed
)

// Flow is a caller's flow.
type Flow struct {
	Service catkinrail.ServiceID
	State   FlowState
	// Slot is the slot that answered first.
	Slot catkinrail.SlotID
	// Opened is the time, since the start, at which the flow was established.
	Opened time.Duration
	// Cause says what broke the flow.
	Cause string
	key   catkinrail.FlowKey
	every time.Duration
	end   int64
	tries int
	// acked counts the caller's packets that were answered.
	Acked int
	// passed is set once an instance passed the opening packet on.
	passed  bool
	waiting bool
	// asked is the time since which the caller waits for an answer.
	asked int64
	zone  catkinrail.Zone
}

type packet struct {
	flow  *Flow
	flags uint8
}

// slotState is a slot of a stand-in backend server.
type slotState struct {
	id    catkinrail.SlotID
	owner *Server
}

// Server is a stand-in backend server.
type Server struct {
	net     *Network
	Name    string
	service string
	// serviceID is the identifier that the name stood for at the start.
	serviceID catkinrail.ServiceID
	Zone      catkinrail.Zone
	slots     []netip.AddrPort
	id        catkinrail.BackendID
	flows     []map[*Flow]bool
	Dead      bool
	incarn    uint64
	// leaving is the time of the drain, or zero.
	leaving int64
}

// AddServer starts a backend server, which announces itself.
func (n *Network) AddServer(service, name string, zone catkinrail.Zone, slots int) *Server {
	s := &Server{net: n, Name: name, service: service, Zone: zone}
	for range slots {
		n.nextNum++
		addr := netip.AddrFrom4([4]byte{127, 2, byte(n.nextNum >> 8), byte(n.nextNum)})
		s.slots = append(s.slots, netip.AddrPortFrom(addr, 6080))
	}
	s.Restart()
	return s
}

// Restart makes the server a new incarnation that has lost its flows.
func (s *Server) Restart() {
	n := s.net
	n.incarnation++
	s.incarn = n.incarnation
	s.flows = make([]map[*Flow]bool, len(s.slots))
	s.Dead = false
	s.Announce(false)
	svc := n.State.ServiceByName(s.service)
	s.serviceID = svc.ID
	s.id = n.State.BackendByName(svc.ID, s.Name).ID
	for i, addr := range s.slots {
		s.flows[i] = map[*Flow]bool{}
		n.slots[addr] = &slotState{id: catkinrail.MakeSlotID(s.id, i), owner: s}
	}
}

// Announce tells control about the server.
func (s *Server) Announce(draining bool) {
	events, err := plan.Announce(s.net.State, &plan.Announcement{
		Service: s.service, Name: s.Name, Zone: s.Zone, Slots: s.slots, Incarnation: s.incarn, Draining: draining,
	})
	if err != nil {
		panic(err)
	}
	s.net.Apply(events)
}

// Drain asks control, as an operator would, to give the server no new flows.
func (s *Server) Drain() {
	s.leaving = s.net.now
	s.net.MustExecute(&plan.Command{Drain: &plan.BackendRef{Service: s.service, Name: s.Name}})
}

// Readmit ends the draining.
func (s *Server) Readmit() {
	s.leaving = 0
	s.net.MustExecute(&plan.Command{Readmit: &plan.BackendRef{Service: s.service, Name: s.Name}})
}

// Kill stops the server; control hears of it.
func (s *Server) Kill() {
	s.Dead = true
	s.net.Apply(plan.Expire(s.net.State, []catkinrail.BackendID{s.id}))
}

// Flows returns the number of established flows on each slot.
func (s *Server) Flows() []int {
	out := make([]int, len(s.flows))
	for i, m := range s.flows {
		for f := range m {
			if f.State == Established && f.Slot == catkinrail.MakeSlotID(s.id, i) {
				out[i]++
			}
		}
	}
	return out
}

// CreateService creates a service with the given settings.
func (n *Network) CreateService(cfg catkinrail.ServiceConfig) {
	n.MustExecute(&plan.Command{Create: &cfg})
}

// Open starts a flow to the service that sends a packet in every period until
// it ends after life, or never if life is zero.
func (n *Network) Open(service string, every, life time.Duration) *Flow {
	svc := n.State.ServiceByName(service)
	f := &Flow{Service: svc.ID, every: every}
	if life > 0 {
		f.end = n.now + int64(life)
	}
	num := len(n.Flows)
	caller := netip.AddrFrom4([4]byte{10, byte(num >> 24), byte(num >> 16), byte(num >> 8)})
	f.key = catkinrail.FlowKey{
		Src: caller.As16(), SrcPort: uint16(1024 + num&0xff),
		Dst: svc.Config.Addr.Addr().As16(), DstPort: svc.Config.Addr.Port(), Proto: svc.Config.Proto,
	}
	n.Flows = append(n.Flows, f)
	n.sendOpening(f)
	return f
}

// OpenMany starts count flows, evenly over a time.
func (n *Network) OpenMany(service string, count int, over, every, life time.Duration) {
	for i := range count {
		n.after(over*time.Duration(i)/time.Duration(count), func() { n.Open(service, every, life) })
	}
}

func (n *Network) sendOpening(f *Flow) {
	if f.State != Connecting {
		return
	}
	if f.tries == maxTries {
		f.State = Failed
		return
	}
	rto := firstRTO << f.tries
	f.tries++
	n.after(rto, func() { n.sendOpening(f) })
	flags := ip.FlagSYN
	if f.key.Proto == catkinrail.ProtoUDP {
		flags = 0
	}
	n.spray(packet{flow: f, flags: flags})
}

// sendData sends a packet and repeats it until it is answered.
func (n *Network) sendData(f *Flow) {
	if f.State != Established {
		return
	}
	if f.end != 0 && n.now >= f.end {
		f.State = Closed
		if f.key.Proto == catkinrail.ProtoTCP {
			n.spray(packet{flow: f, flags: ip.FlagFIN | ip.FlagACK})
		}
		return
	}
	if !f.waiting {
		f.waiting = true
		f.asked = n.now
	}
	n.spray(packet{flow: f, flags: ip.FlagACK})
	acked := f.Acked
	n.after(firstRTO, func() {
		if f.waiting && f.Acked == acked {
			n.sendData(f)
		}
	})
}

// spray hands a packet to any live entry, as the fabric does. A caller in a
// zone that is cut off reaches the entries of that zone only.
func (n *Network) spray(p packet) {
	n.Stats.Packets++
	var live []*Entry
	for _, e := range n.Entries {
		if !e.Dead && n.fabricReaches(p.flow, e) {
			live = append(live, e)
		}
	}
	if len(live) == 0 || n.lost() {
		return
	}
	e := live[n.rng.IntN(len(live))]
	n.after(n.jitter(callerDelay), func() { e.packet(p) })
}

func (n *Network) fabricReaches(f *Flow, e *Entry) bool {
	if f.zone == "" {
		return !n.cut[e.Zone]
	}
	return n.reachable(f.zone, e.Zone)
}

// PinToZone makes the flow's packets enter through a zone that may be cut off.
func (f *Flow) PinToZone(z catkinrail.Zone) *Flow {
	f.zone = z
	return f
}

// toSlot delivers a packet from an entry to a backend server.
func (n *Network) toSlot(from *Entry, addr netip.AddrPort, service catkinrail.ServiceID, p packet) {
	st := n.slots[addr]
	if st == nil {
		return
	}
	cutOff := !n.reachable(from.Zone, st.owner.Zone) || (from.isolated && from.Zone != st.owner.Zone)
	if cutOff || n.lost() {
		return
	}
	p.flow.passed = true
	n.after(n.jitter(zoneDelay), func() { st.receive(p, service) })
}

func (st *slotState) receive(p packet, service catkinrail.ServiceID) {
	s, n, f := st.owner, st.owner.net, p.flow
	if s.Dead {
		return
	}
	if s.serviceID != f.Service || service != f.Service {
		n.Stats.WrongService++
		return
	}
	known := s.flows[st.id.Index()][f]
	opening := p.flags&ip.FlagSYN != 0 || (f.key.Proto == catkinrail.ProtoUDP && !known)
	switch {
	case opening:
		s.accept(st, f, known)
	case !known:
		n.toCaller(func() { f.fail(fmt.Sprintf("packet at %s reached %s", n.Now(), st.id)) })
	default:
		n.toCaller(func() { n.acked(f, st.id) })
	}
}

const lateBound = 5 * time.Second

func (s *Server) accept(st *slotState, f *Flow, known bool) {
	n := s.net
	if !known && s.leaving != 0 && time.Duration(n.now-s.leaving) > lateBound {
		n.Stats.LateFlows++
	}
	s.flows[st.id.Index()][f] = true
	n.toCaller(func() { n.opened(f, st.id) })
}

// toCaller delivers an answer, which goes from the server to the caller directly.
func (n *Network) toCaller(run func()) {
	if n.lost() {
		return
	}
	n.after(n.jitter(callerDelay), run)
}

func (n *Network) opened(f *Flow, slot catkinrail.SlotID) {
	switch {
	case f.State == Connecting:
		f.State = Established
		f.Opened = n.Now()
		f.Slot = slot
		n.sendData(f)
	case f.State == Established && f.key.Proto == catkinrail.ProtoUDP && f.Slot != slot:
		f.fail(fmt.Sprintf("datagram at %s reached %s", n.Now(), slot))
	case f.State == Established && f.key.Proto == catkinrail.ProtoUDP:
		n.acked(f, slot)
	}
}

func (n *Network) acked(f *Flow, slot catkinrail.SlotID) {
	if f.State != Established || !f.waiting {
		return
	}
	if f.Slot != slot {
		f.fail(fmt.Sprintf("packet at %s reached %s", n.Now(), slot))
		return
	}
	f.waiting = false
	f.Acked++
	if f.every > 0 {
		n.after(n.jitter(f.every), func() { n.sendData(f) })
	}
}

func (f *Flow) fail(cause string) {
	if f.State == Established || f.State == Connecting {
		f.State = Broken
		f.Cause = cause
	}
}

func (n *Network) refuse(p packet) {
	n.Stats.Refused++
	if p.flow.passed {
		n.Stats.RefusedAfterForward++
	}
	n.toCaller(func() {
		if p.flow.State == Connecting {
			p.flow.State = Refused
		}
	})
}

// Count returns the number of flows in the state.
func (n *Network) Count(state FlowState) int {
	c := 0
	for _, f := range n.Flows {
		if f.State == state {
			c++
		}
	}
	return c
}

// Stuck returns the established flows whose caller has waited for an answer for
// longer than the age, although their backend server runs.
func (n *Network) Stuck(age time.Duration) []*Flow {
	var list []*Flow
	for _, f := range n.Flows {
		if f.State == Established && f.waiting && time.Duration(n.now-f.asked) > age && n.serves(f) {
			list = append(list, f)
		}
	}
	return list
}

// serves reports whether the flow's server runs and still knows it.
func (n *Network) serves(f *Flow) bool {
	for _, st := range n.slots {
		if st.id == f.Slot {
			return !st.owner.Dead && st.owner.flows[f.Slot.Index()][f]
		}
	}
	return false
}

// Causes returns what broke up to max flows.
func (n *Network) Causes(most int) []string {
	var list []string
	for _, f := range n.Flows {
		if f.State == Broken && len(list) < most {
			list = append(list, fmt.Sprintf("%s on %s: %s", f.key.String(), f.Slot, f.Cause))
		}
	}
	return list
}

// ViewSettled reports whether no change of view is under way.
func ViewSettled(s *cluster.State) bool {
	return s.View.Phase == catkinrail.Settled
}
