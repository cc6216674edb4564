package packet

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/platform"
	"catkinrail.example/catkinrail/protocol/metricspage"
)

// manualClock is a clock whose time the tests set.
type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

func (m *manualClock) Nanos() int64 { return m.now.UnixNano() }

// sent is a sent datagram.
type sent struct {
	to netip.AddrPort
	b  []byte
}

// fakeSocket returns prepared datagrams and records sent ones.
type fakeSocket struct {
	in     [][]byte
	queue  []sent
	out    []sent
	failed int
}

func (s *fakeSocket) Read() (int, error)                     { return len(s.in), nil }
func (s *fakeSocket) ReadTimeout(time.Duration) (int, error) { return len(s.in), nil }
func (s *fakeSocket) Datagram(i int) ([]byte, bool)          { return s.in[i], true }
func (s *fakeSocket) Source(int) netip.AddrPort              { return netip.AddrPort{} }
func (s *fakeSocket) Queue(to netip.AddrPort, b []byte)      { s.queue = append(s.queue, sent{to, b}) }
func (s *fakeSocket) Discard()                               { s.queue = nil }
func (s *fakeSocket) Close() error                           { return nil }

func (s *fakeSocket) Flush() int {
	for _, d := range s.queue {
		s.out = append(s.out, sent{d.to, bytes.Clone(d.b)})
	}
	s.queue = nil
	return s.failed
}

// opening returns a caller's opening packet from the port to the address.
func opening(port uint16, to netip.AddrPort) []byte {
	b := make([]byte, 31)
	b[4] = 8
	dst := to.Addr().As4()
	copy(b[5:], dst[:])
	copy(b[9:], []byte{100, 64, 0, 7})
	b[13], b[14] = byte(to.Port()>>8), byte(to.Port())
	b[15], b[16] = byte(port>>8), byte(port)
	return b
}

func newWorker(t *testing.T, lines *bytes.Buffer) (*Worker, *fakeSocket, metrics.Registry) {
	t.Helper()
	clk := &manualClock{now: time.Unix(1000, 0)}
	e := token.New("a", 1)
	e.SetDocument(&catkinrail.Document{Version: 7, Services: []string{"logbook"}, Routes: []catkinrail.Route{{
		Name: "r", Listen: netip.MustParseAddrPort("198.18.0.1:443"), Targets: []catkinrail.Target{{Service: "logbook", Weight: 1}},
	}}})
	e.Update([]token.FollowedBackend{{Incarnation: catkinrail.Incarnation{
		Name: "i-9", Identity: 9, StartedAt: 1, Service: "logbook", Slots: 2, Zone: "a", Addr: netip.MustParseAddrPort("10.0.0.9:80"),
	}}}, clk.Nanos())
	e.RecordContact(clk.Nanos())
	s := &fakeSocket{}
	reg := metrics.NewRegistry()
	log := logs.New(lines, logs.Settings{Level: "info"}, "entry", "entry-1")
	return New(NewRouter(e, clk, clk), s, platform.PacketCodec{CallerPort: 8172}, clk, log, reg), s, reg
}

func TestWorker(t *testing.T) {
	route := netip.MustParseAddrPort("198.18.0.1:443")
	tests := []struct {
		name   string
		in     []byte
		to     netip.AddrPort
		size   int
		reason string
		line   string
	}{
		{"new flow", opening(40001, route), netip.MustParseAddrPort("10.0.0.9:80"), 8 + 31, "packets-placed", `"reason":"placed"`},
		{"unknown endpoint", opening(40001, netip.MustParseAddrPort("198.18.0.9:443")), netip.MustParseAddrPort("100.64.0.7:8172"), 31, "packets-no-route", `"reason":"no-route"`},
		{"malformed packet", []byte("short"), netip.AddrPort{}, 0, "packets-bad", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var lines bytes.Buffer
			w, s, reg := newWorker(t, &lines)
			s.in = [][]byte{tt.in}
			w.Batch(1)
			require.Equal(t, int64(1), metrics.GetOrRegisterCounter(tt.reason, reg).Count())
			if tt.size == 0 {
				require.Empty(t, s.out)
				require.Empty(t, lines.String())
				return
			}
			require.Len(t, s.out, 1)
			require.Equal(t, tt.to, s.out[0].to)
			require.Len(t, s.out[0].b, tt.size)
			require.Contains(t, lines.String(), tt.line)
			require.Contains(t, lines.String(), `"flow":"100.64.0.7:40001`)
			require.Contains(t, lines.String(), `"document":7`)
		})
	}
}

