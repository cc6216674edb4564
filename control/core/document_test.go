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

// noLease is the default timing without leases.
var noLease = quorum.Timing{HeartbeatInterval: quorum.DefaultTiming.HeartbeatInterval, ElectionTimeout: quorum.DefaultTiming.ElectionTimeout, NoLease: true}

func doc(version uint64, source string) *catkinrail.Document {
	return &catkinrail.Document{Version: version, Source: []byte(source)}
}

// beginPut submits a document to a core and returns the channel that receives the
// result.
func (tc *testCluster) beginPut(c *Core, d *catkinrail.Document) chan Result {
	done := make(chan Result, 1)
	c.pending = append(c.pending, &proposal{done: done, evaluate: putDocument(d)})
	return done
}

// beginRead begins a read at a core and returns its index and the channel that
// receives the confirmation.
func (tc *testCluster) beginRead(c *Core) (index uint64, done chan error) {
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
		{"same document again", []*catkinrail.Document{doc(3, "a"), doc(3, "a")}, "a"},
		{"other content under the version in force", []*catkinrail.Document{doc(3, "a"), doc(3, "b")}, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tc := newTestClusterWith(t, 3, noLease, 0)
			for _, d := range tt.list {
				done := tc.beginPut(tc.leader(), d)
				tc.run(200 * time.Millisecond)
				require.NoError(t, (<-done).Err)
			}
			for _, c := range tc.cores {
				require.Equal(t, tt.want, string(c.Published().Document.Source))
			}
		})
	}
}

// TestConcurrentPutsOfOneVersion submits two documents with the same version at
// once. Both are acknowledged, and the first is in force on every instance.
func TestConcurrentPutsOfOneVersion(t *testing.T) {
	tc := newTestClusterWith(t, 4, noLease, 0)
	first, second := tc.beginPut(tc.leader(), doc(5, "a")), tc.beginPut(tc.leader(), doc(5, "b"))
	tc.run(200 * time.Millisecond)
	require.NoError(t, (<-first).Err)
	require.NoError(t, (<-second).Err)
	for _, c := range tc.cores {
		require.Equal(t, "a", string(c.Published().Document.Source))
	}
}

// TestReadNeedsMajority partitions a leader that doesn't know yet that it lost the
// others. A read that begins then must not be confirmed.
func TestReadNeedsMajority(t *testing.T) {
	tc := newTestClusterWith(t, 3, noLease, 0)
	old := tc.leader()
	_, done := tc.beginRead(old)
	tc.run(100 * time.Millisecond)
	require.NoError(t, <-done)

	for id := range tc.cores {
		tc.down[id] = id != old.cfg.ID
	}
	_, stale := tc.beginRead(old)
	tc.run(100 * time.Millisecond)
	require.True(t, old.leader.active, "the partitioned leader has not stepped down yet")
	require.Empty(t, stale)
	tc.run(2 * time.Second)
	require.ErrorIs(t, <-stale, ErrNotLeader)
}

func TestReadSeesAcknowledgedWrite(t *testing.T) {
	tc := newTestClusterWith(t, 3, noLease, 0)
	done := tc.beginPut(tc.leader(), doc(5, "a"))
	tc.run(200 * time.Millisecond)
	require.NoError(t, (<-done).Err)
	index, confirmed := tc.beginRead(tc.leader())
	tc.run(100 * time.Millisecond)
	require.NoError(t, <-confirmed)
	for _, c := range tc.cores {
		require.GreaterOrEqual(t, c.Published().Applied, index)
	}
}

