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

// controlOverhead is the size, in bytes, of an empty heartbeat and its reply,
// with the headers of TCP, IP and RPC.
const controlOverhead = 2*60 + 64

// Entry is a simulated entry instance.
type Entry struct {
	net    *Network
	ID     catkinrail.InstanceID
	Name   string
	Zone   catkinrail.Zone
	Engine *route.Engine
	Dead   bool
	// frozenUntil is when the instance resumes.
	frozenUntil int64
	// isolated is set while Isolate is in effect.
	isolated bool
	// rate is the speed of the instance's clock relative to simulated time.
	rate float64
	// backlog holds the work that is deferred while the instance is frozen.
	backlog []func()
	left    bool
	leaving bool
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

// localTime returns the time in nanoseconds on the instance's clock.
func (e *Entry) localTime() int64 {
	return start + int64(float64(e.net.now-start)*e.rate)
}

// Kill stops the instance at once, without notice to control.
func (e *Entry) Kill() {
	e.Dead = true
}

// Leave begins a graceful shutdown.
func (e *Entry) Leave() {
	e.leaving = true
	e.net.Apply(plan.Leave(e.net.State, e.ID))
}

// Left reports whether control removed the instance, which has then stopped.
func (e *Entry) Left() bool {
	return e.left
}

// Freeze pauses the instance for d. Packets and messages are handled afterwards.
func (e *Entry) Freeze(d time.Duration) {
	e.frozenUntil = e.net.now + int64(d)
	e.net.after(d, e.resume)
}

func (e *Entry) resume() {
	list := e.backlog
	e.backlog = nil
	for _, f := range list {
		f()
	}
}

// Isolate cuts the instance off from control, its peers and the backend servers of
// other zones, or ends that. It still reaches the fabric and its zone's backend
// servers.
func (e *Entry) Isolate(on bool) {
	e.isolated = on
}

// runOrDefer runs f now, or once the instance is no longer frozen.
func (e *Entry) runOrDefer(f func()) {
	switch {
	case e.Dead:
	case e.net.now < e.frozenUntil:
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
	e.runOrDefer(func() { e.sendAll(e.Engine.Tick(e.localTime())) })
}

// sendAll sends an engine's messages to its peers.
func (e *Entry) sendAll(list []route.Outgoing) {
	for _, s := range list {
		e.net.Stats.ControlBytes += uint64(relay.Overhead + len(s.Payload) + 48)
		e.transmit(s.To, func(to *Entry) {
			answers, err := to.Engine.Receive(&s.Message, s.Payload, to.localTime())
			if err == nil {
				to.sendAll(answers)
			}
		})
	}
}

// transmit runs f at a peer after the network's delay, unless the message is lost.
func (e *Entry) transmit(to catkinrail.InstanceID, f func(*Entry)) {
	peer := e.net.byID[to]
	if peer == nil || e.isolated || peer.isolated || !e.net.reachable(e.Zone, peer.Zone) || e.net.losePacket() {
		return
	}
	e.net.after(e.net.jitter(zoneDelay), func() {
		peer.runOrDefer(func() { f(peer) })
	})
}

// heartbeat sends a heartbeat, which fetches changes and renews the lease.
func (e *Entry) heartbeat() {
	if e.Dead || e.left {
		return
	}
	n := e.net
	n.after(n.jitter(heartbeatInterval), e.heartbeat)
	if n.now < e.frozenUntil || e.isolated || n.partitioned[e.Zone] || n.controlPartitioned {
		return
	}
	sent := e.localTime()
	version := e.Engine.Version()
	report := plan.InstanceStatus{Version: version, Synced: e.Engine.Synced(), Busy: e.Engine.Busy(e.localTime())}
	exceptions := e.Engine.Exceptions()
	n.after(n.jitter(zoneDelay), func() { n.answerHeartbeat(e, sent, report, exceptions) })
}

// answerHeartbeat handles a heartbeat as the control leader does.
func (n *Network) answerHeartbeat(e *Entry, sent int64, report plan.InstanceStatus, exceptions map[catkinrail.ServiceID][]uint32) {
	if n.State.Instances[e.ID] == nil {
		e.handleRemoval()
		return
	}
	if e.leaving && e.Engine.Released() {
		n.Apply(plan.CompleteLeave(n.State, e.ID))
	}
	for _, id := range cluster.SortedKeys(exceptions) {
		n.Apply(plan.PrepareExceptions(n.State, id, exceptions[id]))
	}
	changes := n.changes[report.Version:]
	n.Stats.ControlBytes += controlOverhead + uint64(n.encodedSize(changes)) + uint64(16*len(report.Busy))
	n.leases[e.ID] = &leaseState{expiresAt: n.now + int64(n.leaseDuration()+leaseMargin), status: report}
	delay := n.jitter(zoneDelay)
	if len(changes) > 0 && n.cfg.MaxUpdateDelay > 0 {
		delay += time.Duration(n.rng.Int64N(int64(n.cfg.MaxUpdateDelay)))
	}
	n.after(delay, func() {
		if n.partitioned[e.Zone] || e.isolated {
			return
		}
		e.runOrDefer(func() { e.applyHeartbeatReply(sent, changes) })
	})
}

// applyHeartbeatReply applies the changes and renews the lease, which counts from
// when the heartbeat was sent.
func (e *Entry) applyHeartbeatReply(sent int64, changes []cluster.Change) {
	if err := e.Engine.Update(changes, e.localTime()); err != nil {
		panic(fmt.Sprintf("entry %s: %v", e.Name, err))
	}
	e.Engine.SetLease(sent + int64(e.net.leaseDuration()))
}

// handleRemoval stops an instance that control has removed. If it wasn't leaving,
// it starts again as a new incarnation.
func (e *Entry) handleRemoval() {
	e.left = true
	e.Dead = true
	if !e.leaving {
		e.net.AddEntry(e.Name, e.Zone)
	}
}

// encodedSize returns the encoded size of the changes in bytes.
func (n *Network) encodedSize(changes []cluster.Change) int {
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

// handlePacket handles a packet from the fabric.
func (e *Entry) handlePacket(p packet) {
	e.runOrDefer(func() {
		h := ip.Header{Key: p.flow.key, Flags: p.flags}
		e.execute(e.Engine.HandlePacket(&h, e.localTime()), p)
	})
}

// execute does what the engine decided about a packet.
func (e *Entry) execute(v route.Verdict, p packet) {
	n := e.net
	switch v.Action {
	case route.Drop:
		n.Stats.Dropped[v.Reason]++
	case route.Refuse:
		n.refuse(p)
	case route.Forward:
		n.Stats.Forwarded++
		n.deliverToSlot(e, v.Addr, v.Service, p)
	case route.Relay:
		n.Stats.Relayed++
		to := n.byAddr[v.Addr]
		if to == nil {
			return
		}
		e.transmit(to.ID, func(to *Entry) {
			h := ip.Header{Key: p.flow.key, Flags: p.flags}
			to.execute(to.Engine.HandleRelayed(&v.Message, &h, to.localTime()), p)
		})
	}
}
