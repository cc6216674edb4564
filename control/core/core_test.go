package core

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/state/journal"
)

// manual is a clock that tests set.
type manual struct {
	now time.Time
}

func (m *manual) Now() time.Time { return m.now }

// ensemble is a set of cores that are driven step by step.
type ensemble struct {
	t     *testing.T
	clock *manual
	cores map[quorum.NodeID]*Core
	disks map[quorum.NodeID]*fake.Disk
	wire  []quorum.Message
	down  map[quorum.NodeID]bool
	n     int
	// timing and evict are those of cores that start from now on.
	timing quorum.Timing
	evict  time.Duration
}

func newEnsemble(t *testing.T, n int) *ensemble {
	t.Helper()
	return newEnsembleWith(t, n, quorum.DefaultTiming, 0)
}

func newEnsembleWith(t *testing.T, n int, timing quorum.Timing, evict time.Duration) *ensemble {
	t.Helper()
	e := &ensemble{
		t: t, clock: &manual{now: time.Unix(1000, 0)}, n: n, timing: timing, evict: evict,
		cores: map[quorum.NodeID]*Core{}, disks: map[quorum.NodeID]*fake.Disk{}, down: map[quorum.NodeID]bool{},
	}
	members := quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{}}
	for i := 1; i <= n; i++ {
		members.Nodes[quorum.NodeID(i)] = quorum.Peer{Name: fmt.Sprint("control-", i), Addr: fmt.Sprint("addr-", i)}
	}
	for i := 1; i <= n; i++ {
		id := quorum.NodeID(i)
		e.disks[id] = fake.NewDisk()
		j, _, err := journal.Open(e.disks[id])
		require.NoError(t, err)
		require.NoError(t, j.SaveSnapshot(&quorum.Snapshot{Members: members}, nil))
		e.start(id)
	}
	e.run(3 * time.Second)
	return e
}

// start starts a core from its disk.
func (e *ensemble) start(id quorum.NodeID) {
	j, stored, err := journal.Open(e.disks[id])
	require.NoError(e.t, err)
	c, err := New(Config{
		ID: id, Name: fmt.Sprint("control-", id), Timing: e.timing, Lease: time.Second, Seed: uint64(id),
		EvictAfter: e.evict, Reopen: func() (*journal.Journal, quorum.Stored, error) { return journal.Open(e.disks[id]) },
		Clock: e.clock, Log: logs.Discard(), Journal: j, Stored: stored,
		Send: func(list []quorum.Message, _ *quorum.Members) { e.wire = append(e.wire, list...) },
	})
	require.NoError(e.t, err)
	e.cores[id] = c
	e.down[id] = false
}

func (e *ensemble) run(d time.Duration) {
	const tick = 10 * time.Millisecond
	for end := e.clock.now.Add(d); e.clock.now.Before(end); e.clock.now = e.clock.now.Add(tick) {
		e.step()
	}
}

func (e *ensemble) step() {
	for i := 1; i <= e.n; i++ {
		id := quorum.NodeID(i)
		if e.down[id] {
			continue
		}
		e.cores[id].node.Tick(e.cores[id].now())
		e.work(id)
	}
	wire := e.wire
	e.wire = nil
	for _, m := range wire {
		if e.down[m.From] || e.down[m.To] {
			continue
		}
		e.cores[m.To].node.Step(m, e.cores[m.To].now())
		e.work(m.To)
	}
}

func (e *ensemble) work(id quorum.NodeID) {
	c := e.cores[id]
	c.work()
	require.NoError(e.t, c.handleReady())
	c.confirmReads()
	c.publish()
}

func (e *ensemble) leader() *Core {
	for i := 1; i <= e.n; i++ {
		id := quorum.NodeID(i)
		if c := e.cores[id]; !e.down[id] && c.leader.active && c.node.Leading(c.now()) {
			return c
		}
	}
	return nil
}

// submit begins a command and returns where its result will come.
func (e *ensemble) submit(c *Core, cmd *plan.Command) chan Result {
	done := make(chan Result, 1)
	c.pending = append(c.pending, &proposal{done: done, evaluate: func(s *cluster.State) ([]cluster.Event, *cluster.Answer, error) {
		return plan.Evaluate(s, cmd)
	}})
	return done
}

func (e *ensemble) command(cmd *plan.Command) Result {
	c := e.leader()
	require.NotNil(e.t, c)
	done := e.submit(c, cmd)
	e.run(200 * time.Millisecond)
	select {
	case r := <-done:
		return r
	default:
		require.Fail(e.t, "command was not answered")
		return Result{}
	}
}

func create(request, name, addr string) *plan.Command {
	return &plan.Command{Request: request, Create: &catkinrail.ServiceConfig{Name: name, Addr: netip.MustParseAddrPort(addr)}}
}

func (e *ensemble) crash(id quorum.NodeID) {
	e.down[id] = true
}

func TestResendAfterChangeOfLeader(t *testing.T) {
	e := newEnsemble(t, 3)
	first := e.command(create("r1", "logbook", "192.0.2.1:443"))
	require.NoError(t, first.Err)
	old := e.leader().cfg.ID
	e.crash(old)
	e.run(3 * time.Second)
	require.NotEqual(t, old, e.leader().cfg.ID)
	again := e.command(create("r1", "logbook", "192.0.2.1:443"))
	require.NoError(t, again.Err)
	require.Equal(t, first.Answer, again.Answer)
	e.start(old)
	e.run(2 * time.Second)
	require.Equal(t, e.leader().state.Version, e.cores[old].state.Version)
}