// TestFullDiskRecovers fills a disk and then frees space. Meanwhile the instance
// acknowledges nothing, and it keeps what it had acknowledged before.
func TestFullDiskRecovers(t *testing.T) {
	tc := newTestClusterWith(t, 1, noLease, 0)
	c := tc.leader()
	done := tc.beginPut(c, doc(5, "a"))
	tc.run(200 * time.Millisecond)
	require.NoError(t, (<-done).Err)

	tc.disks[1].FailAfter(0, fake.ErrFull)
	refused := tc.beginPut(c, doc(6, "b"))
	c.runLeader()
	require.ErrorIs(t, c.handleReady(), fake.ErrFull)
	c.failRequests()
	require.ErrorIs(t, (<-refused).Err, ErrUnknown)
	require.Error(t, c.reopen(), "the disk is still full")

	tc.disks[1].FailAfter(-1, nil)
	require.NoError(t, c.reopen())
	tc.run(time.Second)
	require.Equal(t, uint64(5), c.Published().Document.Version)
	done = tc.beginPut(c, doc(7, "c"))
	tc.run(200 * time.Millisecond)
	require.NoError(t, (<-done).Err)
}

// TestNotSyncedUntilCaughtUp restarts an instance that missed a document. It must
// not count as synced while it still has the old one, or it would be given out as
// current.
func TestNotSyncedUntilCaughtUp(t *testing.T) {
	tc := newTestClusterWith(t, 3, noLease, 0)
	behind := tc.leader().cfg.ID%3 + 1
	tc.crash(behind)
	done := tc.beginPut(tc.leader(), doc(5, "a"))
	tc.run(200 * time.Millisecond)
	require.NoError(t, (<-done).Err)
	tc.start(behind)
	c := tc.cores[behind]
	for c.Synced() == 0 {
		tc.run(10 * time.Millisecond)
	}
	require.Equal(t, uint64(5), c.Published().Document.Version)
}

// addInstance starts an instance with an empty disk under the name and address of
// place and returns its request to join.
func (tc *testCluster) addInstance(id quorum.NodeID, place int) *message.JoinRequest {
	tc.disks[id] = fake.NewDisk()
	tc.n = max(tc.n, int(id))
	tc.start(id)
	return &message.JoinRequest{Node: id, Peer: quorum.Peer{Name: fmt.Sprint("control-", place), Addr: fmt.Sprint("addr-", place)}}
}

// awaitVote repeats the request at the leader until the instance is a voter.
func (tc *testCluster) awaitVote(req *message.JoinRequest) {
	for range 100 {
		c := tc.leader()
		if c != nil && c.joinStep(req) == nil {
			return
		}
		tc.run(50 * time.Millisecond)
	}
	require.Fail(tc.t, "instance did not become a voter")
}

// TestLeaderAfterReplacementsAndLosses replaces instances, at the same address or at
// another, and then stops any of them while more than half of those in use still
// run. Replaced instances must not count as voters any more: there must be a leader,
// and no acknowledged document may be lost.
func TestLeaderAfterReplacementsAndLosses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 16).Draw(rt, "instances")
		const evict = 5 * time.Second
		tc := newTestClusterWith(t, n, noLease, evict)
		// place gives the instance that is in use at each position.
		place := map[int]quorum.NodeID{}
		for i := 1; i <= n; i++ {
			place[i] = quorum.NodeID(i)
		}
		version := uint64(0)
		next := n
		for range rapid.IntRange(0, 3).Draw(rt, "replacements") {
			i := rapid.IntRange(1, n).Draw(rt, "place")
			tc.down[place[i]] = true
			tc.run(2 * time.Second)
			next++
			where := i
			if rapid.Bool().Draw(rt, "another address") {
				where = 100 + next
			}
			req := tc.addInstance(quorum.NodeID(next), where)
			tc.awaitVote(req)
			place[i] = quorum.NodeID(next)
			version++
			done := tc.beginPut(tc.leader(), doc(version, "x"))
			tc.run(evict + 2*time.Second)
			require.NoError(rt, (<-done).Err)
		}
		for range rapid.IntRange(0, (n-1)/2).Draw(rt, "losses") {
			tc.down[place[rapid.IntRange(1, n).Draw(rt, "lost")]] = true
		}
		tc.run(3 * time.Second)
		lead := tc.leader()
		require.NotNil(rt, lead)
		if version > 0 {
			require.Equal(rt, version, lead.Published().Document.Version)
		}
	})
}

