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

// world is a state with what is needed to change it.
type world struct {
	t     require.TestingT
	state *cluster.State
	now   time.Time
	plan  *plan.Planner
	last  map[catkinrail.InstanceID]plan.InstanceStatus
	n     int
}

func newWorld(t require.TestingT) *world {
	w := &world{t: t, state: cluster.New(), now: time.Unix(1000, 0), plan: plan.NewPlanner()}
	w.command(&plan.Command{Create: config(logbook, "192.0.2.1:443")})
	return w
}

func config(name, addr string) *catkinrail.ServiceConfig {
	return &catkinrail.ServiceConfig{Name: name, Addr: netip.MustParseAddrPort(addr), Buckets: 128, IdleTimeout: time.Minute}
}

func (w *world) apply(events []cluster.Event) {
	if len(events) > 0 {
		require.NoError(w.t, w.state.Apply(cluster.Change{Version: w.state.Version + 1, Events: events}))
	}
}

func (w *world) command(c *plan.Command) {
	w.n++
	c.Request = fmt.Sprint(w.n)
	events, _, err := plan.Evaluate(w.state, c)
	require.NoError(w.t, err)
	w.apply(events)
}

func announcement(name string, slots int, incarnation uint64) *plan.Announcement {
	a := &plan.Announcement{Service: logbook, Name: name, Zone: "kochi", Incarnation: incarnation}
	for i := range slots {
		host := netip.AddrFrom4([4]byte{127, 0, 1, name[len(name)-1]})
		a.Slots = append(a.Slots, netip.AddrPortFrom(host, uint16(6080+i)))
	}
	return a
}

func (w *world) announce(a *plan.Announcement) {
	events, err := plan.Announce(w.state, a)
	require.NoError(w.t, err)
	w.apply(events)
}

func (w *world) register(name string, zone catkinrail.Zone) catkinrail.InstanceID {
	w.n++
	events, id, err := plan.Register(w.state, &plan.Registration{
		Name: name, Zone: zone, Relay: netip.MustParseAddrPort("127.0.0.1:7300"), Incarnation: uint64(w.n),
	})
	require.NoError(w.t, err)
	w.apply(events)
	return id
}

// members returns the report of instances that are up to date, but for those
// without a lease: what they reported last stays.
func (w *world) members(unleased ...catkinrail.InstanceID) map[catkinrail.InstanceID]plan.InstanceStatus {
	m := map[catkinrail.InstanceID]plan.InstanceStatus{}
	for id := range w.state.Instances {
		m[id] = plan.InstanceStatus{Leased: true, Version: w.state.Version, Synced: w.state.Version}
		if slices.Contains(unleased, id) {
			m[id] = plan.InstanceStatus{Version: w.last[id].Version, Synced: w.last[id].Synced}
		}
	}
	w.last = m
	return m
}

// settle lets the planner work for a time with everybody up to date.
func (w *world) settle(d time.Duration, unleased ...catkinrail.InstanceID) {
	const tick = 100 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tick) {
		w.plan.Observe(w.members(unleased...))
		w.apply(w.plan.Next(w.state, w.now))
	}
}

func (w *world) service() *catkinrail.Service {
	return w.state.ServiceByName(logbook)
}

// TestTables checks, over random changes, that every table is balanced, that a
// bucket only takes steps that break no flow, and that the fewest buckets move.
func TestTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.register("entry-1", "kochi")
		incarnation := uint64(1)
		for i := range 3 {
			w.announce(announcement(fmt.Sprint("host-", i), 2, 1))
		}
		w.settle(3 * time.Second)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			before := append([]catkinrail.Bucket(nil), w.service().Buckets...)
			name := fmt.Sprint("host-", rapid.IntRange(0, 6).Draw(t, "host"))
			known := w.state.BackendByName(w.service().ID, name) != nil
			ref := &plan.BackendRef{Service: logbook, Name: name}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				if known {
					w.command(&plan.Command{Drain: ref})
				}
			case 1:
				if known {
					w.command(&plan.Command{Readmit: ref})
				}
			case 2:
				incarnation++
				w.announce(announcement(name, 2, incarnation))
			case 3:
				w.settle(time.Duration(rapid.IntRange(100, 4000).Draw(t, "millis")) * time.Millisecond)
			default:
				w.announce(announcement(name, 2, 1))
			}
			checkSteps(t, w.state, before, w.service().Buckets)
			checkBalance(t, w.state, w.service())
		}
	})
}

