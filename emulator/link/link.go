// Package link replays uploads beside short requests through one entry instance whose
// link is thin, with several ways to send what leaves.
package link

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/egress"
)

// The link, in bits a second, and the size of its queue in bytes.
const (
	linkBits  = 1.4e6
	linkQueue = 8 << 10
)

// Sizes of packets in bytes, and of uploads in packets.
const (
	fullPacket   = 1247
	shortPacket  = 350
	openPacket   = 47
	uploadLength = 34
	// headPackets is the number of an upload's first packets that count as short.
	headPackets = 2
	// window is the number of packets that a caller has in flight.
	window = 16
)

// Times, in milliseconds.
const (
	// wakeInterval is the interval at which the instance gets the processor.
	wakeInterval = 5
	// roundTrip is the time from a packet's arrival at the backend server until the
	// caller has its acknowledgement.
	roundTrip     = 3
	firstRTO      = 200
	maxRTO        = 1600
	uploadTarget  = 1200
	shortTarget   = 400
	uploadTimeout = 8000
	shortTimeout  = 2500
	duration      = 120_000
	second        = 1000
)

// shortPerSecond is the rate of short requests.
const shortPerSecond = 9.0

// Policy is a way to send packets.
type Policy struct {
	Name  string
	paced bool
	// refuse is set if uploads that would be late because of the link alone are refused.
	refuse bool
	// mark sets what the queue is told about a packet.
	mark func(p *egress.Packet)
}

// Policies are the policies that are compared; the last is the one in use.
var Policies = []Policy{
	{"at once", false, false, func(*egress.Packet) {}},
	{"paced", true, false, func(p *egress.Packet) { p.Class = egress.ClassShort }},
	{"fair", true, false, func(p *egress.Packet) { p.Class = egress.ClassBulk }},
	{"short first", true, false, func(p *egress.Packet) { p.Flow = catkinrail.FlowKey{} }},
	{"short first, fair", true, false, func(*egress.Packet) {}},
	{"the same, refusing", true, true, func(*egress.Packet) {}},
}

// Result holds the shares of uploads, of short requests and of all that were late, lost
// or refused, and the 99th percentiles of the time that requests took.
type Result struct {
	LateUploads, LateShort float64
	Late                   float64
	UploadP99, ShortP99    time.Duration
}

// segment is a packet of a request.
type segment struct {
	due, rto    int
	sent, acked bool
}

// request is a caller's request. The first packet of an upload opens its flow.
type request struct {
	flow       catkinrail.FlowKey
	upload     bool
	startedAt  int
	refused    bool
	finishedAt int
	segments   []segment
	acked      int
}

func (r *request) timeout() int {
	if r.upload {
		return uploadTimeout
	}
	return shortTimeout
}

// replay is a run of the load; times are in milliseconds.
type replay struct {
	policy Policy
	queue  *egress.Queue
	now    int
	// linkFree is the time at which the link will have sent all packets.
	linkFree float64
	inbox    []egress.Packet
	requests map[catkinrail.FlowKey]*request
	events   map[int][]func()
	open     []*request
	done     []*request
}

// Run replays the load with uploads that need the given share of the link.
func Run(p Policy, share float64, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 1))
	r := &replay{policy: p, queue: egress.New(), requests: map[catkinrail.FlowKey]*request{}, events: map[int][]func(){}}
	if p.paced {
		r.queue.SetLink(linkBits)
	}
	uploadsPerSecond := share * linkBits / 8 / (uploadLength * fullPacket)
	nextUpload, nextShort := rng.ExpFloat64()*second/uploadsPerSecond, rng.ExpFloat64()*second/shortPerSecond
	for ; r.now < duration+uploadTimeout; r.now++ {
		for ; r.now < duration && nextUpload <= float64(r.now); nextUpload += rng.ExpFloat64() * second / uploadsPerSecond {
			r.begin(true)
		}
		for ; r.now < duration && nextShort <= float64(r.now); nextShort += rng.ExpFloat64() * second / shortPerSecond {
			r.begin(false)
		}
		for _, f := range r.events[r.now] {
			f()
		}
		delete(r.events, r.now)
		r.sendDue()
		at, waiting := r.queue.NextAt()
		if r.now%wakeInterval == 0 || (waiting && at <= r.nanos()) {
			r.forward()
		}
	}
	return r.result()
}

func (r *replay) nanos() int64 { return int64(r.now) * int64(time.Millisecond) }

