// Package upload limits the request bodies that an entry instance takes on at the same time to
// those that its link carries in time.
//
// It answers loads in which callers upload more than the link carries. A caller sends a body only
// as fast as it is forwarded, a window at a time, so that the packets that wait say little about
// the bodies that are still to come. An instance that admits bodies by the waiting packets takes
// on many more than it can carry: all of them share the link and are late, those of callers that
// have given up take the link from others, and it takes several time limits until the last of
// them is gone.
//
// A body counts with the bytes that are expected of its route until they have arrived. A new one
// is refused at its opening packet if it would be late behind those that the instance has; its
// caller tries again, most likely through another instance.
//
// The package does no I/O and reads no clock; callers pass in times as nanoseconds.
package upload

import (
	"math"
	"time"
)

const (
	// maxPercent and minPercent are the parts of the latency target, in percent, in which all
	// admitted bodies must pass the link: while callers offer up to lowOffer times what the link
	// carries, refused tries included, and from highOffer times on. A single body fills the link:
	// what waits behind it bridges pauses between bodies, of which there are none under overload,
	// where it only delays.
	maxPercent, minPercent = 50.0, 25.0
	lowOffer, highOffer    = 1.5, 3.0
	// sizeWeight is the weight of a new body in the mean size of its route.
	sizeWeight = 1.0 / 32
	// defaultSize is the size, in bytes, that is assumed before the first body of a route ends.
	defaultSize = 32 << 10
	// rateTime is the time constant with which the rates of bodies and of other packets follow a
	// change.
	rateTime = time.Second
	// maxOtherPercent limits the part of the link, in percent, that counts as taken by other
	// packets, so that a burst of these doesn't refuse all bodies.
	maxOtherPercent = 80
	// Timeout is the time without a packet after which a body's caller counts as gone. Callers
	// retransmit after 1.6 s at the latest.
	Timeout = 2 * time.Second
)

// Sizes holds the mean size of the bodies of a route. The zero value knows none.
type Sizes struct {
	mean float64
}

// Mean returns the expected size of a body in bytes.
func (s *Sizes) Mean() float64 {
	if s.mean == 0 {
		return defaultSize
	}
	return s.mean
}

// Body is a body that was admitted. The zero value is no body.
type Body struct {
	sizes *Sizes
	// expected are the bytes that are expected and haven't arrived.
	expected float64
	received int
	// partial is set if the instance has not received it from its beginning.
	partial bool
}

// Limiter holds the bodies that an instance has admitted. The zero value is for an unlimited link.
// It isn't safe for concurrent use.
type Limiter struct {
	// bytesPerSecond is the rate of the link; zero if it is unlimited.
	bytesPerSecond float64
	expected       float64
	bodies         int
	// other and offered are the decayed numbers of bytes of other packets and of the bodies that
	// callers have asked to send, at the time at.
	other, offered float64
	at             int64
}

// SetLink sets the rate to which packets are paced. Anything but a positive number means that the
// link is unlimited.
func (l *Limiter) SetLink(bytesPerSecond float64) {
	if !(bytesPerSecond > 0) || math.IsInf(bytesPerSecond, 0) {
		bytesPerSecond = 0
	}
	l.bytesPerSecond = bytesPerSecond
}

// RecordOther records a packet that belongs to no body.
func (l *Limiter) RecordOther(size int, now int64) {
	if l.bytesPerSecond == 0 {
		return
	}
	l.decay(now)
	l.other += float64(size)
}

func (l *Limiter) decay(now int64) {
	if d := now - l.at; d > 0 {
		keep := math.Exp(-float64(d) / float64(rateTime))
		l.other *= keep
		l.offered *= keep
		l.at = now
	}
}

// Full reports whether one more body of the route would be late; it is called once for each that a
// caller asks to send. Waiting is the time that it takes for the packets that have arrived and wait.
// An instance that has no bodies is never full: its link is as good as any other's.
func (l *Limiter) Full(s *Sizes, target, waiting time.Duration, now int64) bool {
	if l.bytesPerSecond == 0 {
		return false
	}
	l.decay(now)
	l.offered += s.Mean()
	if l.bodies == 0 {
		return false
	}
	rate := l.bytesPerSecond - min(l.other/rateTime.Seconds(), l.bytesPerSecond*maxOtherPercent/100)
	overload := (l.offered/rateTime.Seconds()/rate - lowOffer) / (highOffer - lowOffer)
	percent := maxPercent - min(max(0, overload), 1)*(maxPercent-minPercent)
	bytes := l.expected + s.Mean() + waiting.Seconds()*l.bytesPerSecond
	return bytes/rate > target.Seconds()*percent/100
}

// Admit returns a body of the route.
func (l *Limiter) Admit(s *Sizes) Body {
	l.bodies++
	l.expected += s.Mean()
	return Body{sizes: s, expected: s.Mean()}
}

// Adopt returns a body of the route whose beginning another instance has received.
func (l *Limiter) Adopt(s *Sizes) Body {
	b := l.Admit(s)
	b.partial = true
	return b
}

// Active reports whether b is a body that has not ended.
func (b *Body) Active() bool { return b.sizes != nil }

// Receive records that n bytes of a body have arrived for the first time.
func (l *Limiter) Receive(b *Body, n int) {
	if b.sizes == nil {
		return
	}
	b.received += n
	d := min(b.expected, float64(n))
	b.expected -= d
	l.expected -= d
}

// Complete records that a body has arrived as a whole, as its answer shows.
func (l *Limiter) Complete(b *Body) {
	if b.sizes == nil {
		return
	}
	switch s := b.sizes; {
	case b.partial:
	case s.mean == 0:
		s.mean = float64(b.received)
	default:
		s.mean += (float64(b.received) - s.mean) * sizeWeight
	}
	l.Drop(b)
}

// Drop records that no more of a body is expected.
func (l *Limiter) Drop(b *Body) {
	if b.sizes == nil {
		return
	}
	l.bodies--
	l.expected -= b.expected
	if l.bodies == 0 {
		l.expected = 0 // Without what rounding has left.
	}
	*b = Body{}
}

// Bodies returns the number of bodies that were admitted and haven't ended, and the bytes that
// are expected of them.
func (l *Limiter) Bodies() (n int, expected int64) {
	return l.bodies, int64(l.expected)
}