// checkSteps checks that each bucket took a step that keeps its flows. Slots are
// compared by address: a new incarnation at the same address takes the place of
// the earlier one.
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

// checkBalance checks that each active slot owns its share by weight, rounded up
// or down.
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

// TestColdServerWarmsUp adds a server to seven others. It gets its share in four
// steps, and no bucket moves that need not.
func TestColdServerWarmsUp(t *testing.T) {
	w := newWorld(t)
	w.register("entry-1", "kochi")
	for i := range 7 {
		w.announce(announcement(fmt.Sprint("host-", i), 1, 1))
	}
	w.settle(3 * time.Second)
	before := append([]catkinrail.Bucket(nil), w.service().Buckets...)
	w.announce(announcement("host-7", 1, 1))
	id := w.state.BackendByName(w.service().ID, "host-7").ID
	moved := func() (to, all int) {
		for n, b := range w.service().Buckets {
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
	require.Equal(t, 4, to, "128 buckets, a weight of 25 of 725")
	require.Equal(t, to, all)
	w.settle(40 * time.Second)
	to, all = moved()
	require.Equal(t, 128/8, to)
	require.Equal(t, to, all)
	checkBalance(t, w.state, w.service())
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
		{"everybody is up to date", "kochi", []catkinrail.Zone{"kochi", "kollam"}, nil, false, true},
		{"one of three is lost", "kochi", []catkinrail.Zone{"kochi", "kochi", "kochi"}, []int{0}, false, true},
		{"the server's zone is cut off", "kochi", []catkinrail.Zone{"kochi", "kochi", "kollam"}, []int{0, 1}, false, false},
		{"the server's zone is declared lost", "kochi", []catkinrail.Zone{"kochi", "kochi", "kollam"}, []int{0, 1}, true, true},
		{"another zone is cut off", "kochi", []catkinrail.Zone{"kochi", "kollam", "kollam"}, []int{1, 2}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t)
			var ids, unleased []catkinrail.InstanceID
			for i, zone := range tt.entries {
				ids = append(ids, w.register(fmt.Sprint("entry-", i), zone))
			}
			for _, i := range tt.unleased {
				unleased = append(unleased, ids[i])
			}
			for i := range 3 {
				w.announce(announcement(fmt.Sprint("host-", i), 1, 1))
			}
			w.settle(4 * time.Second)
			if tt.lost {
				w.command(&plan.Command{Zone: &cluster.ZoneLost{Zone: tt.zone, Lost: true}})
			}
			w.settle(4*time.Second, unleased...)
			w.command(&plan.Command{Drain: &plan.BackendRef{Service: logbook, Name: "host-0"}})
			w.settle(10*time.Second, unleased...)
			opened := false
			for _, m := range w.state.Moves {
				opened = opened || m.Phase == catkinrail.Open
			}
			require.Equal(t, tt.opens, opened)
		})
	}
}

