package plan_test

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/state/cluster"
)

const logbook = "logbook"

// harness drives a cluster state with a planner and a simulated clock.
type harness struct {
	t            require.TestingT
	state        *cluster.State
	now          time.Time
	planner      *plan.Planner
	lastReported map[catkinrail.InstanceID]plan.InstanceStatus
	// serial numbers requests and incarnations of entry instances.
	serial int
}

func newHarness(t require.TestingT) *harness {
	h := &harness{t: t, state: cluster.New(), now: time.Unix(1000, 0), planner: plan.NewPlanner()}
	h.command(&plan.Command{Create: config(logbook, "192.0.2.1:443")})
	return h
}

func config(name, addr string) *catkinrail.ServiceConfig {
	return &catkinrail.ServiceConfig{Name: name, Addr: netip.MustParseAddrPort(addr), Buckets: 128, IdleTimeout: time.Minute}
}

func (h *harness) apply(events []cluster.Event) {
	if len(events) > 0 {
		require.NoError(h.t, h.state.Apply(cluster.Change{Version: h.state.Version + 1, Events: events}))
	}
}

func (h *harness) command(c *plan.Command) {
	h.serial++
	c.Request = fmt.Sprint(h.serial)
	events, _, err := plan.Evaluate(h.state, c)
	require.NoError(h.t, err)
	h.apply(events)
}

func announcement(name string, slots int, incarnation uint64) *plan.Announcement {
	a := &plan.Announcement{Service: logbook, Name: name, Zone: "kochi", Incarnation: incarnation}
	for i := range slots {
		host := netip.AddrFrom4([4]byte{127, 0, 1, name[len(name)-1]})
		a.Slots = append(a.Slots, netip.AddrPortFrom(host, uint16(6080+i)))
	}
	return a
}

func (h *harness) announce(a *plan.Announcement) {
	events, err := plan.Announce(h.state, a)
	require.NoError(h.t, err)
	h.apply(events)
}

func (h *harness) register(name string, zone catkinrail.Zone) catkinrail.InstanceID {
	h.serial++
	events, id, err := plan.Register(h.state, &plan.Registration{
		Name: name, Zone: zone, Relay: netip.MustParseAddrPort("127.0.0.1:7300"), Incarnation: uint64(h.serial),
	})
	require.NoError(h.t, err)
	h.apply(events)
	return id
}

// upToDate returns the status of all entry instances, with the latest version. Those
// without a lease keep what they reported last.
func (h *harness) upToDate(unleased ...catkinrail.InstanceID) map[catkinrail.InstanceID]plan.InstanceStatus {
	m := map[catkinrail.InstanceID]plan.InstanceStatus{}
	for id := range h.state.Instances {
		m[id] = plan.InstanceStatus{Leased: true, Version: h.state.Version, Synced: h.state.Version}
		if slices.Contains(unleased, id) {
			m[id] = plan.InstanceStatus{Version: h.lastReported[id].Version, Synced: h.lastReported[id].Synced}
		}
	}
	h.lastReported = m
	return m
}

// run runs the planner for the duration d. All entry instances with a lease are up to
// date.
func (h *harness) run(d time.Duration, unleased ...catkinrail.InstanceID) {
	const tick = 100 * time.Millisecond
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(tick) {
		h.planner.Observe(h.upToDate(unleased...))
		h.apply(h.planner.Next(h.state, h.now))
	}
}

func (h *harness) service() *catkinrail.Service {
	return h.state.ServiceByName(logbook)
}

