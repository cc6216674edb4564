package fabric_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/entry/fabric"
	"catkinrail.example/catkinrail/protocol/ip"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/state/cluster"
)

var (
	backendAddr = netip.MustParseAddrPort("127.0.0.1:6080")
	caller      = netip.MustParseAddrPort("127.0.0.1:9000")
)

// socket is a fake socket: it serves one batch and keeps what is sent.
type socket struct {
	in     [][]byte
	queued []netip.AddrPort
	sent   []netip.AddrPort
	whole  bool
}

func (s *socket) Read() (int, error)                { return len(s.in), nil }
func (s *socket) Datagram(i int) ([]byte, bool)     { return s.in[i], s.whole }
func (s *socket) Source(int) netip.AddrPort         { return caller }
func (s *socket) Queue(to netip.AddrPort, _ []byte) { s.queued = append(s.queued, to) }
func (s *socket) Discard()                          { s.queued = nil }
func (s *socket) Close() error                      { return nil }

func (s *socket) Flush() int {
	s.sent = append(s.sent, s.queued...)
	s.queued = nil
	return 0
}

// clock returns the given times one after the other, and then the last one.
type clock struct {
	times []int64
}

func (c *clock) Nanos() int64 {
	now := c.times[0]
	if len(c.times) > 1 {
		c.times = c.times[1:]
	}
	return now
}

func newEngine(t *testing.T, lease int64) *route.Engine {
	t.Helper()
	cfg := catkinrail.ServiceConfig{Name: "logbook", Addr: netip.MustParseAddrPort("192.0.2.1:443")}
	cfg.SetDefaults()
	s := cluster.New()
	events := []cluster.Event{
		{ServicePut: &cluster.ServicePut{ID: 1, Config: cfg}},
		{BackendPut: &catkinrail.Backend{ID: 1, Name: "host", Service: 1, Zone: "kochi", Slots: []netip.AddrPort{backendAddr}, Weight: 100}},
	}
	for n := range cfg.Buckets {
		value := catkinrail.Bucket{Cur: catkinrail.MakeSlotID(1, 0)}
		events = append(events, cluster.Event{BucketsSet: &cluster.BucketsSet{Service: 1, Value: value, Buckets: []uint16{uint16(n)}}})
	}
	require.NoError(t, s.Apply(cluster.Change{Version: 1, Events: events}))
	e := route.New(route.Config{Zone: "kochi"})
	e.SetSelf(1)
	e.Replace(s, 0)
	e.SetLease(lease)
	return e
}

func packet(dst string) []byte {
	k := catkinrail.FlowKey{Src: netip.MustParseAddr("10.0.0.1").As16(), Dst: netip.MustParseAddr(dst).As16(), SrcPort: 40000, DstPort: 443, Proto: catkinrail.ProtoTCP}
	return ip.Append(nil, &ip.Segment{Key: k, Flags: ip.FlagACK})
}

func TestBatch(t *testing.T) {
	const second = int64(time.Second)
	tests := []struct {
		name    string
		packet  []byte
		whole   bool
		times   []int64
		counter string
		sent    []netip.AddrPort
	}{
		{"forwarded", packet("192.0.2.1"), true, []int64{second}, "packets-forwarded", []netip.AddrPort{backendAddr}},
		{"no service", packet("192.0.2.9"), true, []int64{second}, "packets-dropped-no-service", nil},
		{"malformed", []byte{1, 2, 3}, true, []int64{second}, "packets-bad-truncated", nil},
		{"longer than the buffer", packet("192.0.2.1"), false, []int64{second}, "packets-bad-oversized", nil},
		{"no lease", packet("192.0.2.1"), true, []int64{11 * second}, "packets-dropped-no-lease", nil},
		{
			"process stopped between deciding and sending", packet("192.0.2.1"), true,
			[]int64{second, 11 * second},
			"packets-dropped-no-lease", nil,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &socket{in: [][]byte{tt.packet}, whole: tt.whole}
			reg := metrics.NewRegistry()
			e := newEngine(t, 10*second)
			w := fabric.New(e, &clock{times: tt.times}, s, relay.Key{}, fabric.NewStats(reg), false)
			w.Batch(1)
			require.Equal(t, tt.sent, s.sent)
			require.Equal(t, int64(1), metrics.GetOrRegisterCounter(tt.counter, reg).Count())
		})
	}
}

func TestForeignRelayMessage(t *testing.T) {
	s := &socket{in: [][]byte{packet("192.0.2.1")}, whole: true}
	reg := metrics.NewRegistry()
	w := fabric.New(newEngine(t, 10), &clock{times: []int64{1}}, s, relay.Key{}, fabric.NewStats(reg), true)
	w.Batch(1)
	require.Empty(t, s.sent)
	require.Equal(t, int64(1), metrics.GetOrRegisterCounter("relay-messages-bad", reg).Count())
}

// FuzzBatch feeds arbitrary datagrams to both kinds of sockets. Nothing but
// packets of the service may go to its backend server.
func FuzzBatch(f *testing.F) {
	f.Add(packet("192.0.2.1"), false)
	f.Add(packet("192.0.2.9"), false)
	f.Add(relay.Key{}.Append(nil, &relay.Message{Kind: relay.Lookup}, packet("192.0.2.1")), true)
	f.Add(relay.Key{}.Append(nil, &relay.Message{Kind: relay.Store, ChainLength: 1}, packet("192.0.2.1")), true)
	f.Add(relay.Key{}.Append(nil, &relay.Message{Kind: relay.Copy}, make([]byte, 54)), true)
	f.Fuzz(func(t *testing.T, b []byte, relaying bool) {
		s := &socket{in: [][]byte{b}, whole: true}
		w := fabric.New(newEngine(t, 10), &clock{times: []int64{1}}, s, relay.Key{}, fabric.NewStats(metrics.NewRegistry()), relaying)
		w.Batch(1)
		if len(s.sent) == 0 {
			return
		}
		payload := b
		if relaying {
			var m relay.Message
			var err error
			payload, err = relay.Key{}.Parse(b, &m)
			require.NoError(t, err)
		}
		var h ip.Header
		require.Equal(t, ip.FaultNone, ip.Parse(payload, &h))
		require.Equal(t, netip.MustParseAddr("192.0.2.1").As16(), h.Key.Dst)
	})
}