// TestSilentVoterRemovedAndRejoins checks that a voter that doesn't answer loses its vote after a second if the
// number of voters is even, and else after EvictAfter, not earlier, and that it gets one again with the disk that it
// had.
func TestSilentVoterRemovedAndRejoins(t *testing.T) {
	tests := []struct {
		name              string
		voters, tolerated int
		after             time.Duration
	}{
		{"an even number", 4, 1, time.Second},
		{"an odd number", 7, 2, 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tc := newTestClusterTolerating(t, tt.voters, tt.tolerated, noLease, 5*time.Second)
			away := tc.leader().cfg.ID%quorum.NodeID(tt.voters) + 1
			tc.down[away] = true
			tc.run(tt.after * 8 / 10)
			require.Equal(t, tt.voters, tc.leader().Published().Members.Voters())
			tc.run(tt.after * 4 / 10)
			require.Equal(t, tt.voters-1, tc.leader().Published().Members.Voters())
			tc.down[away] = false
			self := quorum.Peer{Name: fmt.Sprint("control-", away), Addr: fmt.Sprint("addr-", away)}
			tc.run(3 * time.Second)
			require.False(t, tc.cores[away].Joined(self), "the instance has no vote")
			tc.awaitVote(&message.JoinRequest{Node: away, Peer: self})
			tc.run(time.Second)
			require.True(t, tc.cores[away].Joined(self))
			require.Equal(t, tt.voters, tc.leader().Published().Members.Voters())
		})
	}
}

// TestFollowerRefersToLeader checks that a follower's reply to a request to join names
// the leader, which an instance with an empty disk needs if its seeds don't include
// the leader.
func TestFollowerRefersToLeader(t *testing.T) {
	tc := newTestClusterWith(t, 4, noLease, 0)
	lead := tc.leader()
	other := tc.cores[lead.cfg.ID%4+1]
	req := &message.JoinRequest{Node: 9, Peer: quorum.Peer{Name: "new", Addr: "addr-9"}}
	reply := other.handleJoin(req)
	require.NoError(t, reply.err)
	require.True(t, reply.RetryLater)
	require.Equal(t, lead.cfg.ID, reply.Leader)
	require.Equal(t, fmt.Sprint("addr-", lead.cfg.ID), reply.Members.Nodes[reply.Leader].Addr)
	require.NotContains(t, lead.Published().Members.Nodes, quorum.NodeID(9))
}

// TestVoterAddressChange changes the name and addresses of a voter.
func TestVoterAddressChange(t *testing.T) {
	tc := newTestClusterWith(t, 3, noLease, 0)
	self := quorum.Peer{Name: "core-2", Addr: "addr-2", Zone: "a", Public: "addr-2:80"}
	require.False(t, tc.cores[2].Joined(self))
	tc.awaitVote(&message.JoinRequest{Node: 2, Peer: self})
	tc.run(200 * time.Millisecond)
	require.True(t, tc.cores[2].Joined(self))
	require.Equal(t, 3, tc.leader().Published().Members.Voters())
}

func TestCompressedChangeRoundTrip(t *testing.T) {
	big := doc(1, string(make([]byte, 100_000)))
	data, err := cluster.EncodeCompressed(&cluster.Change{Version: 1, Events: []cluster.Event{{DocumentPut: big}}})
	require.NoError(t, err)
	require.Less(t, len(data), 10_000)
	var change cluster.Change
	require.NoError(t, cluster.DecodeCompressed(data, &change))
	require.Equal(t, big, change.Events[0].DocumentPut)
	require.Error(t, cluster.DecodeCompressed(data[:len(data)/2], &change))
}

