package packet

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"catkinrail.example/catkinrail/coordination/egress"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/metricspage"
)

// linkStats are the metrics of the packets that pass the instance's link, and what is logged of
// them once a second while packets wait.
type linkStats struct {
	wait  metrics.Histogram
	bytes metrics.Gauge
	// bodies is the number of uploads that were admitted and haven't ended, and expected the
	// bytes that are still to come of them.
	bodies, expected metrics.Gauge
	drops            [egress.NumClasses]metrics.Counter
	duplicates       metrics.Counter
	classes          [egress.NumClasses]classStats
	// logged holds the drops and duplicates at the last log line.
	logged struct{ drops, duplicates int64 }
}

// classStats are the bytes of a class since the last log line, and the longest time for which
// one of its packets waited.
type classStats struct {
	in, out   metrics.Counter
	loggedIn  int64
	loggedOut int64
	maxWait   time.Duration
}

func newLinkStats(reg metrics.Registry) *linkStats {
	s := &linkStats{
		wait: metricspage.Histogram("link-wait", reg), bytes: metrics.GetOrRegisterGauge("link-bytes-waiting", reg),
		duplicates: metrics.GetOrRegisterCounter("link-duplicates", reg),
		bodies:     metrics.GetOrRegisterGauge("link-uploads", reg), expected: metrics.GetOrRegisterGauge("link-bytes-expected", reg),
	}
	for c := range egress.NumClasses {
		s.drops[c] = metrics.GetOrRegisterCounter("link-drops-"+c.String(), reg)
		s.classes[c].in = metrics.GetOrRegisterCounter("link-bytes-in-"+c.String(), reg)
		s.classes[c].out = metrics.GetOrRegisterCounter("link-bytes-out-"+c.String(), reg)
	}
	return s
}

// received counts a datagram from a caller.
func (s *linkStats) received(c egress.Class, size int) {
	s.classes[c].in.Inc(int64(size))
}

// sent counts a datagram that has left. Waited is zero if it left at once.
func (s *linkStats) sent(c egress.Class, size int, waited time.Duration) {
	s.classes[c].out.Inc(int64(size))
	if waited > 0 {
		s.wait.Update(int64(waited))
		s.classes[c].maxWait = max(s.classes[c].maxWait, waited)
	}
}

func (s *linkStats) update(q *egress.Queue, e *token.Engine) {
	s.bytes.Update(int64(q.Bytes()))
	n, expected := e.Uploads()
	s.bodies.Update(int64(n))
	s.expected.Update(expected)
	for c := range egress.NumClasses {
		s.drops[c].Inc(int64(q.Drops(c)) - s.drops[c].Count())
	}
}

// log writes one line if a packet has waited since the last call.
func (s *linkStats) log(log *logs.Logger) {
	waited, drops := false, int64(0)
	for c := range egress.NumClasses {
		waited = waited || s.classes[c].maxWait > 0
		drops += s.drops[c].Count()
	}
	line := log.Info()
	for c := range egress.NumClasses {
		k := &s.classes[c]
		in, out := k.in.Count(), k.out.Count()
		line = line.Int64("bytes-in-"+c.String(), in-k.loggedIn).Int64("bytes-out-"+c.String(), out-k.loggedOut).
			Int64("max-wait-ms-"+c.String(), k.maxWait.Milliseconds())
		k.loggedIn, k.loggedOut, k.maxWait = in, out, 0
	}
	duplicates := s.duplicates.Count()
	line = line.Int64("bytes-waiting", s.bytes.Value()).Int64("uploads", s.bodies.Value()).Int64("bytes-expected", s.expected.Value()).Int64("drops", drops-s.logged.drops).
		Int64("duplicates", duplicates-s.logged.duplicates)
	s.logged.drops, s.logged.duplicates = drops, duplicates
	if waited {
		line.Msg("link busy")
	}
}
