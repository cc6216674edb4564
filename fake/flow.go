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

// Retransmission by callers; the initial timeout and its doubling follow RFC 6298.
const (
	firstRTO    = time.Second
	maxAttempts = 8
)

// FlowState is the state of a flow as its caller sees it.
type FlowState uint8

// States of a flow.
const (
	// Connecting: the opening packet has not been answered.
	Connecting FlowState = iota
	// Established: a backend server answered the opening packet.
	Established
	// Broken: a packet reached a backend server that doesn't know the flow, or
	// another slot answered.
	Broken
	// Refused: an entry instance refused the flow before it was established.
	Refused
	// Failed: no opening packet was answered.
	Failed
	// Closed: the caller ended the flow.
	Closed
)

// Flow is a flow that a simulated caller opened.
type Flow struct {
	Service catkinrail.ServiceID
	State   FlowState
	// Slot is the slot that answered first.
	Slot catkinrail.SlotID
	// Opened is when the flow was established, since the start of the run.
	Opened time.Duration
	// Cause says what broke the flow.
	Cause    string
	key      catkinrail.FlowKey
	interval time.Duration
	end      int64
	attempts int
	// Acked counts the caller's packets that were answered.
	Acked int
	// forwarded is set once an instance has forwarded a packet of the flow.
	forwarded bool
	pending   bool
	// waitingSince is when the caller sent the pending packet first.
	waitingSince int64
	// zone is where the caller is; empty means outside all zones.
	zone catkinrail.Zone
}

// packet is a packet from a caller.
type packet struct {
	flow  *Flow
	flags uint8
}

// slotState is a slot of a simulated backend server.
type slotState struct {
	id    catkinrail.SlotID
	owner *Server
}

// Server is a simulated backend server.
type Server struct {
	net     *Network
	Name    string
	service string
	// serviceID is the service's identifier when the incarnation started.
	serviceID   catkinrail.ServiceID
	Zone        catkinrail.Zone
	slots       []netip.AddrPort
	id          catkinrail.BackendID
	flows       []map[*Flow]bool
	Dead        bool
	incarnation uint64
	// drainingSince is when the drain began; zero if the server isn't draining.
	drainingSince int64
}

// AddServer starts a backend server and announces it to control.
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