// TestIsolatedLeader cuts the leader off in silence. It must refuse heartbeats and
// commands within its lease, and what it had in flight must not run twice.
func TestIsolatedLeader(t *testing.T) {
	e := newEnsemble(t, 3)
	require.NoError(t, e.command(create("r1", "logbook", "192.0.2.1:443")).Err)
	old := e.leader()
	for id := range e.cores {
		e.down[id] = id != old.cfg.ID
	}
	inFlight := e.submit(old, create("r2", "drawvault", "192.0.2.2:443"))
	e.run(quorum.DefaultTiming.ElectionTimeout)
	_, err := old.heartbeat(&message.Heartbeat{ID: 1})
	require.ErrorIs(t, err, ErrNotLeader)
	e.run(2 * time.Second)
	require.ErrorIs(t, (<-inFlight).Err, ErrUnknown)
	e.crash(old.cfg.ID)
	for id := range e.cores {
		e.down[id] = id == old.cfg.ID
	}
	e.run(3 * time.Second)
	require.NoError(t, e.command(create("r2", "drawvault", "192.0.2.2:443")).Err)
	e.down[old.cfg.ID] = false
	e.run(3 * time.Second)
	for _, c := range e.cores {
		require.Len(t, c.state.Services, 2)
		require.Equal(t, e.leader().state.Version, c.state.Version)
	}
}

func TestEqualHalvesHaveNoWinner(t *testing.T) {
	e := newEnsemble(t, 4)
	version := e.leader().state.Version
	old := e.leader()
	e.down[old.cfg.ID%4+1], e.down[(old.cfg.ID+1)%4+1] = true, true
	done := e.submit(old, create("r1", "logbook", "192.0.2.1:443"))
	e.run(3 * time.Second)
	require.ErrorIs(t, (<-done).Err, ErrUnknown)
	require.Nil(t, e.leader())
	for _, c := range e.cores {
		require.Equal(t, version, c.state.Version)
	}
}

// TestFullStop stops all control instances at once and starts them again.
func TestFullStop(t *testing.T) {
	e := newEnsemble(t, 3)
	for i := range 20 {
		require.NoError(t, e.command(create(fmt.Sprint("r", i), fmt.Sprint("service-", i), fmt.Sprintf("192.0.2.%d:443", i+1))).Err)
	}
	for id := range e.cores {
		e.crash(id)
	}
	for id := range e.cores {
		e.start(id)
	}
	e.run(3 * time.Second)
	require.Len(t, e.leader().state.Services, 20)
}

func TestSnapshotAndLaggingFollower(t *testing.T) {
	e := newEnsemble(t, 3)
	require.NoError(t, e.command(create("r0", "service-0", "192.0.2.1:443")).Err)
	lead := e.leader()
	behind := lead.cfg.ID%3 + 1
	e.crash(behind)
	for i := 1; i < 30; i++ {
		require.NoError(t, e.command(create(fmt.Sprint("r", i), fmt.Sprint("service-", i), fmt.Sprintf("192.0.2.%d:443", i+1))).Err)
	}
	data, err := cluster.Encode(lead.state)
	require.NoError(t, err)
	s := lead.node.Snapshot(data)
	require.NoError(t, lead.cfg.Journal.SaveSnapshot(s, lead.node.EntriesAfter(s.Index)))
	lead.node.Compact(s)
	e.start(behind)
	e.run(5 * time.Second)
	require.Equal(t, lead.state.Version, e.cores[behind].state.Version)
	require.Len(t, e.cores[behind].state.Services, 30)
	again := e.command(create("r3", "service-3", "192.0.2.4:443"))
	require.NoError(t, again.Err)
	require.Equal(t, lead.state.FindAnswer("r3"), again.Answer)
}

func TestHeartbeatCatchUp(t *testing.T) {
	tests := []struct {
		name     string
		forget   bool
		snapshot bool
	}{
		{"changes are known", false, false},
		{"changes are forgotten", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEnsemble(t, 1)
			c := e.leader()
			reg := &plan.Registration{Name: "entry-1", Zone: "kochi", Relay: netip.MustParseAddrPort("127.0.0.1:7301"), Incarnation: 1}
			events, id, err := plan.Register(c.state, reg)
			require.NoError(t, err)
			c.enqueue(func(*cluster.State) []cluster.Event { return events })
			e.run(100 * time.Millisecond)
			for i := range 10 {
				require.NoError(t, e.command(create(fmt.Sprint("r", i), fmt.Sprint("service-", i), fmt.Sprintf("192.0.2.%d:443", i+1))).Err)
			}
			if tt.forget {
				c.changes = nil
			}
			r, err := c.heartbeat(&message.Heartbeat{ID: id})
			require.NoError(t, err)
			require.Equal(t, tt.snapshot, r.State != nil)
			if r.State == nil {
				require.Equal(t, c.state.Version, r.Changes[len(r.Changes)-1].Version)
				require.Equal(t, uint64(1), r.Changes[0].Version)
			}
			r, err = c.heartbeat(&message.Heartbeat{ID: 99})
			require.NoError(t, err)
			require.True(t, r.Unregistered)
		})
	}
}

// TestFullDiskStops checks that a control instance whose disk fails acknowledges
// nothing more.
func TestFullDiskStops(t *testing.T) {
	e := newEnsemble(t, 1)
	c := e.leader()
	e.disks[1].FailAfter(0, fake.ErrFull)
	done := e.submit(c, create("r1", "logbook", "192.0.2.1:443"))
	c.work()
	require.ErrorIs(t, c.handleReady(), fake.ErrFull)
	require.Empty(t, done)
	require.Empty(t, c.state.Services)
}