// TestLogVolumeIsLimited opens ten times more flows within a second than may be logged.
func TestLogVolumeIsLimited(t *testing.T) {
	var lines bytes.Buffer
	w, s, _ := newWorker(t, &lines)
	for i := range 10 * logLinesPerSecond {
		s.in = append(s.in, opening(uint16(i), netip.MustParseAddrPort("198.18.0.1:443")))
	}
	w.Batch(len(s.in))
	require.Len(t, s.out, len(s.in))
	require.Equal(t, logLinesPerSecond, strings.Count(lines.String(), "\n"))
	w.router.clock.(*manualClock).now = time.Unix(1001, 0)
	s.in = s.in[:1]
	w.Batch(1)
	require.Contains(t, lines.String(), fmt.Sprintf(`"skipped":%d`, 9*logLinesPerSecond))
}

func TestFailedSendsAreCounted(t *testing.T) {
	w, s, reg := newWorker(t, &bytes.Buffer{})
	s.in, s.failed = [][]byte{opening(1, netip.MustParseAddrPort("198.18.0.1:443"))}, 1
	w.Batch(1)
	require.Equal(t, int64(1), metrics.GetOrRegisterCounter("packets-send-failed", reg).Count())
}

// dataPacket returns a full packet of a request on the flow of the port.
func dataPacket(port uint16, seq, token uint32) []byte {
	b := append(opening(port, netip.MustParseAddrPort("198.18.0.1:443")), make([]byte, 1200)...)
	b[4] = 64
	binary.BigEndian.PutUint32(b[17:], seq)
	binary.BigEndian.PutUint32(b[25:], token)
	binary.BigEndian.PutUint16(b[29:], 1200)
	return b
}

// A window of full packets leaves at the rate of the link, and none is lost; other packets
// and links that are fast enough don't wait.
func TestWorkerPacesToLink(t *testing.T) {
	tests := []struct {
		name  string
		bits  float64
		first int
	}{
		{"unlimited", 0, 16},
		{"700 Mbit/s", 700e6, 16},
		{"1.4 Mbit/s", 1.4e6, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, s, reg := newWorker(t, &bytes.Buffer{})
			clk, ok := w.router.clock.(*manualClock)
			require.True(t, ok)
			w.SetLink(tt.bits)
			for i := range uint32(16) {
				s.in = append(s.in, dataPacket(40001, 1+i*1200, 9))
			}
			w.Batch(16)
			require.Len(t, s.out, tt.first)
			require.Equal(t, tt.first < 16, w.queue.Bytes() > 0)
			began := clk.now
			for range 1000 {
				if w.queue.Empty() {
					break
				}
				clk.now = clk.now.Add(time.Millisecond)
				w.Batch(0)
			}
			require.Len(t, s.out, 16)
			for i, d := range s.out {
				require.Equal(t, s.in[i], d.b[8:], "packet %d", i)
			}
			if tt.first < 16 {
				require.InDelta(t, 16*1275*8/(0.95*tt.bits), clk.now.Sub(began).Seconds(), 0.025)
				require.Equal(t, int64(14), metricspage.Histogram("link-wait", reg).Count())
			}
			require.Zero(t, metrics.GetOrRegisterCounter("link-drops-bulk", reg).Count())
		})
	}
}

