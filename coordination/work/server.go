package work

import (
	"math"
	"time"
)

// Parameters of a server's speed and queue.
const (
	// maxOwn is the number of own pending requests whose ages are known. Further ones count
	// with the mean of their route; with it a choice takes constant time.
	maxOwn = 4
	// speedMemory is the time constant with which answers decay in the speed.
	speedMemory = 2 * time.Second
	// latencyMemory is the time constant with which answers decay in the latency that is
	// reported, and minAnswers the decayed number of them from which it counts as known.
	latencyMemory = time.Second
	minAnswers    = 0.1
	// priorWeight is the weight of the expectation that a server is as fast as the others,
	// in answers.
	priorWeight = 2
	// sharedWeight is the weight of the latency that other instances report, in answers.
	sharedWeight = 4
	// maxLog limits what a single answer shows, as the logarithm of a factor.
	maxLog = 2
	// maxSlowness limits the factor to either side.
	maxSlowness = 20
	// slowServer is the slowness from which a server's answers aren't samples of the work
	// of a route.
	slowServer = 1.5
	// QueueLimit is the number of requests that a backend server queues before it rejects.
	QueueLimit = 8
)

// Server is what an entry instance knows of a backend server's work. The zero value is
// ready to use.
type Server struct {
	own     [maxOwn]pending
	pending int
	// logs is the decayed sum of the logarithms of observed time over expected time,
	// weight the decayed number of answers.
	logs, weight float64
	answeredAt   int64
	rejectedAt   int64
	// times is the decayed sum of the times of requests, round trips included, and answers
	// their decayed number.
	times, answers float64
	timedAt        int64
}

type pending struct {
	route *Route
	at    int64
}

// Begin records that a request was forwarded.
func (s *Server) Begin(r *Route, now int64) {
	s.pending++
	for i := range s.own {
		if s.own[i].route == nil {
			s.own[i] = pending{r, now}
			return
		}
	}
}

// Drop records that the request that began at the given time no longer counts.
func (s *Server) Drop(r *Route, at int64) {
	s.pending = max(0, s.pending-1)
	for i := range s.own {
		if s.own[i].route == r && s.own[i].at == at {
			s.own[i] = pending{}
			return
		}
	}
}

// Answer is what is known of an answer.
type Answer struct {
	// Began is the time at which Begin was called, SentAt that of the request's last byte.
	Began, SentAt int64
	// RoundTrip is the time of the flow's handshake.
	RoundTrip time.Duration
	// Queue is the number of requests that the server had before this one, and Slots the
	// number that it runs. Seen is set if Queue holds the requests of other instances.
	Queue, Slots int
	Seen         bool
	// Cold is set while the server warms up: its times show nothing of its later speed.
	Cold bool
}

// End records the answer to a request. It returns false if the answer came so fast that
// the server must have rejected the request.
func (s *Server) End(r *Route, a Answer, now int64) bool {
	s.Drop(r, a.Began)
	took := max(resolution, time.Duration(now-a.SentAt)-a.RoundTrip)
	r.requests++
	slots := max(1, a.Slots)
	if r.rejected(took, a.Queue >= slots) {
		s.rejectedAt = now
		return false
	}
	if a.Cold {
		return true
	}
	keep := math.Exp(-float64(now-s.timedAt) / float64(latencyMemory))
	s.times, s.answers, s.timedAt = s.times*keep+float64(now-a.SentAt), s.answers*keep+1, now
	if a.Queue < slots && !r.crowded && r.accepts(s.Slowness(0, now)) {
		r.record(took, now)
	}
	if !r.Known() {
		if a.Seen {
			r.recordEarly(took, a.Queue, slots)
		}
		return true
	}
	s.decay(now)
	l := math.Log(float64(took)/queueFactor(a.Queue, slots)) - r.logMean
	s.logs += min(max(l, -maxLog), maxLog)
	s.weight++
	return true
}

// rejected reports whether a request that was answered after the given time must have been
// rejected: rejections take no work. They are told from work by the time alone, and more
// easily while the server is known to be busy.
func (r *Route) rejected(took time.Duration, busy bool) bool {
	if !r.Known() {
		return busy && took < defaultWork/16
	}
	return took < r.fastest/4 || (busy && took < r.median/8)
}

// accepts reports whether answers of a server with the given slowness are samples of the
// route's work. If most servers are slow, the expectation is wrong instead.
func (r *Route) accepts(slowness float64) bool {
	slow := 0.0
	if slowness > slowServer {
		slow = 1
	}
	r.skipped += (slow - r.skipped) / 32
	return slow == 0 || r.skipped > 0.5
}

// queueFactor is the time of a request behind n others, relative to its work.
func queueFactor(n, slots int) float64 {
	return math.Max(1, float64(n+1)/float64(slots))
}

func (s *Server) decay(now int64) {
	keep := math.Exp(-float64(now-s.answeredAt) / float64(speedMemory))
	s.logs, s.weight, s.answeredAt = s.logs*keep, s.weight*keep, now
}

// Slowness returns the time of a request on the server relative to its route's
// expectation. Shared is the same from the latency that other instances report, or zero.
func (s *Server) Slowness(shared float64, now int64) float64 {
	keep := math.Exp(-float64(now-s.answeredAt) / float64(speedMemory))
	logs, weight := s.logs*keep, s.weight*keep+priorWeight
	if shared > 0 {
		logs += sharedWeight * math.Log(shared)
		weight += sharedWeight
	}
	// A request that has been pending for longer than its tail explains is a sign too,
	// before its answer arrives.
	for i := range s.own {
		if r := s.own[i].route; r != nil && r.Known() {
			age := float64(now - s.own[i].at)
			if l := math.Log(age/queueFactor(s.pending, 1)) - r.logMean; age > 0 && l > 1 && l > logs/weight {
				logs += l
				weight++
			}
		}
	}
	return min(max(math.Exp(logs/weight), 1.0/maxSlowness), maxSlowness)
}

// Remaining returns the expected remaining work of the own pending requests. Mean is that
// of the service's requests.
func (s *Server) Remaining(mean time.Duration, now int64) time.Duration {
	sum, n := time.Duration(0), 0
	for i := range s.own {
		if p := &s.own[i]; p.route != nil {
			sum += p.route.Remainder(time.Duration(now - p.at))
			n++
		}
	}
	return sum + time.Duration(s.pending-n)*mean
}

// Latency returns the mean time of the latest requests, rejected ones excluded; zero if
// there were none in the last seconds. Pending requests count once they have taken longer.
func (s *Server) Latency(now int64) time.Duration {
	keep := math.Exp(-float64(now-s.timedAt) / float64(latencyMemory))
	times, answers := s.times*keep, s.answers*keep
	if answers < minAnswers {
		times, answers = 0, 0
	}
	for i := range s.own {
		if age := float64(now - s.own[i].at); s.own[i].route != nil && age*answers >= times {
			times += age
			answers++
		}
	}
	if answers == 0 {
		return 0
	}
	return time.Duration(times / answers)
}

// SinceRejected returns the time since the server last rejected a request, as far as this
// instance noticed.
func (s *Server) SinceRejected(now int64) (time.Duration, bool) {
	return time.Duration(now - s.rejectedAt), s.rejectedAt != 0
}

// SharedSlowness returns the slowness that a latency reported by other instances shows, if
// n requests were pending meanwhile.
func SharedSlowness(latency, mean, roundTrip time.Duration, n float64, slots int) float64 {
	if latency <= 0 || mean <= 0 {
		return 0
	}
	took := max(resolution, latency-roundTrip)
	return float64(took) / float64(mean) / math.Max(1, n/float64(max(1, slots)))
}