func (r *replay) begin(upload bool) {
	n := len(r.open) + len(r.done) + 1
	req := &request{flow: catkinrail.FlowKey{SrcPort: uint16(n)}, upload: upload, startedAt: r.now, segments: make([]segment, 1)}
	if upload {
		req.segments = make([]segment, 1+uploadLength)
	}
	r.requests[req.flow] = req
	r.open = append(r.open, req)
}

// sendDue sends the packets that callers may send and retransmits those that are due.
func (r *replay) sendDue() {
	kept := r.open[:0]
	for _, req := range r.open {
		if req.refused || req.finishedAt > 0 || r.now-req.startedAt > req.timeout() {
			r.done = append(r.done, req)
			delete(r.requests, req.flow)
			continue
		}
		kept = append(kept, req)
		r.sendWindow(req)
	}
	r.open = kept
}

func (r *replay) sendWindow(req *request) {
	inFlight := 0
	for i := range req.segments {
		s := &req.segments[i]
		if s.acked {
			continue
		}
		if inFlight++; inFlight > window {
			return
		}
		if !s.sent || r.now >= s.due {
			s.rto = min(max(firstRTO, 2*s.rto), maxRTO)
			s.sent, s.due = true, r.now+s.rto
			r.inbox = append(r.inbox, req.packet(i))
		}
		if i == 0 {
			return // The handshake comes first.
		}
	}
}

// packet returns the i-th packet of a request. Its address identifies the flow, which a
// policy may hide from the queue.
func (r *request) packet(i int) egress.Packet {
	p := egress.Packet{
		To: netip.AddrPortFrom(netip.IPv4Unspecified(), r.flow.SrcPort), Flow: r.flow, Seq: uint32(r.flow.SrcPort)<<8 + uint32(i),
		Class: egress.ClassShort, Data: make([]byte, shortPacket),
	}
	switch {
	case r.upload && i == 0:
		p.Class, p.Data = egress.ClassOpening, p.Data[:openPacket]
	case r.upload:
		p.Data = make([]byte, fullPacket)
		if i > headPackets {
			p.Class = egress.ClassBulk
		}
	}
	return p
}

// forward is one turn of the instance.
func (r *replay) forward() {
	for i := range r.inbox {
		p := &r.inbox[i]
		if r.policy.refuse && p.Class == egress.ClassOpening && 2*r.queue.Wait(egress.ClassBulk) > uploadTarget*time.Millisecond {
			if req := r.requests[p.Flow]; req != nil && !req.segments[0].acked {
				req.refused = true
			}
			continue
		}
		r.policy.mark(p)
		if r.queue.Admit(len(p.Data), r.nanos()) {
			r.transmit(p)
			continue
		}
		r.queue.Push(p, r.nanos())
	}
	r.inbox = r.inbox[:0]
	for {
		p, _, ok := r.queue.Pop(r.nanos())
		if !ok {
			break
		}
		r.transmit(p)
	}
	r.queue.Release()
}

// transmit puts a packet on the link, which drops what its queue can't hold.
func (r *replay) transmit(p *egress.Packet) {
	start := max(r.linkFree, float64(r.now))
	if (start-float64(r.now))*linkBits/8/second > linkQueue {
		return
	}
	r.linkFree = start + float64(len(p.Data))*8*second/linkBits
	flow, i := catkinrail.FlowKey{SrcPort: p.To.Port()}, p.Seq&0xff
	at := int(r.linkFree) + roundTrip
	r.events[at] = append(r.events[at], func() {
		req := r.requests[flow]
		if req == nil || req.segments[i].acked {
			return
		}
		req.segments[i].acked = true
		if req.acked++; req.acked == len(req.segments) {
			req.finishedAt = r.now
		}
	})
}

func (r *replay) result() Result {
	var res Result
	var uploads, short []int
	for _, req := range r.done {
		took := req.finishedAt - req.startedAt
		if req.finishedAt == 0 {
			took = req.timeout()
		}
		if req.upload {
			uploads = append(uploads, took)
		} else {
			short = append(short, took)
		}
	}
	res.LateUploads, res.UploadP99 = summarize(uploads, uploadTarget)
	res.LateShort, res.ShortP99 = summarize(short, shortTarget)
	res.Late = (res.LateUploads*float64(len(uploads)) + res.LateShort*float64(len(short))) / float64(len(r.done))
	return res
}

// summarize returns the share of times over the target, and their 99th percentile.
func summarize(took []int, target int) (late float64, p99 time.Duration) {
	slices.Sort(took)
	met, _ := slices.BinarySearch(took, target+1)
	return 1 - float64(met)/float64(len(took)), time.Duration(took[len(took)*99/100]) * time.Millisecond
}