// TestFirstServersAreNotCold checks that a new service's first servers, which all
// come at once, have their full weight from the start.
func TestFirstServersAreNotCold(t *testing.T) {
	for _, balance := range []catkinrail.Balance{catkinrail.BalanceHashed, catkinrail.BalanceTracked} {
		t.Run(string(balance), func(t *testing.T) {
			w := newWorld(t)
			w.command(&plan.Command{Delete: new(logbook)})
			w.register("entry-1", "kochi")
			w.settle(time.Second)
			cfg := config(logbook, "192.0.2.1:443")
			cfg.Balance = balance
			w.command(&plan.Command{Create: cfg})
			for i := range 5 {
				w.announce(announcement(fmt.Sprint("host-", i), 1, 1))
			}
			w.settle(3 * time.Second)
			for _, b := range w.state.BackendsOf(w.service().ID) {
				require.Equal(t, uint32(100), b.Weight)
			}
			w.announce(announcement("host-9", 1, 1))
			require.Equal(t, uint32(25), w.state.BackendByName(w.service().ID, "host-9").Weight)
		})
	}
}

// TestViewWaitsForRecords checks that a new view opens only once every member
// that is left has handed over its records.
func TestViewWaitsForRecords(t *testing.T) {
	w := newWorld(t)
	a, b := w.register("entry-1", "kochi"), w.register("entry-2", "kollam")
	w.settle(2 * time.Second)
	require.Len(t, w.state.View.Base, 2)
	c := w.register("entry-3", "ponnani")
	wait := func() {
		for range 20 {
			m := w.members()
			m[b] = plan.InstanceStatus{Leased: true, Version: w.state.Version}
			w.plan.Observe(m)
			w.apply(w.plan.Next(w.state, w.now))
			w.now = w.now.Add(100 * time.Millisecond)
		}
	}
	wait()
	require.Equal(t, catkinrail.Prepare, w.state.View.Phase)
	w.settle(time.Second)
	require.Equal(t, catkinrail.Settled, w.state.View.Phase)
	require.Equal(t, []catkinrail.InstanceID{a, b, c}, w.state.View.Base)
}

func TestRequests(t *testing.T) {
	w := newWorld(t)
	create := &plan.Command{Request: "r1", Create: config("drawvault", "192.0.2.2:443")}
	events, first, err := plan.Evaluate(w.state, create)
	require.NoError(t, err)
	w.apply(events)
	version := w.state.Version

	t.Run("sent again", func(t *testing.T) {
		events, again, err := plan.Evaluate(w.state, create)
		require.NoError(t, err)
		require.Empty(t, events)
		require.Equal(t, first, again)
	})
	t.Run("another command under the same identifier", func(t *testing.T) {
		_, _, err := plan.Evaluate(w.state, &plan.Command{Request: "r1", Delete: new("drawvault")})
		require.ErrorIs(t, err, plan.ErrRequestReused)
	})
	t.Run("two operators race", func(t *testing.T) {
		a := &plan.Command{Request: "a", Expect: version, Delete: new("drawvault")}
		b := &plan.Command{Request: "b", Expect: version, Change: config("drawvault", "192.0.2.2:443")}
		events, _, err := plan.Evaluate(w.state, a)
		require.NoError(t, err)
		w.apply(events)
		_, _, err = plan.Evaluate(w.state, b)
		require.ErrorIs(t, err, plan.ErrConflict)
	})
	t.Run("reported as not run", func(t *testing.T) {
		late := &plan.Command{Request: "late", Create: config("batch", "192.0.2.3:443")}
		events, _, ran := plan.Outcome(w.state, "late")
		require.False(t, ran)
		w.apply(events)
		_, _, err := plan.Evaluate(w.state, late)
		require.ErrorIs(t, err, plan.ErrReportedNotRun)
	})
	t.Run("address in quarantine", func(t *testing.T) {
		_, _, err := plan.Evaluate(w.state, &plan.Command{Request: "q", Create: config("other", "192.0.2.2:443")})
		require.ErrorIs(t, err, plan.ErrQuarantine)
		w.register("entry-1", "kochi")
		w.settle(time.Second)
		_, _, err = plan.Evaluate(w.state, &plan.Command{Request: "q", Create: config("other", "192.0.2.2:443")})
		require.NoError(t, err)
	})
	t.Run("survives a snapshot", func(t *testing.T) {
		clone, err := w.state.Clone()
		require.NoError(t, err)
		_, again, err := plan.Evaluate(clone, create)
		require.NoError(t, err)
		require.Equal(t, first, again)
	})
}

