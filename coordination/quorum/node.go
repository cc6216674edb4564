package quorum

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Role is what a node does at present.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Timing sets the node's intervals.
type Timing struct {
	// HeartbeatInterval is the interval between a leader's messages.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the least time without a leader's message after which a node
	// stands for election; the greatest is twice as long. It also bounds the
	// leader's lease.
	ElectionTimeout time.Duration
	// NoLease says that nobody relies on a leader's lease. A node that restarted
	// then votes and stands at once, which shortens the way back after a loss of
	// all nodes.
	NoLease bool
}

// DefaultTiming suits availability zones a few milliseconds apart.
var DefaultTiming = Timing{HeartbeatInterval: 60 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond}

// Limits of messages.
const (
	maxAppendEntries = 256
	// driftPercent is the deviation of clock rates that leases allow for.
	driftPercent = 10
	// startDivisor sets the least time after a start at which a node without
	// leases stands for election to a part of the usual one: nodes that start
	// together must find each other first.
	startDivisor = 8
	// campaignDivisor sets the least time between two campaigns of a candidate.
	campaignDivisor = 4
)

// Errors of Propose and ChangeMembers. The entry is not in the log.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrMembersChange = errors.New("another change of members is under way")
)

// Node is one member. It isn't safe for concurrent use.
type Node struct {
	id     NodeID
	timing Timing
	rng    *rand.Rand

	hard    HardState
	saved   HardState
	log     log
	role    Role
	leader  NodeID
	members *Members
	// membersAt is the index of the entry that set members.
	membersAt uint64

	now int64
	// heard is the time of the last message from a leader, or of the start: a
	// node that restarted may have promised a leader its time.
	heard int64
	// synced is the time of the last message of a leader that left nothing to
	// fetch.
	synced   int64
	deadline int64
	beat     int64
	// elected is the time at which the node became leader.
	elected  int64
	votes    map[NodeID]bool
	progress map[NodeID]*progress
	messages []Message
	snapshot *Snapshot
	// install is a snapshot that was received and not handed out yet.
	install *Snapshot
}

// progress is what a leader knows of another node.
type progress struct {
	match, next uint64
	// acked is the sending time of the last message that the node answered.
	acked int64
	// installing is the time at which a snapshot was sent.
	installing int64
	// added is the time at which the node became known to the leader.
	added int64
}

// Stored is what a node finds on its disk.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// New returns a node that continues from what is on its disk.
func New(id NodeID, timing Timing, seed uint64, stored Stored, now int64) *Node {
	n := &Node{
		id: id, timing: timing, rng: rand.New(rand.NewPCG(seed, uint64(id))),
		hard: stored.HardState, saved: stored.HardState,
		log: newLog(&stored.Snapshot, stored.Entries), now: now, heard: now,
	}
	n.snapshot = &stored.Snapshot
	n.refreshMembers()
	n.resetDeadline()
	if timing.NoLease {
		n.heard = now - int64(timing.ElectionTimeout)
		span := int64(timing.ElectionTimeout) / startDivisor
		n.deadline = now + span + n.rng.Int64N(2*span)
	}
	return n
}

// refreshMembers takes over the latest members in the log. They are in force
// from the moment they are appended, and no longer once they are cut off.
func (n *Node) refreshMembers() {
	n.members, n.membersAt = n.membersUpTo(n.log.last())
	if n.role != Leader {
		return
	}
	for id := range n.members.Nodes {
		if n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.last() + 1, added: n.now}
		}
	}
	for id := range n.progress {
		if _, ok := n.members.Nodes[id]; !ok {
			delete(n.progress, id)
		}
	}
}

// ID returns the node's identifier.
func (n *Node) ID() NodeID { return n.id }

// Role returns the node's present role.
func (n *Node) Role() Role { return n.role }

// Term returns the present term.
func (n *Node) Term() uint64 { return n.hard.Term }

// LeaderID returns the leader of the term, or zero if it isn't known.
func (n *Node) LeaderID() NodeID { return n.leader }

// Members returns the members in force.
func (n *Node) Members() *Members { return n.members.Clone() }

// LastIndex returns the index of the last entry.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// CommitIndex returns the index of the last committed entry.
func (n *Node) CommitIndex() uint64 { return n.log.commit }

// MatchIndex returns the index up to which another node's log is known to agree.
func (n *Node) MatchIndex(id NodeID) uint64 {
	if p := n.progress[id]; p != nil {
		return p.match
	}
	return 0
}

func (n *Node) resetDeadline() {
	span := int64(n.timing.ElectionTimeout)
	n.deadline = n.now + span + n.rng.Int64N(span)
}

// resetCampaign sets when a candidate asks again. Answers come within
// milliseconds, so that it need not wait as long as for a leader; chance keeps
// candidates that split the votes apart.
func (n *Node) resetCampaign() {
	span := int64(n.timing.ElectionTimeout) / campaignDivisor
	n.deadline = n.now + span + n.rng.Int64N(2*span)
}

