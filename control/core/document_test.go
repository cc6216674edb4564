package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
	"catkinrail.example/catkinrail/state/cluster"
)

var noLease = quorum.Timing{HeartbeatInterval: quorum.DefaultTiming.HeartbeatInterval, ElectionTimeout: quorum.DefaultTiming.ElectionTimeout, NoLease: true}

func doc(version uint64, source string) *catkinrail.Document {
	return &catkinrail.Document{Version: version, Source: []byte(source)}
}

// put begins to put a document at a core and returns where the result will come.
func (e *ensemble) put(c *Core, d *catkinrail.Document) chan Result {
	done := make(chan Result, 1)
	c.pending = append(c.pending, &proposal{done: done, evaluate: putDocument(d)})
	return done
}

// read begins a read at a core.
func (e *ensemble) read(c *Core) (index uint64, done chan error) {
	done = make(chan error, 1)
	return c.beginRead(done), done
}

func TestDocumentsTakeEffectInOrder(t *testing.T) {
	tests := []struct {
		name string
		list []*catkinrail.Document
		want string
	}{
		{"one", []*catkinrail.Document{doc(3, "a")}, "a"},
		{"higher", []*catkinrail.Document{doc(3, "a"), doc(9, "b")}, "b"},
		{"lower is acknowledged and changes nothing", []*catkinrail.Document{doc(9, "b"), doc(3, "a")}, "b"},
		{"again", []*catkinrail.Document{doc(3, "a"), doc(3, "a")}, "a"},
		{"other content under the version in force", []*catkinrail.Document{doc(3, "a"), doc(3, "b")}, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEnsembleWith(t, 3, noLease, 0)
			for _, d := range tt.list {
				done := e.put(e.leader(), d)
				e.run(200 * time.Millisecond)
				require.NoError(t, (<-done).Err)
			}
			for _, c := range e.cores {
				require.Equal(t, tt.want, string(c.Snapshot().Document.Source))
			}
		})
	}
}

// TestRaceOfTwoOperators sends two documents of one version at once. Both are
// acknowledged and one of them is in force everywhere.
func TestRaceOfTwoOperators(t *testing.T) {
	e := newEnsembleWith(t, 4, noLease, 0)
	first, second := e.put(e.leader(), doc(5, "a")), e.put(e.leader(), doc(5, "b"))
	e.run(200 * time.Millisecond)
	require.NoError(t, (<-first).Err)
	require.NoError(t, (<-second).Err)
	for _, c := range e.cores {
		require.Equal(t, "a", string(c.Snapshot().Document.Source))
	}
}

// TestReadNeedsAMajority cuts a leader off in silence while it still holds the
// lead by its own clock. A read that begins then must not be answered.
func TestReadNeedsAMajority(t *testing.T) {
	e := newEnsembleWith(t, 3, noLease, 0)
	old := e.leader()
	_, done := e.read(old)
	e.run(100 * time.Millisecond)
	require.NoError(t, <-done)

	for id := range e.cores {
		e.down[id] = id != old.cfg.ID
	}
	_, stale := e.read(old)
	e.run(100 * time.Millisecond)
	require.True(t, old.leader.active, "it still believes that it leads")
	require.Empty(t, stale)
	e.run(2 * time.Second)
	require.ErrorIs(t, <-stale, ErrNotLeader)
}

func TestReadSeesWhatWasAcknowledgedBefore(t *testing.T) {
	e := newEnsembleWith(t, 3, noLease, 0)
	done := e.put(e.leader(), doc(5, "a"))
	e.run(200 * time.Millisecond)
	require.NoError(t, (<-done).Err)
	index, proved := e.read(e.leader())
	e.run(100 * time.Millisecond)
	require.NoError(t, <-proved)
	for _, c := range e.cores {
		require.GreaterOrEqual(t, c.Snapshot().Applied, index)
	}
}

// TestFullDiskRecovers fills a disk and empties it again. The instance takes no
// part meanwhile and loses nothing that it had.
func TestFullDiskRecovers(t *testing.T) {
	e := newEnsembleWith(t, 1, noLease, 0)
	c := e.leader()
	done := e.put(c, doc(5, "a"))
	e.run(200 * time.Millisecond)
	require.NoError(t, (<-done).Err)

	e.disks[1].FailAfter(0, fake.ErrFull)
	refused := e.put(c, doc(6, "b"))
	c.work()
	require.ErrorIs(t, c.handleReady(), fake.ErrFull)
	c.failWaiting()
	require.ErrorIs(t, (<-refused).Err, ErrUnknown)
	require.Error(t, c.reopen(), "the disk is still full")

	e.disks[1].FailAfter(-1, nil)
	require.NoError(t, c.reopen())
	e.run(time.Second)
	require.Equal(t, uint64(5), c.Snapshot().Document.Version)
	done = e.put(c, doc(7, "c"))
	e.run(200 * time.Millisecond)
	require.NoError(t, (<-done).Err)
}

// TestNotCurrentUntilCaughtUp restarts an instance that missed documents: it may
// not tell anyone its old one as the newest.
func TestNotCurrentUntilCaughtUp(t *testing.T) {
	e := newEnsembleWith(t, 3, noLease, 0)
	behind := e.leader().cfg.ID%3 + 1
	e.crash(behind)
	done := e.put(e.leader(), doc(5, "a"))
	e.run(200 * time.Millisecond)
	require.NoError(t, (<-done).Err)
	e.start(behind)
	c := e.cores[behind]
	for c.Synced() == 0 {
		e.run(10 * time.Millisecond)
	}
	require.Equal(t, uint64(5), c.Snapshot().Document.Version)
}

