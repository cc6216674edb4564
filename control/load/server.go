// Package load combines what entry instances observe of the backend servers and returns
// the sums to them. It exchanges the sums with the other control instances.
package load

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/load"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/state/directory"
)

// rebuildInterval is the time between two comparisons with the whole directory, which
// doesn't announce that it has expired an entry.
const rebuildInterval = time.Minute

// Directory is the directory of backend servers. It is called with the server's lock held.
type Directory interface {
	// Since returns the incarnations that changed after a revision and the revision of
	// the last change.
	Since(revision uint64) (list []directory.View, at uint64, changed <-chan struct{})
}

// Lender lends flows on cold backend servers.
type Lender interface {
	Lend(r *message.LoadReport) []message.Loan
}

// Server answers the load reports of the entry instances that follow this control instance.
// It is safe for concurrent use.
type Server struct {
	dir   Directory
	clock catkinrail.Clock
	// lender is nil if this control instance lends no flows.
	lender Lender

	mu    sync.Mutex
	table *load.Table
	// revision is that of the directory up to which the table knows the backend servers;
	// keys are their keys by name.
	revision uint64
	keys     map[string]load.Key
	rebuilt  time.Time
	stats    stats
}

// stats are the metrics of the exchange. Late reports are those that a newer one had
// replaced.
type stats struct {
	reports, late, sentRows, bytesIn, bytesOut metrics.Counter
	// rows is the number of rows in the table, instances that of reporting entry instances
	// and peers that of control instances whose sums count.
	rows, instances, peers metrics.Gauge
}

// New returns a server without reports. Self is the control instance's address, process a
// random number that identifies its process. It registers its metrics with reg.
func New(self string, process uint64, dir Directory, clock catkinrail.Clock, reg metrics.Registry) *Server {
	return &Server{
		dir: dir, clock: clock, table: load.NewTable(self, process), keys: map[string]load.Key{}, rebuilt: clock.Now(),
		stats: stats{
			reports: metrics.GetOrRegisterCounter("load-reports", reg), late: metrics.GetOrRegisterCounter("load-reports-late", reg),
			sentRows: metrics.GetOrRegisterCounter("load-rows-sent", reg),
			bytesIn:  metrics.GetOrRegisterCounter("load-bytes-in", reg), bytesOut: metrics.GetOrRegisterCounter("load-bytes-out", reg),
			rows: metrics.GetOrRegisterGauge("load-rows", reg), instances: metrics.GetOrRegisterGauge("load-instances", reg),
			peers: metrics.GetOrRegisterGauge("load-peers", reg),
		},
	}
}

// LendBy makes l lend flows in reply to reports. It must be called before the first report.
func (s *Server) LendBy(l Lender) {
	s.lender = l
}

// Report records an entry instance's report and returns the sums of all reports, and loans
// if the report is the last one of its process.
func (s *Server) Report(r *message.LoadReport) *message.LoadReply {
	reply := s.record(r)
	if s.lender != nil && reply.Sequence == r.Sequence {
		reply.Loans = s.lender.Lend(r)
	}
	return reply
}

// record records a report and returns the sums of all reports.
func (s *Server) record(r *message.LoadReport) *message.LoadReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.table.Report(r, s.prepare())
	s.stats.reports.Inc(1)
	if reply.Sequence != r.Sequence {
		s.stats.late.Inc(1)
	}
	s.stats.sentRows.Inc(int64(len(reply.Servers)))
	return reply
}

// RecordBytes counts the bytes of a report and of its reply.
func (s *Server) RecordBytes(in, out int) {
	s.stats.bytesIn.Inc(int64(in))
	s.stats.bytesOut.Inc(int64(out))
}

// UpdateMetrics brings the gauges up to date.
func (s *Server) UpdateMetrics() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(s.prepare())
	n := s.table.Counts()
	s.stats.rows.Update(int64(n.Rows))
	s.stats.instances.Update(int64(n.Instances))
	s.stats.peers.Update(int64(n.Peers))
}

// Zones returns the load by zone and service, with the age of its oldest part.
func (s *Server) Zones() []load.ZoneStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Zones(s.prepare())
}

// Leave removes the part of an entry instance that no longer follows this control instance.
func (s *Server) Leave(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Remove(name)
}

// Share returns the message to the control instance at an address, or nil if there is no
// load to share.
func (s *Server) Share(addr, zone string) *message.LoadShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Share(addr, catkinrail.Zone(zone), s.prepare())
}

// Merge records a message from another control instance.
func (s *Server) Merge(m *message.LoadShare) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Merge(m, s.prepare())
}

// prepare brings the table's backend servers up to date and returns the time. The caller
// holds mu.
func (s *Server) prepare() int64 {
	now := s.clock.Now()
	if now.Sub(s.rebuilt) > rebuildInterval {
		s.rebuild(now)
	}
	list, at, _ := s.dir.Since(s.revision)
	for i := range list {
		s.update(&list[i])
	}
	s.revision = at
	return now.UnixNano()
}

// rebuild removes the backend servers that the directory no longer has.
func (s *Server) rebuild(now time.Time) {
	s.rebuilt = now
	list, _, _ := s.dir.Since(0)
	found := make(map[string]bool, len(list))
	for i := range list {
		found[list[i].Name] = true
	}
	for name, k := range s.keys {
		if !found[name] {
			delete(s.keys, name)
			s.table.RemoveServer(k)
		}
	}
}

func (s *Server) update(v *directory.View) {
	k := message.NewServerKey(v.Token(), v.StartedAt)
	if old, ok := s.keys[v.Name]; ok && (old != k || v.Ended()) {
		delete(s.keys, v.Name)
		s.table.RemoveServer(old)
	}
	if v.Ended() {
		return
	}
	server := load.Server{Key: k, Zone: v.Zone, Service: v.Service, Slots: v.Slots}
	if v.Draining || v.Silent {
		server.Slots = 0
	}
	s.keys[v.Name] = k
	s.table.SetServer(server)
}
