// Package egress paces the packets that an instance sends to the rate of its link, and
// orders those that wait.
//
// It answers loads in which a link carries long request bodies beside short requests. A
// caller sends up to a window of full packets at once; an instance that forwards them
// as fast as it reads them overruns the queue of a thin link, and each lost packet costs
// the caller a retransmission timeout. Long bodies that share the link also delay
// packets of which a request has only a few.
//
// The package does no I/O and reads no clock; callers pass in packets and times.
package egress

import (
	"math"
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	"catkinrail.example/catkinrail"
)

// Class is the priority of a packet; lower ones are sent first.
type Class uint8

// Classes.
const (
	// ClassShort packets belong to open flows and to requests with few packets, or
	// carry no payload.
	ClassShort Class = iota
	// ClassOpening packets open a flow or refuse it.
	ClassOpening
	// ClassBulk packets belong to long request bodies.
	ClassBulk
	// NumClasses is the number of classes.
	NumClasses
)

// String returns the name of the class.
func (c Class) String() string {
	return [...]string{"short", "opening", "bulk"}[c]
}

const (
	// linkPercent is the share of the link that packets are paced to, in percent. The
	// rest is left to the connections to control.
	linkPercent = 95
	// burstTime limits the packets that may be in the link's own queue, as the time that
	// the link takes to send them.
	burstTime = 8 * time.Millisecond
	// maxWait limits the packets that wait here, as the time that the link takes to send
	// them. Older ones have been retransmitted by their senders several times.
	maxWait = 2 * time.Second
	// minBytes is the least limit on the bytes that wait.
	minBytes = 64 << 10
	// headerBytes is the size of the IP and UDP headers of a packet.
	headerBytes = 28
	// turnSize is the number of bytes of a flow's bulk packets after which another flow
	// gets its turn. Bodies up to this size are sent one after the other: together they
	// would all be late.
	turnSize = 64 << 10
	// numBulkLists is the number of lists that bulk packets are spread over by flow.
	numBulkLists = 64
)

// Packet is a packet to be sent.
type Packet struct {
	To    netip.AddrPort
	Flow  catkinrail.FlowKey
	Seq   uint32
	Class Class
	// Version is that of the document by which the packet is sent.
	Version uint64
	Data    []byte
}

// item is a waiting packet. Its buffer is used again.
type item struct {
	Packet
	queuedAt int64
	next     int32
}

// list is a FIFO list of waiting packets; head and tail are indexes of items.
type list struct {
	head, tail int32
	bytes      int
}

const none = int32(-1)

// Result is what Push did with a packet.
type Result uint8

// Results.
const (
	// Queued means that the packet waits.
	Queued Result = iota
	// Duplicate means that the packet was dropped because it waits already.
	Duplicate
	// Dropped means that the packet was dropped because too many packets wait.
	Dropped
)

// Queue paces packets and holds those that wait. Not safe for concurrent use.
type Queue struct {
	// nanosPerByte is the time in which the link sends a byte; zero if it is unlimited.
	nanosPerByte float64
	// maxBytes limits the bytes that wait.
	maxBytes int
	// busyUntil is the time at which the link will have sent all that has left.
	busyUntil int64
	items     []item
	free      []int32
	// popped are the items whose buffers are in use until Release.
	popped         []int32
	short, opening list
	bulk           [numBulkLists]list
	// round holds the indexes of the bulk lists that aren't empty, in sending order.
	round []uint8
	// turnBytes are the bytes that the first of them has sent in its turn.
	turnBytes int
	bytes     [NumClasses]int
	drops     [NumClasses]uint64
}

// New returns a queue for an unlimited link.
func New() *Queue {
	q := &Queue{short: list{head: none, tail: none}, opening: list{head: none, tail: none}}
	for i := range q.bulk {
		q.bulk[i] = list{head: none, tail: none}
	}
	return q
}

// SetLink sets the link's rate in bits a second. Anything but a positive number means
// that the link is unlimited.
func (q *Queue) SetLink(bitsPerSecond float64) {
	q.busyUntil = 0
	if math.IsNaN(bitsPerSecond) || math.IsInf(bitsPerSecond, 0) || bitsPerSecond <= 0 {
		q.nanosPerByte = 0
		return
	}
	bytesPerSecond := bitsPerSecond / 8 * linkPercent / 100
	q.nanosPerByte = float64(time.Second) / bytesPerSecond
	q.maxBytes = max(int(bytesPerSecond*maxWait.Seconds()), minBytes)
}

// Rate returns the rate, in bytes a second, to which packets are paced; zero if the link is
// unlimited.
func (q *Queue) Rate() float64 {
	if q.nanosPerByte == 0 {
		return 0
	}
	return float64(time.Second) / q.nanosPerByte
}

// Admit reports whether a packet of the given size may be sent now, and if so accounts
// for it.
func (q *Queue) Admit(size int, now int64) bool {
	if q.nanosPerByte == 0 {
		return q.Empty()
	}
	if !q.Empty() || q.busyUntil-now > int64(burstTime) {
		return false
	}
	q.charge(size, now)
	return true
}

// Push keeps a copy of a packet until the link can send it.
func (q *Queue) Push(p *Packet, now int64) Result {
	l, i := &q.short, 0
	switch p.Class {
	case ClassOpening:
		l = &q.opening
	case ClassBulk:
		i = listIndex(&p.Flow)
		l = &q.bulk[i]
		if q.waits(l, p) {
			return Duplicate
		}
	}
	for q.nanosPerByte > 0 && q.total()+len(p.Data) > q.maxBytes {
		if !q.dropFor(p.Class, l.bytes) {
			q.drops[p.Class]++
			return Dropped
		}
	}
	if p.Class == ClassBulk && l.head == none {
		q.round = append(q.round, uint8(i))
	}
	q.append(l, p, now)
	return Queued
}

