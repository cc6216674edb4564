package core

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/membership"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/state/journal"
)

// manualClock is a clock that tests set.
type manualClock struct {
	now time.Time
}

func (m *manualClock) Now() time.Time { return m.now }

// testCluster is a set of cores that tests run step by step in one goroutine.
type testCluster struct {
	t     *testing.T
	clock *manualClock
	cores map[quorum.NodeID]*Core
	disks map[quorum.NodeID]*fake.Disk
	// messages holds the messages that are not delivered yet.
	messages []quorum.Message
	// down is set for cores that don't run and get no messages.
	down map[quorum.NodeID]bool
	n    int
	// timing and evictAfter apply to cores that are started from now on.
	timing     quorum.Timing
	evictAfter time.Duration
	// tolerated is the largest number of lost disks that the cores can be set to bear.
	tolerated int
}

func newTestCluster(t *testing.T, n int) *testCluster {
	t.Helper()
	return newTestClusterWith(t, n, quorum.DefaultTiming, 0)
}

func newTestClusterWith(t *testing.T, n int, timing quorum.Timing, evict time.Duration) *testCluster {
	t.Helper()
	return newTestClusterTolerating(t, n, (n-1)/2, timing, evict)
}

func newTestClusterTolerating(t *testing.T, n, tolerated int, timing quorum.Timing, evict time.Duration) *testCluster {
	t.Helper()
	tc := &testCluster{
		t: t, clock: &manualClock{now: time.Unix(1000, 0)}, n: n, timing: timing, evictAfter: evict, tolerated: tolerated,
		cores: map[quorum.NodeID]*Core{}, disks: map[quorum.NodeID]*fake.Disk{}, down: map[quorum.NodeID]bool{},
	}
	members := quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{}}
	for i := 1; i <= n; i++ {
		members.Nodes[quorum.NodeID(i)] = quorum.Peer{Name: fmt.Sprint("control-", i), Addr: fmt.Sprint("addr-", i)}
	}
	for i := 1; i <= n; i++ {
		id := quorum.NodeID(i)
		tc.disks[id] = fake.NewDisk()
		j, _, err := journal.Open(tc.disks[id])
		require.NoError(t, err)
		require.NoError(t, j.SaveSnapshot(&quorum.Snapshot{Members: members}, nil))
		tc.start(id)
	}
	tc.run(3 * time.Second)
	return tc
}

// start starts a core from its disk.
func (tc *testCluster) start(id quorum.NodeID) {
	j, stored, err := journal.Open(tc.disks[id])
	require.NoError(tc.t, err)
	c, err := New(Config{
		ID: id, Name: fmt.Sprint("control-", id), Timing: tc.timing, Lease: time.Second, Seed: uint64(id),
		Membership: membership.Policy{Tolerated: tc.tolerated, EvictAfter: tc.evictAfter}, Reopen: func() (*journal.Journal, quorum.Stored, error) { return journal.Open(tc.disks[id]) },
		Clock: tc.clock, Log: logs.Discard(), Journal: j, Stored: stored,
		Send: func(list []quorum.Message, _ *quorum.Members) { tc.messages = append(tc.messages, list...) },
	})
	require.NoError(tc.t, err)
	tc.cores[id] = c
	tc.down[id] = false
}

// run advances the clock by d in steps of a tick.
func (tc *testCluster) run(d time.Duration) {
	const tick = 10 * time.Millisecond
	for end := tc.clock.now.Add(d); tc.clock.now.Before(end); tc.clock.now = tc.clock.now.Add(tick) {
		tc.step()
	}
}

// step ticks every running core once and delivers the messages sent by then, except
// those from or to cores that are down.
func (tc *testCluster) step() {
	for i := 1; i <= tc.n; i++ {
		id := quorum.NodeID(i)
		if tc.down[id] {
			continue
		}
		tc.cores[id].node.Tick(tc.cores[id].now())
		tc.process(id)
	}
	list := tc.messages
	tc.messages = nil
	for _, m := range list {
		if tc.down[m.From] || tc.down[m.To] {
			continue
		}
		tc.cores[m.To].handleMessage(m)
		tc.process(m.To)
	}
}

// process does for a core what Run does after each event.
func (tc *testCluster) process(id quorum.NodeID) {
	c := tc.cores[id]
	c.runLeader()
	require.NoError(tc.t, c.handleReady())
	c.confirmReads()
	c.publish()
	c.updateVotes()
}

func (tc *testCluster) leader() *Core {
	for i := 1; i <= tc.n; i++ {
		id := quorum.NodeID(i)
		if c := tc.cores[id]; !tc.down[id] && c.leader.active && c.node.Leading(c.now()) {
			return c
		}
	}
	return nil
}