// TestTableChanges checks, over random changes, that every table is balanced, that a bucket only
// takes steps that break no flow, and that no backend server of an evacuated zone is active.
func TestTableChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		h.register("entry-1", "kochi")
		incarnation := uint64(1)
		for i := range 3 {
			h.announce(announcement(fmt.Sprint("host-", i), 2, 1))
		}
		h.run(3 * time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			before := append([]catkinrail.Bucket(nil), h.service().Buckets...)
			name := fmt.Sprint("host-", rapid.IntRange(0, 6).Draw(t, "host"))
			known := h.state.BackendByName(h.service().ID, name) != nil
			ref := &plan.BackendRef{Service: logbook, Name: name}
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				if known {
					h.command(&plan.Command{Drain: ref})
				}
			case 1:
				if known {
					h.command(&plan.Command{Readmit: ref})
				}
			case 2:
				incarnation++
				h.announce(announcement(name, 2, incarnation))
			case 3:
				h.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "millis")) * time.Millisecond)
			case 4:
				h.evacuate(rapid.SampledFrom([]catkinrail.Zone{"kochi", "b"}).Draw(t, "zone"), rapid.Bool().Draw(t, "evacuated"))
			case 5:
				if known {
					id := h.state.BackendByName(h.service().ID, name).ID
					h.apply(plan.Eject(h.state, []catkinrail.BackendID{id}, nil))
					h.apply(plan.Eject(h.state, nil, []catkinrail.BackendID{id}))
				}
			case 6:
				h.announceIn("b", fmt.Sprintf("other-%c", name[len(name)-1]-'0'+'a'), 1, rapid.Bool().Draw(t, "draining"))
			default:
				h.announce(announcement(name, 2, 1))
			}
			for _, b := range h.state.Backends {
				require.False(t, b.State == catkinrail.BackendActive && h.state.Evacuated(b.Zone), b.Name)
			}
			checkSteps(t, h.state, before, h.service().Buckets)
			checkBalance(t, h.state, h.service())
		}
	})
}

// checkSteps checks that each bucket took a step that keeps its flows. Slots are
// compared by address, because a new incarnation at the same address replaces the
// earlier one.
func checkSteps(t require.TestingT, s *cluster.State, before, after []catkinrail.Bucket) {
	addr := func(id catkinrail.SlotID) netip.AddrPort {
		if b := s.Backends[id.Backend()]; b != nil {
			return b.Slots[id.Index()]
		}
		return netip.AddrPort{}
	}
	for n := range before {
		a, b := before[n], after[n]
		switch {
		case a == b, a.Cur == catkinrail.NoSlot:
		case a.Phase == catkinrail.Settled && b.Phase == catkinrail.Settled:
			require.Equal(t, addr(a.Cur), addr(b.Cur), "bucket %d moved without being prepared", n)
		case b.Phase != catkinrail.Settled:
			same := addr(b.Cur) == addr(a.Cur) || addr(b.Cur) == addr(a.Next)
			require.True(t, same, "bucket %d has an unrelated current slot", n)
		}
	}
}

// checkBalance checks that each active slot owns its share of buckets by weight,
// rounded up or down.
func checkBalance(t require.TestingT, s *cluster.State, svc *catkinrail.Service) {
	owned := map[catkinrail.SlotID]int{}
	for _, b := range svc.Buckets {
		owned[b.Owner()]++
	}
	total := 0
	for _, b := range s.BackendsOf(svc.ID) {
		if b.State == catkinrail.BackendActive {
			total += int(b.Weight) * len(b.Slots)
		}
	}
	for _, b := range s.BackendsOf(svc.ID) {
		if b.State != catkinrail.BackendActive {
			continue
		}
		exact := float64(len(svc.Buckets)) * float64(b.Weight) / float64(total)
		for i := range b.Slots {
			n := owned[catkinrail.MakeSlotID(b.ID, i)]
			require.Less(t, math.Abs(float64(n)-exact), 1.0, "slot %s owns %d buckets, its share is %.2f", catkinrail.MakeSlotID(b.ID, i), n, exact)
		}
	}
}

// TestColdServerWarmsUp adds a backend server to seven others. It must get its share in
// four steps, of which the test checks the first and the last, and only buckets that it
// takes over may move.
func TestColdServerWarmsUp(t *testing.T) {
	h := newHarness(t)
	h.register("entry-1", "kochi")
	for i := range 7 {
		h.announce(announcement(fmt.Sprint("host-", i), 1, 1))
	}
	h.run(3 * time.Second)
	before := append([]catkinrail.Bucket(nil), h.service().Buckets...)
	h.announce(announcement("host-7", 1, 1))
	id := h.state.BackendByName(h.service().ID, "host-7").ID
	moved := func() (to, all int) {
		for n, b := range h.service().Buckets {
			if b.Owner() != before[n].Owner() {
				all++
			}
			if b.Owner().Backend() == id {
				to++
			}
		}
		return to, all
	}
	to, all := moved()
	require.Equal(t, 4, to, "128 buckets, weight 25 of 725")
	require.Equal(t, to, all)
	h.run(40 * time.Second)
	to, all = moved()
	require.Equal(t, 128/8, to)
	require.Equal(t, to, all)
	checkBalance(t, h.state, h.service())
}

