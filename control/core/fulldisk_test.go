package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
)

// fullDisks runs a cluster whose disks fill up. An instance that fails to write reopens its journal
// at an interval, as recover does.
type fullDisks struct {
	*testCluster
	// reopenAt holds the instances whose journal is to be reopened, and when.
	reopenAt map[quorum.NodeID]time.Time
}

// run advances the clock by d.
func (f *fullDisks) run(d time.Duration) {
	const tick = 10 * time.Millisecond
	for end := f.clock.now.Add(d); f.clock.now.Before(end); f.clock.now = f.clock.now.Add(tick) {
		for i := 1; i <= f.n; i++ {
			id := quorum.NodeID(i)
			if at, failed := f.reopenAt[id]; failed {
				f.reopen(id, at)
				continue
			}
			f.cores[id].node.Tick(f.cores[id].now())
			f.process(id)
		}
		list := f.messages
		f.messages = nil
		for _, m := range list {
			if _, failed := f.reopenAt[m.To]; !failed {
				f.cores[m.To].node.Step(m, f.cores[m.To].now())
				f.process(m.To)
			}
		}
		f.join()
	}
}

// join makes the instances that are out of contact, or have no vote, ask to join.
func (f *fullDisks) join() {
	lead := f.leader()
	if lead == nil || f.clock.now.UnixMilli()%200 != 0 {
		return
	}
	for i := 1; i <= f.n; i++ {
		id := quorum.NodeID(i)
		req := &message.JoinRequest{Node: id, Peer: quorum.Peer{Name: fmt.Sprint("control-", id), Addr: fmt.Sprint("addr-", id)}}
		if _, failed := f.reopenAt[id]; !failed && !f.cores[id].Joined(req.Peer) {
			// It asks again, whatever the answer is.
			_ = lead.joinStep(req)
			f.process(lead.cfg.ID)
		}
	}
}

// process does for a core what Run does after each event.
func (f *fullDisks) process(id quorum.NodeID) {
	c := f.cores[id]
	c.runLeader()
	if c.handleReady() != nil {
		c.failRequests()
		f.reopenAt[id] = f.clock.now.Add(reopenInterval)
		return
	}
	c.confirmReads()
	c.publish()
}

func (f *fullDisks) reopen(id quorum.NodeID, at time.Time) {
	switch {
	case f.clock.now.Before(at):
	case f.cores[id].reopen() == nil:
		delete(f.reopenAt, id)
	default:
		f.reopenAt[id] = f.clock.now.Add(reopenInterval)
	}
}

// put puts a document at the leader, if there is one, and reports whether it was acknowledged.
func (f *fullDisks) put(version uint64, size int) bool {
	c := f.leader()
	if c == nil || f.reopenAt[c.cfg.ID] != (time.Time{}) {
		f.run(100 * time.Millisecond)
		return false
	}
	done := f.beginPut(c, doc(version, fmt.Sprint(version, string(make([]byte, size)))))
	for range 100 {
		f.run(10 * time.Millisecond)
		select {
		case r := <-done:
			return r.Err == nil
		default:
		}
	}
	return false
}

// TestFullDisksInTurn fills the disks of all instances, one after another, at any write: of an
// entry, a snapshot or a new segment, on the leader and on the others, also while an instance joins.
// Once the last has room again, documents must be acknowledged as before, and nothing that was
// acknowledged may be lost.
func TestFullDisksInTurn(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 5).Draw(rt, "instances")
		f := &fullDisks{testCluster: newTestClusterWith(t, n, noLease, 12*time.Second), reopenAt: map[quorum.NodeID]time.Time{}}
		acked, version := uint64(0), uint64(0)
		put := func() {
			version++
			// Random data doesn't compress, so that snapshots become due.
			if f.put(version, rapid.SampledFrom([]int{10, 100_000}).Draw(rt, "size")) {
				acked = version
			}
		}
		if rapid.Bool().Draw(rt, "join") {
			f.addInstance(quorum.NodeID(n+1), n+1)
		}
		for i := 1; i <= f.n; i++ {
			id := quorum.NodeID(i)
			f.disks[id].FailAfter(rapid.IntRange(0, 12).Draw(rt, "left"), fake.ErrFull)
			for range rapid.IntRange(1, 6).Draw(rt, "puts") {
				put()
				if rapid.Bool().Draw(rt, "snapshot") {
					f.snapshot(id)
				}
			}
			f.run(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "millis")) * time.Millisecond)
			f.disks[id].FailAfter(-1, nil)
			f.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause")) * time.Millisecond)
		}
		f.run(5 * time.Second)
		lead := f.leader()
		require.NotNil(rt, lead)
		version++
		require.True(rt, f.put(version, 10), "a document is not acknowledged although all disks have room")
		f.run(time.Second)
		for i := 1; i <= f.n; i++ {
			require.Equal(rt, version, f.cores[quorum.NodeID(i)].Published().Document.Version)
		}
		require.GreaterOrEqual(rt, version, acked)
	})
}

// snapshot writes a snapshot at an instance, as if the log were long.
func (f *fullDisks) snapshot(id quorum.NodeID) {
	c := f.cores[id]
	if _, failed := f.reopenAt[id]; failed || c.node.AppliedIndex() == c.snapshotIndex() {
		return
	}
	if c.writeSnapshot() != nil {
		c.failRequests()
		f.reopenAt[id] = f.clock.now.Add(reopenInterval)
	}
}
