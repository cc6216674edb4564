package token

import (
	"math"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/egress"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/warmup"
)

const (
	// wantInterval is the interval of the requests for loans.
	wantInterval = 250 * time.Millisecond
	// wantSpan is the time over which the rate of new flows is averaged.
	wantSpan = time.Second
)

// coldService is a service whose requests to cold backend servers are limited.
type coldService struct {
	warmupTime time.Duration
	// priorities are those of the routes to the service, highest first.
	priorities []int
	// opened counts the new flows since the last estimate, and rate is their estimated
	// number a second, by the index of their priority.
	opened      []int
	rate        []float64
	estimatedAt int64
}

// setWarmupLimits takes the limits over from the document in force. The estimates of
// services that keep their priorities are kept.
func (e *Engine) setWarmupLimits() {
	old := e.cold
	e.cold = nil
	for name, l := range e.document.Limits {
		if !l.LimitsWarmup() {
			continue
		}
		s := &coldService{warmupTime: l.WarmupTime}
		for i := range e.document.Routes {
			r := &e.document.Routes[i]
			if slices.ContainsFunc(r.Targets, func(t catkinrail.Target) bool { return t.Service == name }) {
				s.priorities = append(s.priorities, r.Priority)
			}
		}
		slices.Sort(s.priorities)
		s.priorities = slices.Compact(s.priorities)
		if o := old[name]; o != nil && slices.Equal(o.priorities, s.priorities) {
			s.opened, s.rate, s.estimatedAt = o.opened, o.rate, o.estimatedAt
		} else {
			s.opened, s.rate = make([]int, len(s.priorities)), make([]float64, len(s.priorities))
		}
		if e.cold == nil {
			e.cold = map[string]*coldService{}
		}
		e.cold[name] = s
	}
}

// countOpening counts a new flow of a route to the service.
func (e *Engine) countOpening(service string, priority int) {
	s := e.cold[service]
	if s == nil {
		return
	}
	if i := slices.Index(s.priorities, priority); i >= 0 {
		s.opened[i]++
	}
}

// startupSpan is the time within which the backend servers of a system that starts as a
// whole start.
const startupSpan = 30 * time.Second

// isCold reports whether the backend server, one of the service, is cold: by its reports,
// or because it started while traffic ran and less than the service's warm-up time ago.
func (e *Engine) isCold(s *coldService, b *Backend, now int64) bool {
	if b.warmUntil > now {
		return true
	}
	startedAt := b.StartedAt * int64(time.Millisecond)
	return warmup.ColdUntil(b.warmUntil, startedAt, b.seenAt, s.warmupTime) > now && e.startedInTraffic(b)
}

// startedInTraffic reports whether the incarnation started while traffic ran: if this
// instance had placed flows before it heard of the incarnation, or if another one started
// longer before it than those of a system that starts as a whole.
func (e *Engine) startedInTraffic(b *Backend) bool {
	return b.StartedAt > 0 && (b.seenInTraffic || b.StartedAt-e.oldestStart > startupSpan.Milliseconds())
}

// coldFilter says which cold backend servers a new flow may be placed on.
type coldFilter struct {
	service *coldService
	// reserved is set if the loans that are left are for flows of higher priority.
	reserved bool
	// excluded is set if a backend server was left out because it is cold.
	excluded bool
}

// newColdFilter returns the filter for a flow of the given priority. While a warm
// backend server takes flows, no loans are reserved for flows of higher priority.
func (e *Engine) newColdFilter(service string, list []*Backend, avoid *Backend, priority int, now int64) coldFilter {
	f := coldFilter{service: e.cold[service]}
	if f.service == nil || len(f.service.priorities) < 2 || priority <= f.service.priorities[0] {
		return f
	}
	left := 0
	for _, b := range list {
		switch {
		case b == avoid || b.Draining || b.evacuated:
		case e.isCold(f.service, b, now):
			left += e.allowance.Left(b.token, b.StartedAt, now)
		case !b.silent:
			return f
		}
	}
	f.reserved = left <= f.service.expected(priority)
	return f
}

// expected returns the number of flows of a higher priority that are expected before the
// next loans.
func (s *coldService) expected(priority int) int {
	rate := 0.0
	for i, p := range s.priorities {
		if p < priority {
			rate += s.rate[i]
		}
	}
	return int(math.Ceil(rate * wantInterval.Seconds()))
}