func TestMoveWaitsForEveryLease(t *testing.T) {
	tests := []struct {
		name     string
		zone     catkinrail.Zone
		entries  []catkinrail.Zone
		unleased []int
		lost     bool
		opens    bool
	}{
		{"all instances up to date", "kochi", []catkinrail.Zone{"kochi", "kollam"}, nil, false, true},
		{"one of three without a lease", "kochi", []catkinrail.Zone{"kochi", "kochi", "kochi"}, []int{0}, false, true},
		{"backend server's zone partitioned", "kochi", []catkinrail.Zone{"kochi", "kochi", "kollam"}, []int{0, 1}, false, false},
		{"backend server's zone declared lost", "kochi", []catkinrail.Zone{"kochi", "kochi", "kollam"}, []int{0, 1}, true, true},
		{"other zone partitioned", "kochi", []catkinrail.Zone{"kochi", "kollam", "kollam"}, []int{1, 2}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			var ids, unleased []catkinrail.InstanceID
			for i, zone := range tt.entries {
				ids = append(ids, h.register(fmt.Sprint("entry-", i), zone))
			}
			for _, i := range tt.unleased {
				unleased = append(unleased, ids[i])
			}
			for i := range 3 {
				h.announce(announcement(fmt.Sprint("host-", i), 1, 1))
			}
			h.run(4 * time.Second)
			if tt.lost {
				h.command(&plan.Command{Zone: &cluster.ZoneLost{Zone: tt.zone, Lost: true}})
			}
			h.run(4*time.Second, unleased...)
			h.command(&plan.Command{Drain: &plan.BackendRef{Service: logbook, Name: "host-0"}})
			h.run(10*time.Second, unleased...)
			opened := false
			for _, m := range h.state.Moves {
				opened = opened || m.Phase == catkinrail.Open
			}
			require.Equal(t, tt.opens, opened)
		})
	}
}

// TestFirstServersHaveFullWeight checks that the first backend servers of a new
// service, which all start at once, have their full weight from the start.
func TestFirstServersHaveFullWeight(t *testing.T) {
	for _, balance := range []catkinrail.Balance{catkinrail.BalanceHashed, catkinrail.BalanceTracked} {
		t.Run(string(balance), func(t *testing.T) {
			h := newHarness(t)
			h.command(&plan.Command{Delete: new(logbook)})
			h.register("entry-1", "kochi")
			h.run(time.Second)
			cfg := config(logbook, "192.0.2.1:443")
			cfg.Balance = balance
			h.command(&plan.Command{Create: cfg})
			for i := range 5 {
				h.announce(announcement(fmt.Sprint("host-", i), 1, 1))
			}
			h.run(3 * time.Second)
			for _, b := range h.state.BackendsOf(h.service().ID) {
				require.Equal(t, uint32(100), b.Weight)
			}
			h.announce(announcement("host-9", 1, 1))
			require.Equal(t, uint32(25), h.state.BackendByName(h.service().ID, "host-9").Weight)
		})
	}
}

// TestViewWaitsForRecords checks that a new view opens only once every remaining
// member has handed over its records.
func TestViewWaitsForRecords(t *testing.T) {
	h := newHarness(t)
	a, b := h.register("entry-1", "kochi"), h.register("entry-2", "kollam")
	h.run(2 * time.Second)
	require.Len(t, h.state.View.Base, 2)
	c := h.register("entry-3", "ponnani")
	runWithoutHandover := func() {
		for range 20 {
			m := h.upToDate()
			m[b] = plan.InstanceStatus{Leased: true, Version: h.state.Version}
			h.planner.Observe(m)
			h.apply(h.planner.Next(h.state, h.now))
			h.now = h.now.Add(100 * time.Millisecond)
		}
	}
	runWithoutHandover()
	require.Equal(t, catkinrail.Prepare, h.state.View.Phase)
	h.run(time.Second)
	require.Equal(t, catkinrail.Settled, h.state.View.Phase)
	require.Equal(t, []catkinrail.InstanceID{a, b, c}, h.state.View.Base)
}