// join adds an instance with an empty disk under the name and address of place.
func (e *ensemble) join(id quorum.NodeID, place int) *message.JoinRequest {
	e.disks[id] = fake.NewDisk()
	e.n = max(e.n, int(id))
	e.start(id)
	return &message.JoinRequest{Node: id, Peer: quorum.Peer{Name: fmt.Sprint("control-", place), Addr: fmt.Sprint("addr-", place)}}
}

// joined asks the leader until the instance has its vote.
func (e *ensemble) joined(req *message.JoinRequest) {
	for range 100 {
		c := e.leader()
		if c != nil && c.joinStep(req) == nil {
			return
		}
		e.run(50 * time.Millisecond)
	}
	require.Fail(e.t, "instance did not get a vote")
}

// TestMajorityOfInstancesIsMajorityOfVoters replaces instances, on the same
// address or for good, and then stops any of them as long as more than half of
// those in use run. A leader must be there, and nothing acknowledged be lost.
func TestMajorityOfInstancesIsMajorityOfVoters(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 16).Draw(rt, "instances")
		const evict = 5 * time.Second
		e := newEnsembleWith(t, n, noLease, evict)
		// place gives the instance that is in use at each place.
		place := map[int]quorum.NodeID{}
		for i := 1; i <= n; i++ {
			place[i] = quorum.NodeID(i)
		}
		version := uint64(0)
		next := n
		for range rapid.IntRange(0, 3).Draw(rt, "replacements") {
			i := rapid.IntRange(1, n).Draw(rt, "place")
			e.down[place[i]] = true
			e.run(2 * time.Second)
			next++
			where := i
			if rapid.Bool().Draw(rt, "another address") {
				where = 100 + next
			}
			req := e.join(quorum.NodeID(next), where)
			e.joined(req)
			place[i] = quorum.NodeID(next)
			version++
			done := e.put(e.leader(), doc(version, "x"))
			e.run(evict + 2*time.Second)
			require.NoError(rt, (<-done).Err)
		}
		for range rapid.IntRange(0, (n-1)/2).Draw(rt, "losses") {
			e.down[place[rapid.IntRange(1, n).Draw(rt, "lost")]] = true
		}
		e.run(3 * time.Second)
		lead := e.leader()
		require.NotNil(rt, lead)
		if version > 0 {
			require.Equal(rt, version, lead.Snapshot().Document.Version)
		}
	})
}

// TestSilentVoterIsRemovedAndComesBack keeps the quorum small while an instance
// is away, and takes the instance in again with the disk that it had.
func TestSilentVoterIsRemovedAndComesBack(t *testing.T) {
	e := newEnsembleWith(t, 4, noLease, 5*time.Second)
	away := e.leader().cfg.ID%4 + 1
	e.down[away] = true
	e.run(4 * time.Second)
	require.Equal(t, 4, e.leader().Snapshot().Members.Voters())
	e.run(2 * time.Second)
	require.Equal(t, 3, e.leader().Snapshot().Members.Voters())
	e.down[away] = false
	self := quorum.Peer{Name: fmt.Sprint("control-", away), Addr: fmt.Sprint("addr-", away)}
	e.run(3 * time.Second)
	require.False(t, e.cores[away].Joined(self), "it hears of no leader")
	e.joined(&message.JoinRequest{Node: away, Peer: self})
	e.run(time.Second)
	require.True(t, e.cores[away].Joined(self))
	require.Equal(t, 4, e.leader().Snapshot().Members.Voters())
}

// TestFollowerNamesTheLeader lets an instance with an empty disk find a leader that
// is none of the seeds that it knows.
func TestFollowerNamesTheLeader(t *testing.T) {
	e := newEnsembleWith(t, 4, noLease, 0)
	lead := e.leader()
	other := e.cores[lead.cfg.ID%4+1]
	req := &message.JoinRequest{Node: 9, Peer: quorum.Peer{Name: "new", Addr: "addr-9"}}
	reply := other.answerJoin(req)
	require.NoError(t, reply.err)
	require.True(t, reply.RetryLater)
	require.Equal(t, lead.cfg.ID, reply.Leader)
	require.Equal(t, fmt.Sprint("addr-", lead.cfg.ID), reply.Members.Nodes[reply.Leader].Addr)
	require.NotContains(t, lead.Snapshot().Members.Nodes, quorum.NodeID(9))
}

// TestMemberTellsItsAddresses changes how a voter is reached.
func TestMemberTellsItsAddresses(t *testing.T) {
	e := newEnsembleWith(t, 3, noLease, 0)
	self := quorum.Peer{Name: "core-2", Addr: "addr-2", Zone: "a", Public: "addr-2:80"}
	require.False(t, e.cores[2].Joined(self))
	e.joined(&message.JoinRequest{Node: 2, Peer: self})
	e.run(200 * time.Millisecond)
	require.True(t, e.cores[2].Joined(self))
	require.Equal(t, 3, e.leader().Snapshot().Members.Voters())
}

func TestPackedChangesAreRead(t *testing.T) {
	big := doc(1, string(make([]byte, 100_000)))
	data, err := cluster.EncodeCompressed(&cluster.Change{Version: 1, Events: []cluster.Event{{DocumentPut: big}}})
	require.NoError(t, err)
	require.Less(t, len(data), 10_000)
	var change cluster.Change
	require.NoError(t, cluster.DecodeCompressed(data, &change))
	require.Equal(t, big, change.Events[0].DocumentPut)
	require.Error(t, cluster.DecodeCompressed(data[:len(data)/2], &change))
}
