package route_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/fake"
)

var zones = []catkinrail.Zone{"kochi", "alappuzha", "kollam", "ponnani"}

const logbook = "logbook"

// lab is a net with a service, entries and backend servers.
type lab struct {
	*fake.Net
	entries []*fake.Entry
	servers []*fake.Server
}

func newLab(cfg fake.Config, entries, servers int, svc catkinrail.ServiceConfig) *lab {
	l := &lab{Net: fake.New(cfg)}
	svc.Name = logbook
	svc.Addr = netip.MustParseAddrPort("192.0.2.1:443")
	svc.Buckets = 256
	l.CreateService(svc)
	for i := range entries {
		l.entries = append(l.entries, l.AddEntry(fmt.Sprintf("entry-%d", i), zones[i%len(zones)]))
	}
	for i := range servers {
		l.addServer(i)
	}
	l.Run(3 * time.Second)
	return l
}

func (l *lab) addServer(i int) {
	s := l.AddServer(logbook, fmt.Sprintf("host-%d", i), zones[i%len(zones)], 2)
	l.servers = append(l.servers, s)
}

// stuckAge is how long a caller may wait for an answer at the end of a run, when
// nothing is being repaired any more.
const stuckAge = 15 * time.Second

// requireUnbroken checks what must hold after every planned change.
func requireUnbroken(t require.TestingT, l *lab) {
	require.Empty(t, l.Causes(5), "broken flows")
	require.Empty(t, l.Stuck(stuckAge), "flows whose packets get no answer")
	require.Zero(t, l.Count(fake.Failed), "flows that never opened")
	require.Zero(t, l.Count(fake.Refused), "refused flows")
	require.Zero(t, l.Stats.WrongService)
	require.Zero(t, l.Stats.LateFlows, "new flows on a leaving backend server")
	require.Zero(t, l.Stats.RefusedAfterPass)
}

func TestPlannedChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(l *lab)
	}{
		{"none", func(*lab) {}},
		{"add", func(l *lab) { l.addServer(100) }},
		{"drain", func(l *lab) { l.servers[0].Drain() }},
		{"replace", func(l *lab) { l.addServer(100); l.servers[1].Drain() }},
		{"drain and readmit", func(l *lab) {
			l.servers[0].Drain()
			l.At(l.Now()+2500*time.Millisecond, l.servers[0].Readmit)
		}},
		{"drain, readmit, drain", func(l *lab) {
			l.servers[0].Drain()
			l.At(l.Now()+3*time.Second, l.servers[0].Readmit)
			l.At(l.Now()+4*time.Second, l.servers[0].Drain)
		}},
		{"undo during prepare", func(l *lab) {
			l.servers[0].Drain()
			l.At(l.Now()+500*time.Millisecond, l.servers[0].Readmit)
			l.At(l.Now()+800*time.Millisecond, l.servers[0].Drain)
		}},
		{"overlapping drains", func(l *lab) {
			for i := range 3 {
				l.At(l.Now()+time.Duration(i)*700*time.Millisecond, l.servers[i].Drain)
			}
		}},
		{"entry joins", func(l *lab) { l.AddEntry("entry-new", zones[0]) }},
		{"entry leaves", func(l *lab) { l.entries[0].Leave() }},
		{"entry replaced during a drain", func(l *lab) {
			l.servers[0].Drain()
			l.At(l.Now()+time.Second, func() { l.AddEntry("entry-new", zones[0]); l.entries[0].Leave() })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLab(fake.Config{Seed: 1, Loss: 0.005, Spread: time.Second}, 8, 5, catkinrail.ServiceConfig{})
			l.OpenMany(logbook, 2000, 30*time.Second, time.Second, 0)
			l.At(8*time.Second, func() { tt.change(l) })
			l.Run(40 * time.Second)
			requireUnbroken(t, l)
		})
	}
}