// Restart starts a new incarnation of the server, which has no flows.
func (s *Server) Restart() {
	n := s.net
	n.incarnation++
	s.incarnation = n.incarnation
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

// Announce sends the server's announcement to control.
func (s *Server) Announce(draining bool) {
	events, err := plan.Announce(s.net.State, &plan.Announcement{
		Service: s.service, Name: s.Name, Zone: s.Zone, Slots: s.slots, Incarnation: s.incarnation, Draining: draining,
	})
	if err != nil {
		panic(err)
	}
	s.net.Apply(events)
}

// Drain sends the operator's command to drain the server.
func (s *Server) Drain() {
	s.drainingSince = s.net.now
	s.net.MustExecute(&plan.Command{Drain: &plan.BackendRef{Service: s.service, Name: s.Name}})
}

// Readmit sends the operator's command to readmit the server.
func (s *Server) Readmit() {
	s.drainingSince = 0
	s.net.MustExecute(&plan.Command{Readmit: &plan.BackendRef{Service: s.service, Name: s.Name}})
}

// Kill stops the server. Control expires it at once.
func (s *Server) Kill() {
	s.Dead = true
	s.net.Apply(plan.Expire(s.net.State, []catkinrail.BackendID{s.id}))
}

// Flows returns the number of established flows by slot.
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

// Open opens a flow to the service. Once it is established, the caller sends a
// packet, and the next one about an interval after each answer; if interval is
// zero, it sends no more. It closes the flow with the first packet that is due
// after duration, or never if duration is zero.
func (n *Network) Open(service string, interval, duration time.Duration) *Flow {
	svc := n.State.ServiceByName(service)
	f := &Flow{Service: svc.ID, interval: interval}
	if duration > 0 {
		f.end = n.now + int64(duration)
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

// OpenMany opens count flows, evenly spread over a time.
func (n *Network) OpenMany(service string, count int, over, interval, duration time.Duration) {
	for i := range count {
		n.after(over*time.Duration(i)/time.Duration(count), func() { n.Open(service, interval, duration) })
	}
}

// sendOpening sends the opening packet and retries it until it is answered. After
// maxAttempts the flow has failed.
func (n *Network) sendOpening(f *Flow) {
	if f.State != Connecting {
		return
	}
	if f.attempts == maxAttempts {
		f.State = Failed
		return
	}
	rto := firstRTO << f.attempts
	f.attempts++
	n.after(rto, func() { n.sendOpening(f) })
	flags := ip.FlagSYN
	if f.key.Proto == catkinrail.ProtoUDP {
		flags = 0
	}
	n.sendToFabric(packet{flow: f, flags: flags})
}

// sendData sends a packet and retries it until it is answered.
func (n *Network) sendData(f *Flow) {
	if f.State != Established {
		return
	}
	if f.end != 0 && n.now >= f.end {
		f.State = Closed
		if f.key.Proto == catkinrail.ProtoTCP {
			n.sendToFabric(packet{flow: f, flags: ip.FlagFIN | ip.FlagACK})
		}
		return
	}
	if !f.pending {
		f.pending = true
		f.waitingSince = n.now
	}
	n.sendToFabric(packet{flow: f, flags: ip.FlagACK})
	acked := f.Acked
	n.after(firstRTO, func() {
		if f.pending && f.Acked == acked {
			n.sendData(f)
		}
	})
}

// sendToFabric delivers a packet to a random live entry instance, as the fabric
// does. A caller in a partitioned zone reaches the instances of that zone only.
func (n *Network) sendToFabric(p packet) {
	n.Stats.Packets++
	var live []*Entry
	for _, e := range n.Entries {
		if !e.Dead && n.fabricCanReach(p.flow, e) {
			live = append(live, e)
		}
	}
	if len(live) == 0 || n.losePacket() {
		return
	}
	e := live[n.rng.IntN(len(live))]
	n.after(n.jitter(callerDelay), func() { e.handlePacket(p) })
}

// fabricCanReach reports whether the fabric may deliver the flow's packets to e.
func (n *Network) fabricCanReach(f *Flow, e *Entry) bool {
	if f.zone == "" {
		return !n.partitioned[e.Zone]
	}
	return n.reachable(f.zone, e.Zone)
}

// PinToZone places the caller in a zone: while it is partitioned, the flow's packets
// enter through its instances only.
func (f *Flow) PinToZone(z catkinrail.Zone) *Flow {
	f.zone = z
	return f
}

// deliverToSlot delivers a packet from an entry instance to a backend server.
func (n *Network) deliverToSlot(from *Entry, addr netip.AddrPort, service catkinrail.ServiceID, p packet) {
	st := n.slots[addr]
	if st == nil {
		return
	}
	unreachable := !n.reachable(from.Zone, st.owner.Zone) || (from.isolated && from.Zone != st.owner.Zone)
	if unreachable || n.losePacket() {
		return
	}
	p.flow.forwarded = true
	n.after(n.jitter(zoneDelay), func() { st.receive(p, service) })
}

// receive handles a packet that an entry instance forwarded for the service.
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
		n.deliverToCaller(func() { f.fail(fmt.Sprintf("packet at %s reached %s", n.Now(), st.id)) })
	default:
		n.deliverToCaller(func() { n.handleAck(f, st.id) })
	}
}

// drainGracePeriod is how long a draining backend server may still get new flows.
const drainGracePeriod = 5 * time.Second

// accept records the flow and answers its opening packet.
func (s *Server) accept(st *slotState, f *Flow, known bool) {
	n := s.net
	if !known && s.drainingSince != 0 && time.Duration(n.now-s.drainingSince) > drainGracePeriod {
		n.Stats.LateFlows++
	}
	s.flows[st.id.Index()][f] = true
	n.deliverToCaller(func() { n.handleOpened(f, st.id) })
}

// deliverToCaller delivers an answer, which bypasses the entry instances.
func (n *Network) deliverToCaller(run func()) {
	if n.losePacket() {
		return
	}
	n.after(n.jitter(callerDelay), run)
}

// handleOpened handles the answer of a slot to an opening packet. With UDP, every
// packet that starts a flow at its slot is one.
func (n *Network) handleOpened(f *Flow, slot catkinrail.SlotID) {
	switch {
	case f.State == Connecting:
		f.State = Established
		f.Opened = n.Now()
		f.Slot = slot
		n.sendData(f)
	case f.State == Established && f.key.Proto == catkinrail.ProtoUDP && f.Slot != slot:
		f.fail(fmt.Sprintf("datagram at %s reached %s", n.Now(), slot))
	case f.State == Established && f.key.Proto == catkinrail.ProtoUDP:
		n.handleAck(f, slot)
	}
}

// handleAck handles the answer of a slot to a later packet.
func (n *Network) handleAck(f *Flow, slot catkinrail.SlotID) {
	if f.State != Established || !f.pending {
		return
	}
	if f.Slot != slot {
		f.fail(fmt.Sprintf("packet at %s reached %s", n.Now(), slot))
		return
	}
	f.pending = false
	f.Acked++
	if f.interval > 0 {
		n.after(n.jitter(f.interval), func() { n.sendData(f) })
	}
}

func (f *Flow) fail(cause string) {
	if f.State == Established || f.State == Connecting {
		f.State = Broken
		f.Cause = cause
	}
}

// refuse handles the refusal of a packet by an entry instance.
func (n *Network) refuse(p packet) {
	n.Stats.Refused++
	if p.flow.forwarded {
		n.Stats.RefusedAfterForward++
	}
	n.deliverToCaller(func() {
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

// Stuck returns the established flows whose caller has waited longer than age for
// an answer although their backend server still runs and knows them.
func (n *Network) Stuck(age time.Duration) []*Flow {
	var list []*Flow
	for _, f := range n.Flows {
		if f.State == Established && f.pending && time.Duration(n.now-f.waitingSince) > age && n.hasLiveServer(f) {
			list = append(list, f)
		}
	}
	return list
}

// hasLiveServer reports whether the flow's backend server runs and still knows it.
func (n *Network) hasLiveServer(f *Flow) bool {
	for _, st := range n.slots {
		if st.id == f.Slot {
			return !st.owner.Dead && st.owner.flows[f.Slot.Index()][f]
		}
	}
	return false
}

// Causes describes up to limit broken flows and what broke them.
func (n *Network) Causes(limit int) []string {
	var list []string
	for _, f := range n.Flows {
		if f.State == Broken && len(list) < limit {
			list = append(list, fmt.Sprintf("%s on %s: %s", f.key.String(), f.Slot, f.Cause))
		}
	}
	return list
}

// ViewSettled reports whether no change of view is in progress.
func ViewSettled(s *cluster.State) bool {
	return s.View.Phase == catkinrail.Settled
}