// beginCommand submits a command and returns the channel that receives its result.
func (tc *testCluster) beginCommand(c *Core, cmd *plan.Command) chan Result {
	done := make(chan Result, 1)
	c.pending = append(c.pending, &proposal{done: done, evaluate: func(s *cluster.State) ([]cluster.Event, *cluster.Answer, error) {
		return plan.Evaluate(s, cmd)
	}})
	return done
}

func (tc *testCluster) command(cmd *plan.Command) Result {
	c := tc.leader()
	require.NotNil(tc.t, c)
	done := tc.beginCommand(c, cmd)
	tc.run(200 * time.Millisecond)
	select {
	case r := <-done:
		return r
	default:
		require.Fail(tc.t, "command was not answered")
		return Result{}
	}
}

func create(request, name, addr string) *plan.Command {
	return &plan.Command{Request: request, Create: &catkinrail.ServiceConfig{Name: name, Addr: netip.MustParseAddrPort(addr)}}
}

func (tc *testCluster) crash(id quorum.NodeID) {
	tc.down[id] = true
}

func TestResendAfterChangeOfLeader(t *testing.T) {
	tc := newTestCluster(t, 3)
	first := tc.command(create("r1", "logbook", "192.0.2.1:443"))
	require.NoError(t, first.Err)
	old := tc.leader().cfg.ID
	tc.crash(old)
	tc.run(3 * time.Second)
	require.NotEqual(t, old, tc.leader().cfg.ID)
	again := tc.command(create("r1", "logbook", "192.0.2.1:443"))
	require.NoError(t, again.Err)
	require.Equal(t, first.Answer, again.Answer)
	tc.start(old)
	tc.run(2 * time.Second)
	require.Equal(t, tc.leader().state.Version, tc.cores[old].state.Version)
}

// TestPartitionedLeader partitions the leader from the others. It must refuse
// heartbeats once its lease has ended and report the command that it had in flight
// as unknown. Sent again to the next leader, the command must take effect once.
func TestPartitionedLeader(t *testing.T) {
	tc := newTestCluster(t, 3)
	require.NoError(t, tc.command(create("r1", "logbook", "192.0.2.1:443")).Err)
	old := tc.leader()
	for id := range tc.cores {
		tc.down[id] = id != old.cfg.ID
	}
	inFlight := tc.beginCommand(old, create("r2", "drawvault", "192.0.2.2:443"))
	tc.run(quorum.DefaultTiming.ElectionTimeout)
	_, err := old.heartbeat(&message.Heartbeat{ID: 1})
	require.ErrorIs(t, err, ErrNotLeader)
	tc.run(2 * time.Second)
	require.ErrorIs(t, (<-inFlight).Err, ErrUnknown)
	tc.crash(old.cfg.ID)
	for id := range tc.cores {
		tc.down[id] = id == old.cfg.ID
	}
	tc.run(3 * time.Second)
	require.NoError(t, tc.command(create("r2", "drawvault", "192.0.2.2:443")).Err)
	tc.down[old.cfg.ID] = false
	tc.run(3 * time.Second)
	for _, c := range tc.cores {
		require.Len(t, c.state.Services, 2)
		require.Equal(t, tc.leader().state.Version, c.state.Version)
	}
}

func TestNoLeaderInEvenPartition(t *testing.T) {
	tc := newTestCluster(t, 4)
	version := tc.leader().state.Version
	old := tc.leader()
	tc.down[old.cfg.ID%4+1], tc.down[(old.cfg.ID+1)%4+1] = true, true
	done := tc.beginCommand(old, create("r1", "logbook", "192.0.2.1:443"))
	tc.run(3 * time.Second)
	require.ErrorIs(t, (<-done).Err, ErrUnknown)
	require.Nil(t, tc.leader())
	for _, c := range tc.cores {
		require.Equal(t, version, c.state.Version)
	}
}

// TestRestartOfAllInstances stops all control instances at once and restarts them.
func TestRestartOfAllInstances(t *testing.T) {
	tc := newTestCluster(t, 3)
	for i := range 20 {
		require.NoError(t, tc.command(create(fmt.Sprint("r", i), fmt.Sprint("service-", i), fmt.Sprintf("192.0.2.%d:443", i+1))).Err)
	}
	for id := range tc.cores {
		tc.crash(id)
	}
	for id := range tc.cores {
		tc.start(id)
	}
	tc.run(3 * time.Second)
	require.Len(t, tc.leader().state.Services, 20)
}