// TestWaitingOpeningFollowsTheDocument guards against an opening packet, or a reset, that is sent as an older document
// allows: it has waited for the link while the document changed.
func TestWaitingOpeningFollowsTheDocument(t *testing.T) {
	listen, other := netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.9:443")
	routes := func(list ...netip.AddrPort) *catkinrail.Document {
		d := &catkinrail.Document{Version: 8, Services: []string{"logbook"}}
		for _, l := range list {
			d.Routes = append(d.Routes, catkinrail.Route{Name: l.String(), Listen: l, Targets: []catkinrail.Target{{Service: "logbook", Weight: 1}}})
		}
		return d
	}
	tests := []struct {
		name     string
		to       netip.AddrPort
		document *catkinrail.Document
		sent     int
	}{
		{"no change", listen, nil, 1},
		{"route kept", listen, routes(listen, other), 1},
		{"route dropped", listen, routes(other), 0},
		{"reset, no change", other, nil, 1},
		{"reset, route added", other, routes(listen, other), 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w, s, _ := newWorker(t, &bytes.Buffer{})
			clk, ok := w.router.clock.(*manualClock)
			require.True(t, ok)
			w.SetLink(1.4e6)
			for i := range uint32(16) {
				s.in = append(s.in, dataPacket(40001, 1+i*1200, 9))
			}
			s.in = append(s.in, opening(40002, tt.to))
			w.Batch(17)
			require.Len(t, s.out, 2, "the others wait")
			if tt.document != nil {
				w.router.Do(func(e *token.Engine, _ int64) { require.True(t, e.SetDocument(tt.document)) })
			}
			for range 1000 {
				clk.now = clk.now.Add(time.Millisecond)
				w.Batch(0)
			}
			require.True(t, w.queue.Empty())
			require.Len(t, s.out, 16+tt.sent)
		})
	}
}

// fakeClocks are a steady clock and a wall clock.
type fakeClocks struct{ steady, wall int64 }

func (c *fakeClocks) Nanos() int64 { return c.steady }

func (c *fakeClocks) Now() time.Time { return time.Unix(0, c.wall) }

// TestLoansEndWhenClocksDiverge guards against loans that a suspended machine, whose steady
// clock stood still, uses long after they were lent.
func TestLoansEndWhenClocksDiverge(t *testing.T) {
	listen := netip.MustParseAddrPort("198.18.0.1:443")
	for _, suspended := range []time.Duration{0, time.Minute} {
		e := token.New("a", 1)
		e.SetDocument(&catkinrail.Document{
			Version: 2, Services: []string{"s"}, Limits: map[string]catkinrail.ServiceLimits{"s": {WarmupTime: time.Hour, WarmupRate: 1}},
			Routes: []catkinrail.Route{{Listen: listen, Targets: []catkinrail.Target{{Service: "s", Weight: 1}}}},
		})
		clk := &fakeClocks{steady: int64(time.Hour), wall: int64(2 * time.Hour)}
		r := NewRouter(e, clk, clk)
		var report message.LoadReport
		var last token.Reason
		open := func(port uint16) {
			r.Do(func(e *token.Engine, now int64) {
				p := &catkinrail.TokenPacket{Flow: catkinrail.FlowKey{SrcPort: port, Dst: listen.Addr().As16(), DstPort: 443}, Opening: true}
				last = e.Decide(p, now).Reason
			})
		}
		r.Do(func(e *token.Engine, now int64) {
			e.Update([]token.FollowedBackend{{Incarnation: catkinrail.Incarnation{
				Name: "cold", Identity: 2, StartedAt: 100, Service: "s", Zone: "a", Warmup: time.Hour,
			}}}, now)
			e.LoadReport(&report, now)
		})
		open(1)
		require.Equal(t, token.ReasonCold, last)
		clk.steady += int64(250 * time.Millisecond)
		clk.wall += int64(250 * time.Millisecond)
		r.Do(func(e *token.Engine, now int64) {
			require.True(t, e.LoadReport(&report, now))
			e.ApplyLoad(&message.LoadReply{Sequence: report.Sequence, Loans: []message.Loan{{Token: 2, StartedAt: 100, Flows: 1}}}, now)
		})
		clk.wall += int64(suspended)
		open(2)
		require.Equal(t, suspended > 0, last == token.ReasonCold)
	}
}