// excludes reports whether the flow must not be placed on the backend server.
func (f *coldFilter) excludes(e *Engine, b *Backend, now int64) bool {
	if f.service == nil || !e.isCold(f.service, b, now) {
		return false
	}
	if f.reserved || e.linkWait[egress.ClassOpening] > warmup.MaxTransit || e.allowance.Left(b.token, b.StartedAt, now) == 0 {
		f.excluded = true
		return true
	}
	return false
}

// takeLoan uses a loan for an opening packet to the backend server. It reports false if
// the backend server is cold and there is none.
func (e *Engine) takeLoan(b *Backend, now int64) bool {
	s := e.cold[b.Service]
	if s == nil || !e.isCold(s, b, now) {
		return true
	}
	return e.linkWait[egress.ClassOpening] <= warmup.MaxTransit && e.allowance.Take(b.token, b.StartedAt, now)
}

// wants returns the number of flows, by service, that the instance would place on cold
// backend servers before its next request, estimated from those opened lately. It should
// be called with each request.
func (e *Engine) wants(now int64) map[string]int {
	var wants map[string]int
	for name, s := range e.cold {
		s.estimate(now)
		if n := s.want(); n > 0 && e.hasCold(s, name, now) {
			if wants == nil {
				wants = map[string]int{}
			}
			wants[name] = n
		}
	}
	return wants
}

// estimate updates the rates of new flows.
func (s *coldService) estimate(now int64) {
	took := time.Duration(now - s.estimatedAt)
	if s.estimatedAt == 0 || took <= 0 {
		s.estimatedAt = now
		return
	}
	s.estimatedAt = now
	weight := min(1, took.Seconds()/wantSpan.Seconds())
	for i := range s.rate {
		lately := float64(s.opened[i]) / took.Seconds()
		s.opened[i] = 0
		s.rate[i] += (lately - s.rate[i]) * weight
		if lately > s.rate[i] {
			// A surge asks for its flows at once.
			s.rate[i] = lately
		}
	}
}

// minWantRate is the rate of new flows, in flows a second, below which no loans are asked
// for: most would end unused.
const minWantRate = 0.2

func (s *coldService) want() int {
	rate := 0.0
	for _, r := range s.rate {
		rate += r
	}
	if rate < minWantRate {
		return 0
	}
	return int(math.Ceil(rate * wantInterval.Seconds()))
}

// hasCold reports whether the service has a cold backend server that takes new flows.
func (e *Engine) hasCold(s *coldService, name string, now int64) bool {
	return slices.ContainsFunc(e.services[name], func(b *Backend) bool {
		return !b.Draining && !b.evacuated && e.isCold(s, b, now)
	})
}

// maxRequests is the number of requests whose replies may still be applied.
const maxRequests = 4

// requests holds the times at which the last requests for loans were sent.
type requests [maxRequests]struct {
	sequence uint64
	sentAt   int64
}

// ask adds to a report what concerns loans, and reports whether there is something.
func (e *Engine) ask(r *message.LoadReport, now int64) bool {
	r.Wants, r.Returned = e.wants(now), e.allowance.Return(now)
	return len(r.Wants)+len(r.Returned) > 0
}

// recordAsked records that the report was sent.
func (e *Engine) recordAsked(r *message.LoadReport, now int64) {
	if len(r.Wants) > 0 {
		q := &e.requests[r.Sequence%maxRequests]
		q.sequence, q.sentAt = r.Sequence, now
	}
}

// applyLoans adds the loans in a reply.
func (e *Engine) applyLoans(r *message.LoadReply, now int64) {
	if q := &e.requests[r.Sequence%maxRequests]; len(r.Loans) > 0 && q.sequence == r.Sequence {
		e.allowance.Apply(r.Sequence, q.sentAt, r.Loans, now)
	}
}

// CheckClock discards the loans if the wall clock and the steady clock have diverged. It
// must be called before the packets that arrived while the process waited.
func (e *Engine) CheckClock(now, wall int64) {
	e.allowance.CheckClock(now, wall)
}

// LoanStats returns the counts of flows by loans.
func (e *Engine) LoanStats() warmup.AllowanceStats {
	return e.allowance.Stats()
}