// TestExchangeOfEntryInstances guards against a view that counts entry instances that have gone. Those
// of a zone that lost more than half of its leases may still forward, and stay registered as silent
// until an operator removes them.
func TestExchangeOfEntryInstances(t *testing.T) {
	tests := []struct {
		name string
		// gone is the number of the three old instances that have gone, before the first new one is
		// registered and after each of them.
		gone   []int
		silent bool
	}{
		{"one after another", []int{0, 1, 2, 3}, false},
		{"at once beside the new ones", []int{0, 0, 0, 0}, false},
		{"at once before the new ones", []int{3, 3, 3, 3}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			want := []catkinrail.InstanceID{h.register("other", "kollam")}
			var old []catkinrail.InstanceID
			for i := range 3 {
				old = append(old, h.register(fmt.Sprint("old-", i), "kochi"))
			}
			h.run(3 * time.Second)
			for i, n := range tt.gone {
				if i > 0 {
					want = append(want, h.register(fmt.Sprint("new-", i), "kochi"))
				}
				h.run(3*time.Second, old[:n]...)
			}
			h.run(10*time.Second, old...)
			require.Equal(t, catkinrail.Settled, h.state.View.Phase)
			require.Equal(t, want, h.state.View.Base)
			for _, id := range old {
				in := h.state.Instances[id]
				require.Equal(t, tt.silent, in != nil)
				require.True(t, in == nil || in.Silent)
			}
		})
	}
}

func TestRequests(t *testing.T) {
	h := newHarness(t)
	create := &plan.Command{Request: "r1", Create: config("drawvault", "192.0.2.2:443")}
	events, first, err := plan.Evaluate(h.state, create)
	require.NoError(t, err)
	h.apply(events)
	version := h.state.Version

	t.Run("retry", func(t *testing.T) {
		events, again, err := plan.Evaluate(h.state, create)
		require.NoError(t, err)
		require.Empty(t, events)
		require.Equal(t, first, again)
	})
	t.Run("identifier reused for another command", func(t *testing.T) {
		_, _, err := plan.Evaluate(h.state, &plan.Command{Request: "r1", Delete: new("drawvault")})
		require.ErrorIs(t, err, plan.ErrRequestReused)
	})
	t.Run("concurrent changes", func(t *testing.T) {
		a := &plan.Command{Request: "a", Expect: version, Delete: new("drawvault")}
		b := &plan.Command{Request: "b", Expect: version, Change: config("drawvault", "192.0.2.2:443")}
		events, _, err := plan.Evaluate(h.state, a)
		require.NoError(t, err)
		h.apply(events)
		_, _, err = plan.Evaluate(h.state, b)
		require.ErrorIs(t, err, plan.ErrConflict)
	})
	t.Run("reported as not run", func(t *testing.T) {
		late := &plan.Command{Request: "late", Create: config("batch", "192.0.2.3:443")}
		events, _, ran := plan.Outcome(h.state, "late")
		require.False(t, ran)
		h.apply(events)
		_, _, err := plan.Evaluate(h.state, late)
		require.ErrorIs(t, err, plan.ErrReportedNotRun)
	})
	t.Run("address in quarantine", func(t *testing.T) {
		_, _, err := plan.Evaluate(h.state, &plan.Command{Request: "q", Create: config("other", "192.0.2.2:443")})
		require.ErrorIs(t, err, plan.ErrQuarantine)
		h.register("entry-1", "kochi")
		h.run(time.Second)
		_, _, err = plan.Evaluate(h.state, &plan.Command{Request: "q", Create: config("other", "192.0.2.2:443")})
		require.NoError(t, err)
	})
	t.Run("retry after a snapshot", func(t *testing.T) {
		clone, err := h.state.Clone()
		require.NoError(t, err)
		_, again, err := plan.Evaluate(clone, create)
		require.NoError(t, err)
		require.Equal(t, first, again)
	})
}

