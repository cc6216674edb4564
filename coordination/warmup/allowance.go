package warmup

import (
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
)

// maxBatches is the number of replies whose loans can be valid at the same time for one
// backend server. Loans of further replies are lost.
const maxBatches = 4

// batch holds what is left of a loan. Its sequence is zero if there is none.
type batch struct {
	sequence uint64
	flows    int
	until    int64
	// usedAt is the time of its last use, or that of its arrival.
	usedAt int64
}

// ended is a loan that has ended.
type ended struct {
	batch
	Key
}

// held holds the loans for a backend server.
type held [maxBatches]batch

// AllowanceStats counts flows since the start.
type AllowanceStats struct {
	// Received counts the flows of loans, Used those that were opened with them, and
	// Expired those that were left over when their loans ended.
	Received, Used, Expired uint64
}

// Allowance holds the loans of an entry instance. It isn't safe for concurrent use.
type Allowance struct {
	loans map[Key]*held
	// applied is the sequence of the last reply that was applied.
	applied uint64
	clock   clockCheck
	// notBefore is the time before which requests must not have been sent.
	notBefore int64
	returned  []ended
	stats     AllowanceStats
}

// NewAllowance returns an allowance without loans.
func NewAllowance() *Allowance {
	return &Allowance{loans: map[Key]*held{}}
}

// Stats returns the counts.
func (a *Allowance) Stats() AllowanceStats { return a.stats }

// Apply adds the loans in the reply to the request of the given sequence, which was sent
// at sentAt. The reply to an earlier request than the last one, or one that was applied
// already, is ignored.
func (a *Allowance) Apply(sequence uint64, sentAt int64, loans []message.Loan, now int64) {
	if sequence <= a.applied {
		return
	}
	a.applied = sequence
	a.expire(now)
	until := sentAt + int64(Validity)
	for i := range loans {
		l := &loans[i]
		if l.Flows <= 0 {
			continue
		}
		a.stats.Received += uint64(l.Flows)
		in := batch{sequence, l.Flows, until, now}
		key := Key{l.Token, l.StartedAt}
		if sentAt < a.notBefore || now >= until || sentAt > now {
			a.end(key, &in)
			continue
		}
		h := a.loans[key]
		if h == nil {
			h = &held{}
			a.loans[key] = h
		}
		if k := slices.IndexFunc(h[:], func(b batch) bool { return b.sequence == 0 }); k >= 0 {
			h[k] = in
			continue
		}
		a.end(key, &in)
	}
}

// Take uses a loan for an opening packet to the incarnation, and reports whether there
// was one.
func (a *Allowance) Take(token catkinrail.Token, startedAt, now int64) bool {
	h := a.loans[Key{token, startedAt}]
	if h == nil {
		return false
	}
	best := -1
	for i := range h {
		if b := &h[i]; b.flows > 0 && now < b.until && (best < 0 || b.until < h[best].until) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	h[best].flows--
	h[best].usedAt = now
	a.stats.Used++
	return true
}

// Left returns the number of opening packets that loans permit to the incarnation.
func (a *Allowance) Left(token catkinrail.Token, startedAt, now int64) int {
	h := a.loans[Key{token, startedAt}]
	if h == nil {
		return 0
	}
	n := 0
	for i := range h {
		if now < h[i].until {
			n += h[i].flows
		}
	}
	return n
}

// CheckClock discards all loans, and those of requests that were already sent, if the
// wall clock and the steady clock have diverged: the machine may have been suspended
// while its steady clock stood still. It must be called after each time that the process
// may have waited, before Take.
func (a *Allowance) CheckClock(now, wall int64) {
	if !a.clock.diverged(now, wall) {
		return
	}
	a.notBefore = now + 1
	for key, h := range a.loans {
		for i := range h {
			a.end(key, &h[i])
		}
		delete(a.loans, key)
	}
}

// Return returns the loans that ended since the last call, to be reported to their lender
// with the next request.
func (a *Allowance) Return(now int64) []message.LoanReturn {
	a.expire(now)
	var list []message.LoanReturn
	for i := range a.returned {
		r := &a.returned[i]
		list = append(list, message.LoanReturn{
			Sequence: r.sequence, Token: r.Token, StartedAt: r.StartedAt, Flows: r.flows, Idle: time.Duration(max(0, now-r.usedAt)),
		})
	}
	a.returned = a.returned[:0]
	return list
}

// expire removes the loans that have ended.
func (a *Allowance) expire(now int64) {
	for key, h := range a.loans {
		left := false
		for i := range h {
			if b := &h[i]; b.flows == 0 || now >= b.until {
				a.end(key, b)
			}
			left = left || h[i].sequence != 0
		}
		if !left {
			delete(a.loans, key)
		}
	}
}

// maxReturned bounds the list of ended loans if nobody asks for it.
const maxReturned = 1024

// end ends a loan, if there is one.
func (a *Allowance) end(key Key, b *batch) {
	if b.sequence == 0 {
		return
	}
	a.stats.Expired += uint64(b.flows)
	if len(a.returned) < maxReturned {
		a.returned = append(a.returned, ended{*b, key})
	}
	*b = batch{}
}