// Leading reports whether the node is the leader, has committed an entry of its
// term and holds a lease: no other node can be leader at this time.
func (n *Node) Leading(now int64) bool {
	if n.role != Leader {
		return false
	}
	if t, _ := n.log.term(n.log.commit); t != n.hard.Term {
		return false
	}
	return now < n.leaseEnd()
}

// leaseEnd returns the time up to which a majority will elect no other leader.
func (n *Node) leaseEnd() int64 {
	acked := n.quorumValue(func(id NodeID) int64 {
		if id == n.id {
			return n.now
		}
		return n.progress[id].acked
	})
	return acked + int64(n.timing.ElectionTimeout)*(100-driftPercent)/100
}

// quorumValue returns the greatest value that a majority of voters reaches.
func (n *Node) quorumValue(value func(NodeID) int64) int64 {
	var list []int64
	for id := range n.members.Nodes {
		if n.members.Voter(id) {
			list = append(list, value(id))
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// Tick tells the node the time.
func (n *Node) Tick(now int64) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.deadline && n.members.Voter(n.id) {
		n.campaign(PreCandidate)
	}
}

func (n *Node) tickLeader() {
	if n.now >= n.beat {
		n.beat = n.now + int64(n.timing.HeartbeatInterval)
		n.broadcast()
	}
	// A leader without a majority steps down, so that its callers look elsewhere.
	if n.now > max(n.leaseEnd(), n.elected)+int64(n.timing.ElectionTimeout) {
		n.follow(n.hard.Term, 0)
	}
}

// Propose appends data to the log and returns its index. Only the entry's
// appearance among committed entries, with the same term, tells that it is in
// force.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	return n.propose(Entry{Kind: EntryData, Data: data})
}

func (n *Node) propose(e Entry) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	e.Index, e.Term = n.log.last()+1, n.hard.Term
	n.log.append([]Entry{e})
	if e.Kind == EntryMembers {
		n.refreshMembers()
	}
	n.broadcast()
	return e.Index, e.Term, nil
}

// ChangeMembers proposes members that differ from those in force by one node.
func (n *Node) ChangeMembers(m *Members) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.membersAt > n.log.commit || !n.committedOwnTerm() {
		return ErrMembersChange
	}
	if d := difference(n.members, m); d > 1 {
		return fmt.Errorf("members differ by %d nodes, not 1", d)
	}
	_, _, err := n.propose(Entry{Kind: EntryMembers, Members: m})
	return err
}

func (n *Node) committedOwnTerm() bool {
	t, _ := n.log.term(n.log.commit)
	return t == n.hard.Term
}

// difference counts the nodes that are a voter in one of the sets only.
func difference(a, b *Members) int {
	d := 0
	for id := range a.Nodes {
		if a.Voter(id) != b.Voter(id) {
			d++
		}
	}
	for id := range b.Nodes {
		if _, ok := a.Nodes[id]; !ok && b.Voter(id) {
			d++
		}
	}
	return d
}

// Compact replaces the entries up to the snapshot's index by the snapshot.
func (n *Node) Compact(s *Snapshot) {
	n.snapshot = s
	n.log.compact(s.Index)
}

// membersUpTo returns the members in force at the entry, and the index of the
// entry that set them.
func (n *Node) membersUpTo(index uint64) (*Members, uint64) {
	for i := index; i > n.log.first(); i-- {
		if e := &n.log.entries[i-n.log.first()]; e.Kind == EntryMembers {
			return e.Members.Clone(), i
		}
	}
	return n.snapshot.Members.Clone(), n.snapshot.Index
}

// Snapshot returns a snapshot of everything that was applied, given the state's
// encoding.
func (n *Node) Snapshot(data []byte) *Snapshot {
	term, _ := n.log.term(n.log.applied)
	members, _ := n.membersUpTo(n.log.applied)
	return &Snapshot{Index: n.log.applied, Term: term, Members: *members, Data: data}
}

// Ready returns what the caller must do now. The caller must do it before it
// calls another method.
func (n *Node) Ready() Ready {
	var r Ready
	if n.hard != n.saved {
		h := n.hard
		r.HardState = &h
		n.saved = n.hard
	}
	r.Snapshot, n.install = n.install, nil
	if n.log.unstable <= n.log.last() {
		r.Entries = n.log.slice(n.log.unstable, len(n.log.entries))
		n.log.unstable = n.log.last() + 1
	}
	// What this call hands out is on disk before anything depends on it.
	n.log.stable = n.log.last()
	if n.role == Leader {
		n.advanceCommit()
	}
	r.Messages, n.messages = n.messages, nil
	if n.log.applied < n.log.commit {
		r.Committed = n.log.slice(n.log.applied+1, int(n.log.commit-n.log.applied))
		n.log.applied = n.log.commit
	}
	return r
}

// EntriesAfter returns the entries that follow the given index.
func (n *Node) EntriesAfter(index uint64) []Entry {
	return n.log.slice(index+1, len(n.log.entries))
}

// AppliedIndex returns the index of the last entry that was handed out to be
// applied.
func (n *Node) AppliedIndex() uint64 { return n.log.applied }

// SnapshotIndex returns the index that the latest snapshot covers.
func (n *Node) SnapshotIndex() uint64 { return n.log.first() }
