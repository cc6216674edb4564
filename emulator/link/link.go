// Package link replays uploads beside short requests through entry instances whose links are
// thin, with several ways to send what leaves.
package link

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/egress"
	"catkinrail.example/catkinrail/coordination/upload"
)

// The link, in bits a second, and the size of its queue in bytes.
const (
	linkBits  = 1.4e6
	linkQueue = 8 << 10
)

// Sizes of packets in bytes, and of uploads in packets: the mean, and the standard deviation of
// its logarithm.
const (
	fullPacket   = 1247
	shortPacket  = 350
	openPacket   = 47
	uploadLength = 34
	uploadSpread = 0.7
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
	duration      = 15_000
	// numInstances is the number of instances that callers reach.
	numInstances = 8
	second       = 1000
	// refusedPause is the time after which a caller tries again after a refusal, up to maxTries.
	refusedPause = 5
	maxTries     = 3
)

// shortPerSecond is the rate of short requests.
const shortPerSecond = 9.0

// Policy is a way to send packets.
type Policy struct {
	Name  string
	paced bool
	// refuse is set if uploads are refused once the packets that wait would make them late, and
	// limit if the bodies that were admitted count as well.
	refuse, limit bool
	// mark sets what the queue is told about a packet.
	mark func(p *egress.Packet)
}

// Policies are the policies that are compared; the last is the one in use.
var Policies = []Policy{
	{Name: "at once"},
	{Name: "paced", paced: true, mark: func(p *egress.Packet) { p.Class = egress.ClassShort }},
	{Name: "fair", paced: true, mark: func(p *egress.Packet) { p.Class = egress.ClassBulk }},
	{Name: "short first", paced: true, mark: func(p *egress.Packet) { p.Flow = catkinrail.FlowKey{} }},
	{Name: "short first, fair", paced: true},
	{Name: "the same, refusing by wait", paced: true, refuse: true},
	{Name: "the same, limiting bodies", paced: true, refuse: true, limit: true},
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
	// received is set once the instance has received it.
	received bool
}

// request is a caller's request. The first packet of an upload opens its flow.
type request struct {
	flow      catkinrail.FlowKey
	upload    bool
	startedAt int
	refused   bool
	// tries is the number of flows that the caller has opened for the request.
	tries int
	// length is the number of packets of an upload's body.
	length int
	in     *instance
	// opened is set once the instance has admitted its flow.
	opened     bool
	body       upload.Body
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

// instance is an entry instance with its link.
type instance struct {
	queue *egress.Queue
	// linkFree is the time at which the link will have sent all packets.
	linkFree float64
	inbox    []egress.Packet
	limiter  upload.Limiter
	sizes    upload.Sizes
}

// replay is a run of the load; times are in milliseconds.
type replay struct {
	policy Policy
	// rng chooses instances, sizeRNG the sizes of bodies, which are the same for all policies.
	rng, sizeRNG *rand.Rand
	now          int
	instances    []*instance
	requests     map[catkinrail.FlowKey]*request
	events       map[int][]func()
	open         []*request
	done         []*request
	flows        int
}

// Run replays the load with uploads that need the given share of the link.
func Run(p Policy, share float64, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 1))
	r := &replay{policy: p, rng: rand.New(rand.NewPCG(seed, 2)), sizeRNG: rand.New(rand.NewPCG(seed, 3)), requests: map[catkinrail.FlowKey]*request{}, events: map[int][]func(){}}
	for range numInstances {
		in := &instance{queue: egress.New()}
		if p.paced {
			in.queue.SetLink(linkBits)
			in.limiter.SetLink(in.queue.Rate())
		}
		r.instances = append(r.instances, in)
	}
	const shortPerSecond = shortPerSecond * numInstances
	uploadsPerSecond := numInstances * share * linkBits / 8 / (uploadLength * fullPacket)
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
		for _, in := range r.instances {
			at, waiting := in.queue.NextAt()
			if r.now%wakeInterval == 0 || (waiting && at <= r.nanos()) {
				r.forward(in)
			}
		}
	}
	return r.result()
}

func (r *replay) nanos() int64 { return int64(r.now) * int64(time.Millisecond) }

func (r *replay) begin(upload bool) {
	req := &request{upload: upload, startedAt: r.now}
	if upload {
		size := math.Exp(uploadSpread*r.sizeRNG.NormFloat64() - uploadSpread*uploadSpread/2)
		req.length = min(max(1, int(uploadLength*size)), 6*uploadLength)
	}
	r.try(req)
	r.open = append(r.open, req)
}

