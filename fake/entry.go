package fake

import (
	"fmt"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/state/cluster"
)

// controlOverhead is the size, in bytes, of an empty heartbeat and its answer
// with the headers of TCP, IP and the call.
const controlOverhead = 2*60 + 64

// Entry is an entry instance of the net.
type Entry struct {
	net    *Network
	ID     catkinrail.InstanceID
	Name   string
	Zone   catkinrail.Zone
	Engine *route.Engine
	Dead   bool
	// frozen is the time until which the instance does nothing.
	frozen int64
	// isolated cuts the instance off from everything but the fabric.
	isolated bool
	rate     float64
	backlog  []func()
	left     bool
	leaving  bool
}

// AddEntry starts an entry instance.
func (n *Network) AddEntry(name string, zone catkinrail.Zone) *Entry {
	n.incarnation++
	n.nextNum++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(n.nextNum >> 8), byte(n.nextNum)}), 7000)
	events, id, err := plan.Register(n.State, &plan.Registration{Name: name, Zone: zone, Relay: addr, Incarnation: n.incarnation})
	if err != nil {
		panic(err)
	}
	n.Apply(events)
	e := &Entry{net: n, ID: id, Name: name, Zone: zone, rate: 1 + n.cfg.MaxClockDrift*(2*n.rng.Float64()-1)}
	e.Engine = route.New(route.Config{Zone: zone, Copies: n.cfg.Copies})
	e.Engine.SetSelf(id)
	n.Entries = append(n.Entries, e)
	n.byID[id] = e
	n.byAddr[addr] = e
	n.after(n.jitter(10*time.Millisecond), e.heartbeat)
	n.after(n.jitter(tickInterval), e.tick)
	return e
}

// local returns the instance's own clock.
func (e *Entry) local() int64 {
	return start + int64(float64(e.net.now-start)*e.rate)
}

// Kill stops the instance at once.
func (e *Entry) Kill() {
	e.Dead = true
}

// Leave begins a graceful shutdown.
func (e *Entry) Leave() {
	e.leaving = true
	e.net.Apply(plan.Leave(e.net.State, e.ID))
}

// Left reports whether the instance has left the view and ended.
func (e *Entry) Left() bool {
	return e.left
}

// Freeze stops the instance for d; packets wait meanwhile.
func (e *Entry) Freeze(d time.Duration) {
	e.frozen = e.net.now + int64(d)
	e.net.after(d, e.thaw)
}

func (e *Entry) thaw() {
	list := e.backlog
	e.backlog = nil
	for _, f := range list {
		f()
	}
}

// Isolate cuts the instance off from control, its peers and backend servers in
// other zones; the fabric and its own zone's backend servers stay.
func (e *Entry) Isolate(on bool) {
	e.isolated = on
}

// act runs f now, or once the instance is no longer frozen.
func (e *Entry) act(f func()) {
	switch {
	case e.Dead:
	case e.net.now < e.frozen:
		e.backlog = append(e.backlog, f)
	default:
		f()
	}
}

func (e *Entry) tick() {
	if e.Dead {
		return
	}
	e.net.after(tickInterval, e.tick)
	e.act(func() { e.sendAll(e.Engine.Tick(e.local())) })
}

func (e *Entry) sendAll(list []route.Outgoing) {
	for _, s := range list {
		e.net.Stats.ControlBytes += uint64(relay.Overhead + len(s.Payload) + 48)
		e.transmit(s.To, func(to *Entry) {
			answers, err := to.Engine.Receive(&s.Message, s.Payload, to.local())
			if err == nil {
				to.sendAll(answers)
			}
		})
	}
}

// transmit delivers f to a peer after the network's delay.
func (e *Entry) transmit(to catkinrail.InstanceID, f func(*Entry)) {
	peer := e.net.byID[to]
	if peer == nil || e.isolated || peer.isolated || !e.net.reachable(e.Zone, peer.Zone) || e.net.lost() {
		return
	}
	e.net.after(e.net.jitter(zoneDelay), func() {
		peer.act(func() { f(peer) })
	})
}

