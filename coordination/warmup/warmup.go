// Package warmup limits the opening packets that cold backend servers receive from all
// entry instances together. A control instance lends flows (Lender); an entry instance
// opens a flow on a cold backend server only with a loan (Allowance). The package does
// no I/O and reads no clock: times are passed in, as nanoseconds of a steady clock.
package warmup

import (
	"math"
	"time"

	"catkinrail.example/catkinrail"
)

// Timing of loans.
const (
	// Validity is the time, from when an entry instance sent a request, for which it may
	// use the loans in the reply. It is below the interval of the requests, so that loans
	// that were left over have expired, and can be returned, when the next one is sent.
	Validity = 200 * time.Millisecond
	// MaxTransit is the variation of the time from the decision about an opening packet to
	// its arrival at the backend server. Where packets wait longer for the link, no loans
	// may be used.
	MaxTransit = 20 * time.Millisecond
	// maxDivergence is the divergence of an entry instance's steady clock from its wall
	// clock up to which its loans stay valid.
	maxDivergence = 10 * time.Millisecond
	// Window is the time within which the loans of a backend server add up to no more
	// than its budget. All opening packets that arrive within one second were lent
	// within a time of this length.
	Window = time.Second + Validity + MaxTransit + maxDivergence
)

// Tolerance says how far the opening packets to a cold backend server may exceed its rate:
// rate x Overage + Slack are tolerated in any second.
type Tolerance struct {
	Overage, Slack float64
}

// OrDefault returns the tolerance, with an overage of 1 if none is given.
func (t Tolerance) OrDefault() Tolerance {
	if t.Overage <= 0 {
		t.Overage = 1
	}
	return t
}

// maxBudget bounds the budget, whose loans are recorded one by one.
const maxBudget = 1 << 16

// Budget returns the opening packets that are tolerated in one second.
func (t Tolerance) Budget(rate float64) int {
	return int(min(math.Floor(rate*t.Overage+t.Slack), maxBudget))
}

// Key identifies an incarnation of a backend server.
type Key struct {
	Token     catkinrail.Token
	StartedAt int64
}

// ColdUntil returns the time until which an incarnation is cold. reported is the end of
// the warm-up by its reports, startedAt its start and seenAt the time at which the caller
// first heard of it. From its start on, an incarnation is cold for the service's warm-up
// time even if its reports say nothing of that. A start in the future is that of a
// skewed clock, so that seenAt counts instead.
func ColdUntil(reported, startedAt, seenAt int64, warmup time.Duration) int64 {
	return max(reported, min(startedAt, seenAt)+int64(warmup))
}

// clockCheck compares a steady clock with the wall clock.
type clockCheck struct {
	// offset is the wall clock's distance from the steady clock.
	offset int64
	known  bool
}

// diverged reports whether the clocks have diverged by more than maxDivergence since the
// last time that they did.
func (c *clockCheck) diverged(now, wall int64) bool {
	offset := wall - now
	d := offset - c.offset
	if c.known && d <= int64(maxDivergence) && d >= -int64(maxDivergence) {
		return false
	}
	first := !c.known
	c.offset, c.known = offset, true
	return !first
}