// TestReplacedDocumentsAreNotDecoded applies a committed batch, as after a restart, in
// which a later document replaces earlier ones: they must not cost the time to decode
// them. Entries without a key, and the last one with a key, are always applied.
func TestReplacedDocumentsAreNotDecoded(t *testing.T) {
	encode := func(c cluster.Change) []byte {
		data, err := cluster.EncodeCompressed(&c)
		require.NoError(t, err)
		return data
	}
	document := func(version uint64, d *catkinrail.Document) []byte {
		return encode(cluster.Change{Version: version, Events: []cluster.Event{{DocumentPut: d}}})
	}
	unreadable := []byte("not a change")
	tests := []struct {
		name    string
		entries []quorum.Entry
		version uint64
		want    string
		fails   bool
	}{
		{"replaced by the last", []quorum.Entry{
			{Index: 1, Data: unreadable, Key: documentKey}, {Index: 2, Data: unreadable, Key: documentKey}, {Index: 3, Data: document(3, doc(7, "c")), Key: documentKey},
		}, 3, "c", false},
		{"the last one counts", []quorum.Entry{{Index: 1, Data: document(1, doc(5, "a")), Key: documentKey}, {Index: 2, Data: unreadable, Key: documentKey}}, 1, "", true},
		{"other entries between", []quorum.Entry{
			{Index: 1, Data: unreadable, Key: documentKey},
			{Index: 2, Kind: quorum.EntryNoop},
			{Index: 3, Data: encode(cluster.Change{Version: 2})},
			{Index: 4, Data: document(3, doc(7, "c")), Key: documentKey},
			{Index: 5, Data: encode(cluster.Change{Version: 4})},
		}, 4, "c", false},
		{"without keys, as older versions wrote them", []quorum.Entry{{Index: 1, Data: document(1, doc(5, "a"))}, {Index: 2, Data: document(2, doc(7, "c"))}}, 2, "c", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tc := newTestClusterWith(t, 1, noLease, 0)
			c := tc.cores[1]
			err := c.applyAll(tt.entries)
			if tt.fails {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.version, c.state.Version)
			require.Equal(t, tt.want, string(c.state.Document.Source))
		})
	}
}

// TestDocumentsAfterRestart puts documents, restarts all instances, and puts another.
func TestDocumentsAfterRestart(t *testing.T) {
	tc := newTestClusterWith(t, 3, noLease, 0)
	put := func(version uint64) {
		done := tc.beginPut(tc.leader(), doc(version, fmt.Sprint("v", version)))
		tc.run(200 * time.Millisecond)
		require.NoError(t, (<-done).Err)
	}
	for version := uint64(1); version <= 20; version++ {
		put(version)
	}
	for id := range tc.cores {
		tc.start(id)
	}
	tc.run(2 * time.Second)
	for _, c := range tc.cores {
		require.Equal(t, "v20", string(c.Published().Document.Source))
		require.Equal(t, uint64(20), c.state.Version)
	}
	put(21)
	for _, c := range tc.cores {
		require.Equal(t, "v21", string(c.Published().Document.Source))
	}
}

// TestPutsDuringElection guards against changes that a new leader evaluates against the state
// before its log: committed entries that it has not applied yet must be applied first.
// Otherwise the change doesn't follow the state, and no instance can apply it.
func TestPutsDuringElection(t *testing.T) {
	tc := newTestClusterWith(t, 3, noLease, 0)
	for v := range uint64(5) {
		done := tc.beginPut(tc.leader(), doc(v+1, fmt.Sprint(v+1)))
		tc.run(100 * time.Millisecond)
		require.NoError(t, (<-done).Err)
	}
	for id := range tc.cores {
		tc.crash(id)
	}
	for id := range tc.cores {
		tc.start(id)
	}
	version := uint64(100)
	for range 100 {
		for id, c := range tc.cores {
			c.node.Tick(c.now())
			tc.process(id)
		}
		list := tc.messages
		tc.messages = nil
		for _, m := range list {
			// The put is handled together with the message, as a queued call is.
			c := tc.cores[m.To]
			c.node.Step(m, c.now())
			version++
			tc.beginPut(c, doc(version, "after"))
			tc.process(m.To)
		}
		tc.clock.now = tc.clock.now.Add(10 * time.Millisecond)
	}
	require.Equal(t, "after", string(tc.leader().Published().Document.Source))
}