// try opens a flow for a request.
func (r *replay) try(req *request) {
	r.flows++
	req.tries++
	req.refused, req.opened = false, false
	req.in = r.instances[r.rng.IntN(len(r.instances))]
	req.flow = catkinrail.FlowKey{SrcPort: uint16(r.flows >> 16), DstPort: uint16(r.flows)}
	req.segments, req.acked = make([]segment, 1), 0
	if req.upload {
		req.segments = make([]segment, 1+req.length)
	}
	r.requests[req.flow] = req
}

// refuse refuses a request's flow. Its caller tries again after a pause.
func (r *replay) refuse(req *request) {
	delete(r.requests, req.flow)
	req.refused = true
	if req.tries < maxTries {
		at := r.now + refusedPause
		r.events[at] = append(r.events[at], func() { r.try(req) })
	}
}

// sendDue sends the packets that callers may send and retransmits those that are due.
func (r *replay) sendDue() {
	kept := r.open[:0]
	for _, req := range r.open {
		if (req.refused && req.tries == maxTries) || req.finishedAt > 0 || r.now-req.startedAt > req.timeout() {
			req.in.limiter.Drop(&req.body)
			r.done = append(r.done, req)
			delete(r.requests, req.flow)
			continue
		}
		kept = append(kept, req)
		if !req.refused {
			r.sendWindow(req)
		}
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
			req.in.inbox = append(req.in.inbox, req.packet(i))
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
		To: netip.AddrPortFrom(netip.IPv4Unspecified(), r.flow.DstPort), Flow: r.flow, Seq: uint32(i),
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

// forward is one turn of an instance.
func (r *replay) forward(in *instance) {
	for i := range in.inbox {
		p := &in.inbox[i]
		to := p.Flow
		if p.Class == egress.ClassOpening && !r.admit(p) {
			continue
		}
		r.receive(in, p)
		if r.policy.mark != nil {
			r.policy.mark(p)
		}
		p.To = netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(to.SrcPort >> 8), byte(to.SrcPort)}), to.DstPort)
		if in.queue.Admit(len(p.Data), r.nanos()) {
			r.transmit(in, p)
			continue
		}
		in.queue.Push(p, r.nanos())
	}
	in.inbox = in.inbox[:0]
	for {
		p, _, ok := in.queue.Pop(r.nanos())
		if !ok {
			break
		}
		r.transmit(in, p)
	}
	in.queue.Release()
}

// admit reports whether an opening packet of an upload is forwarded.
func (r *replay) admit(p *egress.Packet) bool {
	req := r.requests[p.Flow]
	if req == nil || req.opened {
		return true
	}
	full := r.policy.refuse && 2*req.in.queue.Wait(egress.ClassBulk) > uploadTarget*time.Millisecond
	full = full || (r.policy.limit && req.in.limiter.Full(&req.in.sizes, uploadTarget*time.Millisecond, req.in.queue.Wait(egress.ClassBulk), r.nanos()))
	if full {
		r.refuse(req)
		return false
	}
	req.opened = true
	req.body = req.in.limiter.Admit(&req.in.sizes)
	return true
}

// receive counts a packet for the limiter.
func (r *replay) receive(in *instance, p *egress.Packet) {
	req := r.requests[p.Flow]
	if p.Class == egress.ClassShort && (req == nil || !req.upload) {
		in.limiter.RecordOther(len(p.Data), r.nanos())
	}
	if req == nil || p.Class == egress.ClassOpening {
		return
	}
	if s := &req.segments[p.Seq]; !s.received {
		s.received = true
		in.limiter.Receive(&req.body, len(p.Data))
	}
}

// transmit puts a packet on the link, which drops what its queue can't hold.
func (r *replay) transmit(in *instance, p *egress.Packet) {
	start := max(in.linkFree, float64(r.now))
	if (start-float64(r.now))*linkBits/8/second > linkQueue {
		return
	}
	in.linkFree = start + float64(len(p.Data))*8*second/linkBits
	a := p.To.Addr().As4()
	flow, i := catkinrail.FlowKey{SrcPort: uint16(a[0])<<8 | uint16(a[1]), DstPort: p.To.Port()}, p.Seq
	at := int(in.linkFree) + roundTrip
	r.events[at] = append(r.events[at], func() {
		req := r.requests[flow]
		if req == nil || req.segments[i].acked {
			return
		}
		req.segments[i].acked = true
		if req.acked++; req.acked == len(req.segments) {
			req.finishedAt = r.now
			in.limiter.Complete(&req.body)
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
