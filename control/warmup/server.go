// Package warmup lends flows on cold backend servers to the entry instances that send their
// load reports to this control instance.
package warmup

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/warmup"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/directory"
)

const (
	// refreshInterval is the interval at which the lender learns of the voters, of the
	// contact with the leader and of cold backend servers. Several fall into the time
	// after which a lack of contact counts.
	refreshInterval = 250 * time.Millisecond
	// logInterval is the shortest time between two log lines about what was lent.
	logInterval = 10 * time.Second
	// coldMargin is the time for which flows are still lent on a backend server that is
	// warm: entry instances may count its warm-up from a later time.
	coldMargin = time.Second
	// rebuildInterval is the time between two comparisons with the whole directory, which
	// doesn't announce that it has expired an entry.
	rebuildInterval = time.Minute
)

// Control is the state that control instances have agreed on.
type Control interface {
	Published() *core.PublishedState
	// Synced returns the time at which this instance last had everything that its leader
	// had committed.
	Synced() int64
}

// Directory is the directory of backend servers. It is called with the server's lock held.
type Directory interface {
	// Since returns the incarnations that changed after a revision, and the revision of
	// the last change.
	Since(revision uint64) (list []directory.View, at uint64, changed <-chan struct{})
}

// Config holds the settings and dependencies of a Server.
type Config struct {
	// Name is the control instance's name among the members.
	Name      string
	Tolerance warmup.Tolerance
	Control   Control
	Directory Directory
	// Clock is a steady clock, and Wall the wall clock.
	Clock, Wall catkinrail.Clock
	Log         *logs.Logger
	Metrics     metrics.Registry
}

// Server lends flows. It is safe for concurrent use.
type Server struct {
	cfg   Config
	stats stats

	mu     sync.Mutex
	lender *warmup.Lender
	// revision is that of the directory up to which backends is complete.
	revision uint64
	backends map[string]*backend
	rebuilt  int64
	// last holds the counts that are in the metrics, logged those of the last log line.
	last, logged warmup.Stats
	loggedAt     int64
	zones        []catkinrail.Zone
}

// backend is a backend server that may be cold.
type backend struct {
	catkinrail.Incarnation
	// ended is set once it has ended or its address was reused.
	ended bool
	// warmUntil is the end of its warm-up by its reports, seenAt the time at which this
	// instance first heard of it.
	warmUntil, seenAt int64
}

type stats struct {
	lent, returned, wanted metrics.Counter
	cold                   metrics.Gauge
}

// New returns a server that lends nothing until Run has run for some seconds. It registers
// its metrics.
func New(cfg Config) *Server {
	reg := cfg.Metrics
	return &Server{
		cfg: cfg, lender: warmup.NewLender(cfg.Name, cfg.Tolerance), backends: map[string]*backend{},
		stats: stats{
			lent: metrics.GetOrRegisterCounter("loans-lent", reg), returned: metrics.GetOrRegisterCounter("loans-returned", reg),
			wanted: metrics.GetOrRegisterCounter("loans-wanted", reg), cold: metrics.GetOrRegisterGauge("backends-cold", reg),
		},
	}
}

// Run keeps the lender's view up to date until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		s.Refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// Lend returns the loans in reply to an entry instance's report.
func (s *Server) Lend(r *message.LoadReport) []message.Loan {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.setView()
	loans := s.lender.Lend(r, now)
	s.updateMetrics()
	return loans
}

// Refresh brings the lender's view up to date.
func (s *Server) Refresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.setView()
	s.updateBackends(now)
	cold, zones := s.coldServers(now)
	s.lender.SetServers(cold, zones, now)
	s.stats.cold.Update(int64(len(cold)))
	s.updateMetrics()
	s.logChanges(len(cold), now)
}

// setView tells the lender the voters and the last contact with the leader, and returns the
// time. The caller holds mu.
func (s *Server) setView() int64 {
	// The contact is read first: the voters are at least as new.
	synced := s.cfg.Control.Synced()
	p := s.cfg.Control.Published()
	now := s.cfg.Clock.Now().UnixNano()
	var voters []warmup.Voter
	if p != nil && p.Members != nil {
		voters = warmup.Voters(p.Members)
	}
	s.lender.SetView(voters, synced, now, s.cfg.Wall.Now().UnixNano())
	return now
}

// updateBackends applies the changes of the directory. The caller holds mu.
func (s *Server) updateBackends(now int64) {
	if now-s.rebuilt > int64(rebuildInterval) {
		s.rebuilt = now
		list, _, _ := s.cfg.Directory.Since(0)
		found := make(map[string]bool, len(list))
		for i := range list {
			found[list[i].Name] = true
		}
		for name := range s.backends {
			if !found[name] {
				delete(s.backends, name)
			}
		}
	}
	list, at, _ := s.cfg.Directory.Since(s.revision)
	s.revision = at
	for i := range list {
		in := &list[i].Incarnation
		b := s.backends[in.Name]
		if b == nil || b.StartedAt != in.StartedAt {
			b = &backend{seenAt: now}
			s.backends[in.Name] = b
		}
		b.Incarnation, b.ended = *in, list[i].Ended()
		b.warmUntil = max(b.warmUntil, now+int64(in.Warmup))
	}
}

// coldServers returns the backend servers that entry instances may take for cold, and the
// zones of all backend servers. The caller holds mu.
func (s *Server) coldServers(now int64) (cold []warmup.Server, zones []catkinrail.Zone) {
	p := s.cfg.Control.Published()
	if p == nil || p.Document == nil {
		return nil, nil
	}
	for _, b := range s.backends {
		l := p.Document.Limits[b.Service]
		if !l.LimitsWarmup() || b.ended {
			continue
		}
		if !slices.Contains(zones, b.Zone) {
			zones = append(zones, b.Zone)
		}
		until := warmup.ColdUntil(b.warmUntil, b.StartedAt*int64(time.Millisecond), b.seenAt, l.WarmupTime)
		if b.Draining || now >= until+int64(coldMargin) {
			continue
		}
		cold = append(cold, warmup.Server{
			Key: warmup.Key{Token: b.Token(), StartedAt: b.StartedAt}, Service: b.Service, Zone: b.Zone, Rate: l.WarmupRate,
		})
	}
	slices.SortFunc(cold, func(a, b warmup.Server) int {
		return cmp.Or(cmp.Compare(a.Token, b.Token), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return cold, zones
}

func (s *Server) updateMetrics() {
	now := s.lender.Stats()
	s.stats.lent.Inc(int64(now.Lent - s.last.Lent))
	s.stats.returned.Inc(int64(now.Returned - s.last.Returned))
	s.stats.wanted.Inc(int64(now.Wanted - s.last.Wanted))
	s.last = now
}

// logChanges logs the zones that the instance lends for when they change, and what was lent
// at an interval. The caller holds mu.
func (s *Server) logChanges(cold int, now int64) {
	zones := s.lender.Zones(now)
	slices.Sort(zones)
	if !slices.Equal(zones, s.zones) {
		s.zones = zones
		s.cfg.Log.Info().Interface("zones", zones).Int("cold", cold).Msg("lender of flows on cold backend servers changed")
	}
	if s.last.Wanted == s.logged.Wanted || now-s.loggedAt < int64(logInterval) {
		return
	}
	s.cfg.Log.Info().Int("cold", cold).Uint64("wanted", s.last.Wanted-s.logged.Wanted).Uint64("lent", s.last.Lent-s.logged.Lent).
		Uint64("returned", s.last.Returned-s.logged.Returned).Msg("lent flows on cold backend servers")
	s.logged, s.loggedAt = s.last, now
}
