package packet

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/platform"
)

// manual is a clock that tests set.
type manual struct{ now time.Time }

func (m *manual) Now() time.Time { return m.now }

func (m *manual) Nanos() int64 { return m.now.UnixNano() }

// sent is a datagram that was sent.
type sent struct {
	to netip.AddrPort
	b  []byte
}

// fakeSocket hands out prepared datagrams and keeps what is sent.
type fakeSocket struct {
	in     [][]byte
	queue  []sent
	out    []sent
	failed int
}

func (s *fakeSocket) Read() (int, error)                { return len(s.in), nil }
func (s *fakeSocket) Datagram(i int) ([]byte, bool)     { return s.in[i], true }
func (s *fakeSocket) Source(int) netip.AddrPort         { return netip.AddrPort{} }
func (s *fakeSocket) Queue(to netip.AddrPort, b []byte) { s.queue = append(s.queue, sent{to, b}) }
func (s *fakeSocket) Discard()                          { s.queue = nil }
func (s *fakeSocket) Close() error                      { return nil }

func (s *fakeSocket) Flush() int {
	for _, d := range s.queue {
		s.out = append(s.out, sent{d.to, bytes.Clone(d.b)})
	}
	s.queue = nil
	return s.failed
}

// opening returns an opening packet from a port.
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
	clk := &manual{now: time.Unix(1000, 0)}
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
	return New(NewRouter(e, clk), s, platform.PacketCodec{CallerPort: 8172}, clk, log, reg), s, reg
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
		{"a new flow goes to a backend server", opening(40001, route), netip.MustParseAddrPort("10.0.0.9:80"), 8 + 31, "packets-placed", `"reason":"placed"`},
		{"an unknown endpoint is refused", opening(40001, netip.MustParseAddrPort("198.18.0.9:443")), netip.MustParseAddrPort("100.64.0.7:8172"), 31, "packets-no-route", `"reason":"no-route"`},
		{"what is no packet is dropped", []byte("short"), netip.AddrPort{}, 0, "packets-bad", ""},
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

// TestLogVolumeIsBounded sends many flows within a second.
func TestLogVolumeIsBounded(t *testing.T) {
	var lines bytes.Buffer
	w, s, _ := newWorker(t, &lines)
	for i := range 10 * logLines {
		s.in = append(s.in, opening(uint16(i), netip.MustParseAddrPort("198.18.0.1:443")))
	}
	w.Batch(len(s.in))
	require.Len(t, s.out, len(s.in))
	require.Equal(t, logLines, strings.Count(lines.String(), "\n"))
	w.router.clock.(*manual).now = time.Unix(1001, 0)
	s.in = s.in[:1]
	w.Batch(1)
	require.Contains(t, lines.String(), fmt.Sprintf(`"skipped":%d`, 9*logLines))
}

func TestFailedSendsAreCounted(t *testing.T) {
	w, s, reg := newWorker(t, &bytes.Buffer{})
	s.in, s.failed = [][]byte{opening(1, netip.MustParseAddrPort("198.18.0.1:443"))}, 1
	w.Batch(1)
	require.Equal(t, int64(1), metrics.GetOrRegisterCounter("packets-send-failed", reg).Count())
}