func TestInvalidConfiguration(t *testing.T) {
	tests := []struct {
		name       string
		invalidate func(c *catkinrail.ServiceConfig)
		field      string
	}{
		{"name", func(c *catkinrail.ServiceConfig) { c.Name = "Log Book" }, "name"},
		{"address", func(c *catkinrail.ServiceConfig) { c.Addr = netip.AddrPort{} }, "address"},
		{"buckets", func(c *catkinrail.ServiceConfig) { c.Buckets = 1000 }, "buckets"},
		{"balance", func(c *catkinrail.ServiceConfig) { c.Balance = "even" }, "balance"},
		{"idle timeout", func(c *catkinrail.ServiceConfig) { c.IdleTimeout = time.Second }, "idle-timeout"},
		{"protocol", func(c *catkinrail.ServiceConfig) { c.Proto = 47 }, "protocol"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			cfg := config("drawvault", "192.0.2.2:443")
			tt.invalidate(cfg)
			_, _, err := plan.Evaluate(h.state, &plan.Command{Request: "x", Create: cfg})
			require.ErrorIs(t, err, plan.ErrInvalid)
			fields := catkinrail.FieldErrors(err)
			require.Len(t, fields, 1)
			require.Equal(t, tt.field, fields[0].Field)
		})
	}
}

func TestAnnouncements(t *testing.T) {
	h := newHarness(t)
	h.register("entry-1", "kochi")
	h.announce(announcement("host-0", 1, 5))
	h.announce(announcement("host-1", 1, 5))
	h.run(3 * time.Second)
	ref := &plan.BackendRef{Service: logbook, Name: "host-0"}
	h.command(&plan.Command{Drain: ref})
	state := func() catkinrail.BackendState { return h.state.BackendByName(h.service().ID, "host-0").State }

	h.announce(announcement("host-0", 1, 5))
	require.Equal(t, catkinrail.BackendDraining, state(), "an announcement doesn't end an operator's drain")
	version := h.state.Version
	h.announce(announcement("host-0", 1, 4))
	require.Equal(t, version, h.state.Version, "an earlier incarnation is ignored")
	h.announce(announcement("host-0", 1, 6))
	require.Equal(t, catkinrail.BackendDraining, state(), "a restart doesn't end an operator's drain")
	h.command(&plan.Command{Readmit: ref})
	require.Equal(t, catkinrail.BackendActive, state())
}

func TestEjectionIsLimited(t *testing.T) {
	h := newHarness(t)
	h.register("entry-1", "kochi")
	for i := range 10 {
		h.announce(announcement(fmt.Sprint("host-", i), 1, 1))
	}
	h.run(3 * time.Second)
	var all []catkinrail.BackendID
	for _, b := range h.state.BackendsOf(h.service().ID) {
		all = append(all, b.ID)
	}
	h.apply(plan.Eject(h.state, all, nil))
	ejected := 0
	for _, b := range h.state.BackendsOf(h.service().ID) {
		if b.State == catkinrail.BackendEjected {
			ejected++
		}
	}
	require.Equal(t, 3, ejected, "30 % of 10")
	h.apply(plan.Eject(h.state, nil, all))
	checkBalance(t, h.state, h.service())
}

func TestSilentServersKeepTheirFlows(t *testing.T) {
	h := newHarness(t)
	h.register("entry-1", "kochi")
	h.announce(announcement("host-0", 1, 1))
	h.announce(announcement("host-1", 1, 1))
	h.run(3 * time.Second)
	id := h.state.BackendByName(h.service().ID, "host-0").ID
	h.apply(plan.EjectSilent(h.state, []catkinrail.BackendID{id}))
	require.False(t, plan.SlotEnded(h.state, catkinrail.MakeSlotID(id, 0)))
	h.announce(announcement("host-0", 1, 1))
	require.Equal(t, catkinrail.BackendActive, h.state.Backends[id].State)
	h.apply(plan.Expire(h.state, []catkinrail.BackendID{id}))
	require.True(t, plan.SlotEnded(h.state, catkinrail.MakeSlotID(id, 0)))
}

func TestStateRefusesGaps(t *testing.T) {
	s := cluster.New()
	var gap *cluster.GapError
	require.ErrorAs(t, s.Apply(cluster.Change{Version: 2}), &gap)
	require.NoError(t, s.Apply(cluster.Change{Version: 1}))
	require.ErrorAs(t, s.Apply(cluster.Change{Version: 1}), &gap, "a change is applied once")
}