func TestRefusedConfiguration(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(c *catkinrail.ServiceConfig)
		field string
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
			w := newWorld(t)
			cfg := config("drawvault", "192.0.2.2:443")
			tt.spoil(cfg)
			_, _, err := plan.Evaluate(w.state, &plan.Command{Request: "x", Create: cfg})
			require.ErrorIs(t, err, plan.ErrInvalid)
			fields := catkinrail.FieldErrors(err)
			require.Len(t, fields, 1)
			require.Equal(t, tt.field, fields[0].Field)
		})
	}
}

func TestAnnouncements(t *testing.T) {
	w := newWorld(t)
	w.register("entry-1", "kochi")
	w.announce(announcement("host-0", 1, 5))
	w.announce(announcement("host-1", 1, 5))
	w.settle(3 * time.Second)
	ref := &plan.BackendRef{Service: logbook, Name: "host-0"}
	w.command(&plan.Command{Drain: ref})
	state := func() catkinrail.BackendState { return w.state.BackendByName(w.service().ID, "host-0").State }

	w.announce(announcement("host-0", 1, 5))
	require.Equal(t, catkinrail.BackendDraining, state(), "an announcement doesn't end an operator's drain")
	version := w.state.Version
	w.announce(announcement("host-0", 1, 4))
	require.Equal(t, version, w.state.Version, "an earlier incarnation changes nothing")
	w.announce(announcement("host-0", 1, 6))
	require.Equal(t, catkinrail.BackendDraining, state(), "a restart doesn't end an operator's drain")
	w.command(&plan.Command{Readmit: ref})
	require.Equal(t, catkinrail.BackendActive, state())
}

func TestEjectKeepsItsShare(t *testing.T) {
	w := newWorld(t)
	w.register("entry-1", "kochi")
	for i := range 10 {
		w.announce(announcement(fmt.Sprint("host-", i), 1, 1))
	}
	w.settle(3 * time.Second)
	var all []catkinrail.BackendID
	for _, b := range w.state.BackendsOf(w.service().ID) {
		all = append(all, b.ID)
	}
	w.apply(plan.Eject(w.state, all, nil))
	ejected := 0
	for _, b := range w.state.BackendsOf(w.service().ID) {
		if b.State == catkinrail.BackendEjected {
			ejected++
		}
	}
	require.Equal(t, 3, ejected, "30 % of 10")
	w.apply(plan.Eject(w.state, nil, all))
	checkBalance(t, w.state, w.service())
}

func TestSilentServersKeepTheirFlows(t *testing.T) {
	w := newWorld(t)
	w.register("entry-1", "kochi")
	w.announce(announcement("host-0", 1, 1))
	w.announce(announcement("host-1", 1, 1))
	w.settle(3 * time.Second)
	id := w.state.BackendByName(w.service().ID, "host-0").ID
	w.apply(plan.EjectSilent(w.state, []catkinrail.BackendID{id}))
	require.False(t, plan.Gone(w.state, catkinrail.MakeSlotID(id, 0)))
	w.announce(announcement("host-0", 1, 1))
	require.Equal(t, catkinrail.BackendActive, w.state.Backends[id].State)
	w.apply(plan.Expire(w.state, []catkinrail.BackendID{id}))
	require.True(t, plan.Gone(w.state, catkinrail.MakeSlotID(id, 0)))
}

func TestStateRefusesGaps(t *testing.T) {
	s := cluster.New()
	var gap *cluster.GapError
	require.ErrorAs(t, s.Apply(cluster.Change{Version: 2}), &gap)
	require.NoError(t, s.Apply(cluster.Change{Version: 1}))
	require.ErrorAs(t, s.Apply(cluster.Change{Version: 1}), &gap, "a change is applied once")
}
