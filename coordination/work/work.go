// Package work learns what requests cost from what an entry instance observes. It does no
// I/O and reads no clock; callers pass in times as nanoseconds.
//
// Known at a flow's opening packet:
//   - the route, and with it the distribution of the work of its earlier requests and the
//     requests that its open flows bring;
//   - for each backend server: the requests that this instance has forwarded and that have
//     no answer, with their routes and ages; the sums that other instances report, up to
//     some hundred milliseconds old; its slots; its speed, from earlier answers.
//
// Known only later:
//   - the work of the request itself: a route whose tail takes seven times as long shows
//     this only by a request's age, see Route.Remainder;
//   - whether the flow carries one request or many, and with which pauses: at the opening
//     packet only the route's mean is known;
//   - whether the backend server rejected the request because its queue was full: an answer
//     that comes much faster than the route's work is the only sign, see Server.End;
//   - whether the server has become slow: first by the age of its pending requests, then
//     by its answers.
//
// Never known: the requests that wait in the backend server's queue, as opposed to those
// that run, and the order in which it runs them.
package work

import (
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the distributions.
const (
	// resolution is the unit of the recorded times. With one significant digit a
	// histogram takes 3 KB, a route 15 KB.
	resolution   = 50 * time.Microsecond
	maxWork      = time.Minute
	digits       = 1
	numWindows   = 4
	windowLength = 15 * time.Second
	// minWindowSamples keeps a window open on a route with few requests, and while all
	// backend servers are busy: what is known then stays.
	minWindowSamples = 50
	// minSamples is the number of samples from which a distribution is used.
	minSamples = 20
	// Ages are tabulated in steps of a quarter of the mean up to eight times the mean.
	agesPerMean = 4
	numAges     = 8*agesPerMean + 1
	// flowMemory is the time constant with which requests and idle times of flows decay.
	flowMemory = 30 * time.Second
	// defaultWork is assumed before the first samples.
	defaultWork = 30 * time.Millisecond
)

// Route is what the requests of a route to a service cost. It isn't safe for concurrent
// use.
type Route struct {
	hist        *hdrhistogram.WindowedHistogram
	window      int
	rotatedAt   int64
	total       int
	mean        time.Duration
	logMean     float64
	fastest     time.Duration
	median      time.Duration
	crowded     bool
	remainders  [numAges]time.Duration
	skipped     float64
	idleFlows   int
	idleSince   int64
	refreshedAt int64
	// idleTime and requests decay with flowMemory.
	idleTime float64
	requests float64
	// early and full hold the work that answers show before the work is known: early those of
	// requests that found a place in the queue of their server, and full those of requests to a
	// server whose queue was full.
	early, full answers
}

// NewRoute returns a route without samples.
func NewRoute(now int64) *Route {
	return &Route{idleSince: now, refreshedAt: now, rotatedAt: now}
}

// Known reports whether there are enough samples for the route's own distribution.
func (r *Route) Known() bool { return r.mean > 0 }

// Mean returns the expected work of a request.
func (r *Route) Mean() time.Duration {
	if r.mean == 0 {
		return defaultWork
	}
	return r.mean
}

// Remainder returns the expected remaining work of a request that has run for age.
func (r *Route) Remainder(age time.Duration) time.Duration {
	if r.mean == 0 {
		return defaultWork
	}
	at := float64(max(0, age)) / float64(r.mean) * agesPerMean
	if at >= numAges-1 {
		return r.remainders[numAges-1]
	}
	i := int(at)
	part := at - float64(i)
	return time.Duration(float64(r.remainders[i])*(1-part) + float64(r.remainders[i+1])*part)
}

// RequestRate returns the requests a second that an open flow without a pending request
// brings.
func (r *Route) RequestRate() float64 {
	if r.idleTime <= 0 {
		return 0
	}
	return r.requests / r.idleTime * float64(time.Second)
}

// IdleWork returns the work that an open flow without a pending request is expected to
// bring within the horizon; it brings at most one request.
func (r *Route) IdleWork(horizon time.Duration) time.Duration {
	p := 1 - math.Exp(-r.RequestRate()*horizon.Seconds())
	return time.Duration(p * float64(r.Mean()))
}

// AddIdle changes the number of open flows without a pending request by n.
func (r *Route) AddIdle(n int, now int64) {
	if d := now - r.idleSince; d > 0 {
		r.idleTime += float64(r.idleFlows) * float64(d)
		r.idleSince = now
	}
	r.idleFlows += n
}

// record adds the time of a request that had not to wait.
func (r *Route) record(took time.Duration, now int64) {
	if r.hist == nil {
		r.hist = hdrhistogram.NewWindowed(numWindows, 1, int64(maxWork/resolution), digits)
		r.rotatedAt = now
	}
	// Within the range, recording can't fail.
	_ = r.hist.Current.RecordValue(min(max(1, int64(took/resolution)), int64(maxWork/resolution)))
	r.window++
	r.total++
	if r.mean == 0 && r.total >= minSamples {
		r.tabulate()
	}
}

// answers holds the work that the latest answers have shown.
type answers struct {
	works [minSamples]time.Duration
	total int
}

func (a *answers) add(d time.Duration) {
	a.works[a.total%minSamples] = d
	a.total++
}

func (a *answers) len() int { return min(a.total, minSamples) }

// recordEarly adds an answer before the route's work is known: after the given time, behind queue
// others on a server with that many slots.
func (r *Route) recordEarly(took time.Duration, queue, slots int) {
	limit := slots + QueueLimit
	if queue < limit {
		r.early.add(time.Duration(float64(took) / queueFactor(queue, slots)))
		return
	}
	// The request was rejected after whatever time, or it was the last one in the queue.
	r.full.add(time.Duration(float64(took) / queueFactor(limit-1, slots)))
}

// shown returns the work that answers have shown, and the number of these: the mean if it is known,
// else the median, since the wait of a single request isn't known well. Full says whether answers of
// servers whose queue was full count.
func (r *Route) shown(full bool) (d time.Duration, n int) {
	if r.Known() {
		return r.mean, minSamples
	}
	var all [2 * minSamples]time.Duration
	n = copy(all[:], r.early.works[:r.early.len()])
	if full {
		n += copy(all[n:], r.full.works[:r.full.len()])
	}
	if n == 0 {
		return 0, 0
	}
	slices.Sort(all[:n])
	return all[n/2], n
}

// SetCrowded sets whether most requests may have to wait, so that none is a sample.
func (r *Route) SetCrowded(on bool) { r.crowded = on }

// Refresh brings the expectations up to date and lets old samples decay. It should be
// called a few times a second.
func (r *Route) Refresh(now int64) {
	r.AddIdle(0, now)
	keep := math.Exp(-float64(now-r.refreshedAt) / float64(flowMemory))
	r.refreshedAt = now
	r.idleTime *= keep
	r.requests *= keep
	if r.total < minSamples {
		return
	}
	r.tabulate()
	if r.window >= minWindowSamples && now-r.rotatedAt >= int64(windowLength) {
		r.hist.Rotate()
		r.window, r.rotatedAt = 0, now
	}
}

// tabulate computes the mean and the remainders from the samples.
func (r *Route) tabulate() {
	h := r.hist.Merge()
	n := float64(h.TotalCount())
	if n == 0 {
		return
	}
	bars := h.Distribution()
	mid := func(i int) float64 {
		return float64(bars[i].From+bars[i].To) / 2 * float64(resolution)
	}
	sum, logs := 0.0, 0.0
	for i := range bars {
		c := float64(bars[i].Count)
		sum += c * mid(i)
		if c > 0 {
			logs += c * math.Log(mid(i))
		}
	}
	r.mean, r.logMean = time.Duration(sum/n), logs/n
	r.fastest = time.Duration(h.ValueAtQuantile(2)) * resolution
	r.median = time.Duration(h.ValueAtQuantile(50)) * resolution
	for k := range r.remainders {
		age := float64(r.mean) * float64(k) / agesPerMean
		left, count := 0.0, 0.0
		for i := range bars {
			if m := mid(i); m > age {
				left += float64(bars[i].Count) * (m - age)
				count += float64(bars[i].Count)
			}
		}
		if count == 0 {
			// Longer than any sample: as long again as the samples suggest for the last
			// age that any reached.
			r.remainders[k] = max(r.mean, r.remainders[max(0, k-1)])
			continue
		}
		r.remainders[k] = time.Duration(left / count)
	}
}

// ShownMean returns the mean work of the requests of several routes as far as answers have shown it.
// It is zero before minSamples answers, or if most requests are of routes without any. Answers of
// servers whose queue was full only count while there are too few others.
func ShownMean(routes []*Route) time.Duration {
	if d := shownMean(routes, false); d > 0 {
		return d
	}
	return shownMean(routes, true)
}

func shownMean(routes []*Route, full bool) time.Duration {
	sum, shown, requests, count := 0.0, 0.0, 0.0, 0
	for _, r := range routes {
		requests += r.requests
		d, n := r.shown(full)
		count += n
		if n > 0 {
			sum += r.requests * float64(d)
			shown += r.requests
		}
	}
	if count < minSamples || 2*shown < requests {
		return 0
	}
	return time.Duration(sum / shown)
}

// Mix returns the mean work of the requests of several routes, and that which an open flow
// without a pending request is expected to bring within the horizon.
func Mix(routes []*Route, horizon time.Duration) (mean, idle time.Duration) {
	sum, n, idleSum, flows := 0.0, 0.0, 0.0, 0.0
	for _, r := range routes {
		sum += r.requests * float64(r.Mean())
		n += r.requests
		idleSum += float64(max(0, r.idleFlows)) * float64(r.IdleWork(horizon))
		flows += float64(max(0, r.idleFlows))
	}
	mean = defaultWork
	if n > 0 {
		mean = time.Duration(sum / n)
	}
	if flows > 0 {
		idle = time.Duration(idleSum / flows)
	}
	return mean, idle
}