// heartbeat fetches changes and renews the lease.
func (e *Entry) heartbeat() {
	if e.Dead || e.left {
		return
	}
	n := e.net
	n.after(n.jitter(heartbeatInterval), e.heartbeat)
	if n.now < e.frozen || e.isolated || n.cut[e.Zone] || n.controlCut {
		return
	}
	sent := e.local()
	have := e.Engine.Version()
	report := plan.InstanceStatus{Version: have, Synced: e.Engine.Synced(), Busy: e.Engine.Busy(e.local())}
	exceptions := e.Engine.Exceptions()
	n.after(n.jitter(zoneDelay), func() { n.answerHeartbeat(e, sent, report, exceptions) })
}

func (n *Network) answerHeartbeat(e *Entry, sent int64, report plan.InstanceStatus, exceptions map[catkinrail.ServiceID][]uint32) {
	if n.State.Instances[e.ID] == nil {
		e.expelled()
		return
	}
	if e.leaving && e.Engine.Released() {
		n.Apply(plan.CompleteLeave(n.State, e.ID))
	}
	for _, id := range cluster.SortedKeys(exceptions) {
		n.Apply(plan.PrepareExceptions(n.State, id, exceptions[id]))
	}
	changes := n.log[report.Version:]
	n.Stats.ControlBytes += controlOverhead + uint64(n.size(changes)) + uint64(16*len(report.Busy))
	n.leases[e.ID] = &memberState{until: n.now + int64(n.lease()+leaseMargin), member: report}
	delay := n.jitter(zoneDelay)
	if len(changes) > 0 && n.cfg.MaxUpdateDelay > 0 {
		delay += time.Duration(n.rng.Int64N(int64(n.cfg.MaxUpdateDelay)))
	}
	n.after(delay, func() {
		if n.cut[e.Zone] || e.isolated {
			return
		}
		e.act(func() { e.receive(sent, changes) })
	})
}

func (e *Entry) receive(sent int64, changes []cluster.Change) {
	if err := e.Engine.Update(changes, e.local()); err != nil {
		panic(fmt.Sprintf("entry %s: %v", e.Name, err))
	}
	e.Engine.SetLease(sent + int64(e.net.lease()))
}

// expelled ends an instance that has left. One that was removed while it was
// away starts again as a new incarnation.
func (e *Entry) expelled() {
	e.left = true
	e.Dead = true
	if !e.leaving {
		e.net.AddEntry(e.Name, e.Zone)
	}
}

func (n *Network) size(changes []cluster.Change) int {
	total := 0
	for i := range changes {
		b, err := cluster.Encode(changes[i])
		if err != nil {
			panic(err)
		}
		total += len(b)
	}
	return total
}

// packet handles a packet from the fabric.
func (e *Entry) packet(p packet) {
	e.act(func() {
		h := ip.Header{Key: p.flow.key, Flags: p.flags}
		e.carryOut(e.Engine.HandlePacket(&h, e.local()), p)
	})
}

func (e *Entry) carryOut(v route.Verdict, p packet) {
	n := e.net
	switch v.Action {
	case route.Drop:
		n.Stats.Dropped[v.Reason]++
	case route.Refuse:
		n.refuse(p)
	case route.Forward:
		n.Stats.Forwarded++
		n.toSlot(e, v.Addr, v.Service, p)
	case route.Relay:
		n.Stats.Relayed++
		to := n.byAddr[v.Addr]
		if to == nil {
			return
		}
		e.transmit(to.ID, func(to *Entry) {
			h := ip.Header{Key: p.flow.key, Flags: p.flags}
			to.carryOut(to.Engine.HandleRelayed(&v.Message, &h, to.local()), p)
		})
	}
}
