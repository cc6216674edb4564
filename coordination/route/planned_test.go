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

// testCluster is a simulated network with a service, entry instances and backend
// servers.
type testCluster struct {
	*fake.Network
	entries []*fake.Entry
	servers []*fake.Server
}

func newTestCluster(cfg fake.Config, entries, servers int, svc catkinrail.ServiceConfig) *testCluster {
	c := &testCluster{Network: fake.New(cfg)}
	svc.Name = logbook
	svc.Addr = netip.MustParseAddrPort("192.0.2.1:443")
	svc.Buckets = 256
	c.CreateService(svc)
	for i := range entries {
		c.entries = append(c.entries, c.AddEntry(fmt.Sprintf("entry-%d", i), zones[i%len(zones)]))
	}
	for i := range servers {
		c.addServer(i)
	}
	c.Run(3 * time.Second)
	return c
}

func (c *testCluster) addServer(i int) {
	s := c.AddServer(logbook, fmt.Sprintf("host-%d", i), zones[i%len(zones)], 2)
	c.servers = append(c.servers, s)
}

// maxAnswerDelay is how long a caller may wait for an answer at the end of a run,
// after all repairs.
const maxAnswerDelay = 15 * time.Second

// requireNoBrokenFlows checks that no flow was broken, refused or left unanswered, and
// that draining backend servers got no late flows.
func requireNoBrokenFlows(t require.TestingT, c *testCluster) {
	require.Empty(t, c.Causes(5), "broken flows")
	require.Empty(t, c.Stuck(maxAnswerDelay), "flows whose packets get no answer")
	require.Zero(t, c.Count(fake.Failed), "flows that never opened")
	require.Zero(t, c.Count(fake.Refused), "refused flows")
	require.Zero(t, c.Stats.WrongService)
	require.Zero(t, c.Stats.LateFlows, "late new flows on a draining backend server")
	require.Zero(t, c.Stats.RefusedAfterForward)
}

func TestPlannedChanges(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *testCluster)
	}{
		{"no change", func(*testCluster) {}},
		{"add", func(c *testCluster) { c.addServer(100) }},
		{"drain", func(c *testCluster) { c.servers[0].Drain() }},
		{"replace", func(c *testCluster) { c.addServer(100); c.servers[1].Drain() }},
		{"drain and readmit", func(c *testCluster) {
			c.servers[0].Drain()
			c.At(c.Now()+2500*time.Millisecond, c.servers[0].Readmit)
		}},
		{"drain, readmit, drain", func(c *testCluster) {
			c.servers[0].Drain()
			c.At(c.Now()+3*time.Second, c.servers[0].Readmit)
			c.At(c.Now()+4*time.Second, c.servers[0].Drain)
		}},
		{"readmit during prepare", func(c *testCluster) {
			c.servers[0].Drain()
			c.At(c.Now()+500*time.Millisecond, c.servers[0].Readmit)
			c.At(c.Now()+800*time.Millisecond, c.servers[0].Drain)
		}},
		{"overlapping drains", func(c *testCluster) {
			for i := range 3 {
				c.At(c.Now()+time.Duration(i)*700*time.Millisecond, c.servers[i].Drain)
			}
		}},
		{"entry instance joins", func(c *testCluster) { c.AddEntry("entry-new", zones[0]) }},
		{"entry instance leaves", func(c *testCluster) { c.entries[0].Leave() }},
		{"entry instance replaced during a drain", func(c *testCluster) {
			c.servers[0].Drain()
			c.At(c.Now()+time.Second, func() { c.AddEntry("entry-new", zones[0]); c.entries[0].Leave() })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestCluster(fake.Config{Seed: 1, Loss: 0.005, MaxUpdateDelay: time.Second}, 8, 5, catkinrail.ServiceConfig{})
			c.OpenMany(logbook, 2000, 30*time.Second, time.Second, 0)
			c.At(8*time.Second, func() { tt.change(c) })
			c.Run(40 * time.Second)
			requireNoBrokenFlows(t, c)
		})
	}
}