// listIndex returns the index of the bulk list for a flow.
func listIndex(k *catkinrail.FlowKey) int {
	ports := uint64(k.SrcPort)<<16 | uint64(k.DstPort)
	return int(xxh3.HashSeed(k.Src[:], ports) % numBulkLists)
}

// waits reports whether the packet is in the list.
func (q *Queue) waits(l *list, p *Packet) bool {
	for n := l.head; n != none; n = q.items[n].next {
		if it := &q.items[n]; it.Seq == p.Seq && it.Flow == p.Flow && it.To == p.To && len(it.Data) == len(p.Data) {
			return true
		}
	}
	return false
}

// dropFor makes room for a packet by dropping the oldest packet of the longest bulk
// list. It returns false if the packet itself should be dropped: if no bulk packet
// waits, or if it would be added to the longest list, which holds own bytes.
func (q *Queue) dropFor(c Class, own int) bool {
	longest := -1
	for k, i := range q.round {
		if longest < 0 || q.bulk[i].bytes > q.bulk[q.round[longest]].bytes {
			longest = k
		}
	}
	if longest < 0 || (c == ClassBulk && own >= q.bulk[q.round[longest]].bytes) {
		return false
	}
	i := q.round[longest]
	n := q.remove(&q.bulk[i])
	q.drops[ClassBulk]++
	q.free = append(q.free, n)
	if q.bulk[i].head == none {
		q.round = append(q.round[:longest], q.round[longest+1:]...)
	}
	return true
}

func (q *Queue) append(l *list, p *Packet, now int64) {
	var n int32
	if len(q.free) > 0 {
		n = q.free[len(q.free)-1]
		q.free = q.free[:len(q.free)-1]
	} else {
		q.items = append(q.items, item{})
		n = int32(len(q.items) - 1)
	}
	it := &q.items[n]
	data := it.Data[:0]
	data = append(data, p.Data...)
	it.Packet, it.queuedAt, it.next = *p, now, none
	it.Data = data
	if l.head == none {
		l.head = n
	} else {
		q.items[l.tail].next = n
	}
	l.tail = n
	l.bytes += len(p.Data)
	q.bytes[p.Class] += len(p.Data)
}

// remove removes the first item of a list and returns its index.
func (q *Queue) remove(l *list) int32 {
	n := l.head
	it := &q.items[n]
	l.head = it.next
	if l.head == none {
		l.tail = none
	}
	l.bytes -= len(it.Data)
	q.bytes[it.Class] -= len(it.Data)
	return n
}

// Pop removes the next packet if the link can send it now, and accounts for it. It
// returns the time for which the packet waited. The packet is valid until Release.
func (q *Queue) Pop(now int64) (p *Packet, waited time.Duration, ok bool) {
	for !q.Empty() {
		if q.nanosPerByte > 0 && q.busyUntil-now > int64(burstTime) {
			return nil, 0, false
		}
		n := q.next()
		it := &q.items[n]
		if now-it.queuedAt > int64(maxWait) {
			q.drops[it.Class]++
			q.free = append(q.free, n)
			continue
		}
		q.popped = append(q.popped, n)
		q.charge(len(it.Data), now)
		return &it.Packet, time.Duration(now - it.queuedAt), true
	}
	return nil, 0, false
}

// next removes the packet to be sent next and returns its index. Bulk lists take turns.
func (q *Queue) next() int32 {
	if q.short.head != none {
		return q.remove(&q.short)
	}
	if q.opening.head != none {
		return q.remove(&q.opening)
	}
	i := q.round[0]
	n := q.remove(&q.bulk[i])
	q.turnBytes += len(q.items[n].Data)
	switch {
	case q.bulk[i].head == none:
		copy(q.round, q.round[1:])
		q.round = q.round[:len(q.round)-1]
		q.turnBytes = 0
	case q.turnBytes >= turnSize:
		copy(q.round, q.round[1:])
		q.round[len(q.round)-1] = i
		q.turnBytes = 0
	}
	return n
}

// Release allows the buffers of popped packets to be used again.
func (q *Queue) Release() {
	q.free = append(q.free, q.popped...)
	q.popped = q.popped[:0]
}

// charge accounts for a packet that leaves.
func (q *Queue) charge(size int, now int64) {
	q.busyUntil = max(q.busyUntil, now) + int64(float64(size+headerBytes)*q.nanosPerByte)
}

// Empty reports whether no packet waits.
func (q *Queue) Empty() bool { return q.total() == 0 }

func (q *Queue) total() int {
	return q.bytes[ClassShort] + q.bytes[ClassOpening] + q.bytes[ClassBulk]
}

// NextAt returns the time at which the next packet may leave. It returns false if none
// waits.
func (q *Queue) NextAt() (at int64, ok bool) {
	if q.Empty() {
		return 0, false
	}
	return q.busyUntil - int64(burstTime), true
}

// Wait returns how long the packets of the class and of those before it take to leave.
func (q *Queue) Wait(c Class) time.Duration {
	sum := 0
	for i := range c + 1 {
		sum += q.bytes[i]
	}
	return time.Duration(float64(sum) * q.nanosPerByte)
}

// Bytes returns the bytes that wait.
func (q *Queue) Bytes() int { return q.total() }

// Drops returns the number of packets of the class that were dropped.
func (q *Queue) Drops(c Class) uint64 { return q.drops[c] }