func TestSnapshotAndLaggingFollower(t *testing.T) {
	tc := newTestCluster(t, 3)
	require.NoError(t, tc.command(create("r0", "service-0", "192.0.2.1:443")).Err)
	lead := tc.leader()
	behind := lead.cfg.ID%3 + 1
	tc.crash(behind)
	for i := 1; i < 30; i++ {
		require.NoError(t, tc.command(create(fmt.Sprint("r", i), fmt.Sprint("service-", i), fmt.Sprintf("192.0.2.%d:443", i+1))).Err)
	}
	data, err := cluster.Encode(lead.state)
	require.NoError(t, err)
	s := lead.node.Snapshot(data)
	require.NoError(t, lead.cfg.Journal.SaveSnapshot(s, lead.node.EntriesAfter(s.Index)))
	lead.node.Compact(s)
	tc.start(behind)
	tc.run(5 * time.Second)
	require.Equal(t, lead.state.Version, tc.cores[behind].state.Version)
	require.Len(t, tc.cores[behind].state.Services, 30)
	again := tc.command(create("r3", "service-3", "192.0.2.4:443"))
	require.NoError(t, again.Err)
	require.Equal(t, lead.state.FindAnswer("r3"), again.Answer)
}

func TestHeartbeatCatchUp(t *testing.T) {
	tests := []struct {
		name        string
		dropChanges bool
		snapshot    bool
	}{
		{"changes are kept", false, false},
		{"changes are no longer kept", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tc := newTestCluster(t, 1)
			c := tc.leader()
			reg := &plan.Registration{Name: "entry-1", Zone: "kochi", Relay: netip.MustParseAddrPort("127.0.0.1:7301"), Incarnation: 1}
			events, id, err := plan.Register(c.state, reg)
			require.NoError(t, err)
			c.enqueue(func(*cluster.State) []cluster.Event { return events })
			tc.run(100 * time.Millisecond)
			for i := range 10 {
				require.NoError(t, tc.command(create(fmt.Sprint("r", i), fmt.Sprint("service-", i), fmt.Sprintf("192.0.2.%d:443", i+1))).Err)
			}
			if tt.dropChanges {
				c.changes = changeLog{}
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

// TestHeartbeatListsControlInstances guards against entry instances that aren't told which control
// instances there are, or are told with every reply.
func TestHeartbeatListsControlInstances(t *testing.T) {
	tc := newTestCluster(t, 1)
	c := tc.leader()
	reg := &plan.Registration{Name: "entry-1", Zone: "kochi", Relay: netip.MustParseAddrPort("127.0.0.1:7301"), Incarnation: 1}
	events, id, err := plan.Register(c.state, reg)
	require.NoError(t, err)
	c.enqueue(func(*cluster.State) []cluster.Event { return events })
	c.handleJoin(tc.addInstance(2, 9))
	tc.run(100 * time.Millisecond)
	r, err := c.heartbeat(&message.Heartbeat{ID: id})
	require.NoError(t, err)
	require.Equal(t, []string{"addr-1", "addr-9"}, r.Control)
	r, err = c.heartbeat(&message.Heartbeat{ID: id, Members: r.Members})
	require.NoError(t, err)
	require.Empty(t, r.Control)
}

// TestFullDiskAcknowledgesNothing checks that a control instance whose disk is full
// neither acknowledges nor applies a command.
func TestFullDiskAcknowledgesNothing(t *testing.T) {
	tc := newTestCluster(t, 1)
	c := tc.leader()
	tc.disks[1].FailAfter(0, fake.ErrFull)
	done := tc.beginCommand(c, create("r1", "logbook", "192.0.2.1:443"))
	c.runLeader()
	require.ErrorIs(t, c.handleReady(), fake.ErrFull)
	require.Empty(t, done)
	require.Empty(t, c.state.Services)
}

// TestAbandonedProposalsHoldNoDocument guards against documents that pile up in the queue of an
// instance that stands still, beyond its memory: nobody waits for them any more.
func TestAbandonedProposalsHoldNoDocument(t *testing.T) {
	tc := newTestCluster(t, 1)
	c := tc.leader()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p := &proposal{evaluate: putDocument(doc(5, "a")), done: make(chan Result, 1)}
	_, err := c.submit(ctx, p)
	require.ErrorIs(t, err, ErrUnknown)
	require.Nil(t, p.evaluate)
	c.pending = append(c.pending, p)
	tc.run(100 * time.Millisecond)
	require.ErrorIs(t, (<-p.done).Err, ErrUnknown)
	require.Nil(t, c.Published().Document)
}

// TestAnswersFollowPublishedState guards against answers before the state that contains the change can
// be read: a stream that began in between said that it had everything without it.
func TestAnswersFollowPublishedState(t *testing.T) {
	tc := newTestCluster(t, 1)
	c := tc.leader()
	done := make(chan Result, 1)
	c.pending = append(c.pending, &proposal{evaluate: putDocument(doc(5, "a")), done: done})
	c.runLeader()
	require.NoError(t, c.handleReady())
	require.Equal(t, uint64(5), c.state.Document.Version)
	require.Empty(t, done)
	c.publish()
	require.NoError(t, (<-done).Err)
	require.Equal(t, uint64(5), c.Published().Document.Version)
}
