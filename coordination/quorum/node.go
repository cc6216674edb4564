package quorum

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Role is a node's role in the quorum.
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

// Timing sets a node's intervals and timeouts.
type Timing struct {
	// HeartbeatInterval is the time between a leader's messages to another node.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without a leader's message after which
	// a node campaigns; the actual time is random and less than twice as long. It
	// also bounds the leader's lease.
	ElectionTimeout time.Duration
	// NoLease says that nothing relies on a leader's lease. A restarted node then
	// votes at once and campaigns early, which shortens the recovery after all
	// nodes have stopped.
	NoLease bool
}

// DefaultTiming suits availability zones a few milliseconds apart.
var DefaultTiming = Timing{HeartbeatInterval: 60 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond}

// Limits of messages and timing.
const (
	// maxAppendEntries is the maximum number of entries in an Append, maxAppendBytes the size
	// of their data from which no further one is added.
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
	// maxClockDriftPercent is the difference in clock rates that leases allow for.
	maxClockDriftPercent = 10
	// startupElectionDivisor divides the election timeout to give the minimum time
	// after its start at which a node without leases campaigns: nodes that start
	// together must connect first.
	startupElectionDivisor = 8
	// campaignDivisor divides the election timeout to give the minimum time between
	// two campaigns of a candidate.
	campaignDivisor = 4
	// staggerDivisor divides the election timeout to give the time between the campaigns
	// of two nodes that a started node has probed. It exceeds the latency between
	// availability zones, so that the first campaign reaches the others before theirs.
	staggerDivisor = 30
)

// Errors of Propose, ChangeMembers and BeginRead. Nothing was appended to the log.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrMembersChange = errors.New("another change of members is under way")
)

// Node is one member of the quorum. It isn't safe for concurrent use.
type Node struct {
	id     NodeID
	timing Timing
	rng    *rand.Rand

	hard HardState
	// saved is the hard state that was loaded or that Ready returned last.
	saved   HardState
	log     log
	role    Role
	leader  NodeID
	members *Members
	// membersIndex is the index of the entry that set members.
	membersIndex uint64

	now int64
	// lastLeaderContact is the time of the last message from a leader, or of the
	// start: a leader may hold a lease that relies on this node from before its
	// restart.
	lastLeaderContact int64
	// lastLed is the latest time at which this node led.
	lastLed int64
	// synced is the time of the last message from a leader after which the node had
	// all that the leader had committed.
	synced int64
	// deadline is the time at which the node campaigns next.
	deadline      int64
	nextHeartbeat int64
	// electedAt is the time at which the node became leader.
	electedAt int64
	votes     map[NodeID]bool
	progress  map[NodeID]*progress
	messages  []Message
	snapshot  *Snapshot
	// receivedSnapshot is a leader's snapshot that Ready has not returned yet.
	receivedSnapshot *Snapshot
	// startedAt is the time at which the node was created.
	startedAt int64
	// offer is set once this node wants to hand its vote over.
	offer *offer
	// reservations holds, by sender, the places that are kept for offered votes.
	reservations map[NodeID]reservation
	// known are the contacts of the latest leader, earlier those of the one before.
	known, earlier knownContacts
	// firstContact is the time of the first message of the leader that is followed.
	firstContact int64
	// heard holds the times of messages since the leader's latest one.
	heard map[NodeID]int64
}

// progress is a leader's record of another node.
type progress struct {
	match, next uint64
	// acked is the sending time of the latest message that the node answered.
	acked int64
	// snapshotSentAt is the time at which a snapshot was sent, or zero if none is
	// pending.
	snapshotSentAt int64
	// addedAt is the time at which the node was added, or zero if it was a member
	// when the leader was elected and the time isn't known.
	addedAt int64
	// heardAt is the time at which an earlier leader last heard the node, or that of the
	// election.
	heardAt int64
	// confirmAt is the time from which silence since heardAt counts.
	confirmAt int64
	// heldBy is the node that answers for this one, or zero.
	heldBy NodeID
}

// Stored is the state that a node reads from its disk.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// New returns a node that continues from its stored state.
func New(id NodeID, timing Timing, seed uint64, stored Stored, now int64) *Node {
	n := &Node{
		id: id, timing: timing, rng: rand.New(rand.NewPCG(seed, uint64(id))),
		hard: stored.HardState, saved: stored.HardState,
		log: newLog(&stored.Snapshot, stored.Entries), now: now, lastLeaderContact: now,
		startedAt: now, reservations: map[NodeID]reservation{}, heard: map[NodeID]int64{},
	}
	n.snapshot = &stored.Snapshot
	n.refreshMembers()
	n.resetElectionDeadline()
	if timing.NoLease {
		n.lastLeaderContact = now - int64(timing.ElectionTimeout)
		span := int64(timing.ElectionTimeout) / startupElectionDivisor
		n.deadline = now + span + n.rng.Int64N(2*span)
		n.probe()
	}
	return n
}

// probe tells the other voters that this node has started.
func (n *Node) probe() {
	for _, id := range n.members.sorted() {
		if id != n.id && n.members.Voter(id) && n.members.Voter(n.id) && n.hard.Heir == 0 {
			n.send(Message{Kind: Probe, To: id})
		}
	}
}

// refreshMembers applies the latest members in the log. Members take effect when
// their entry is appended, and are reverted when it is truncated.
func (n *Node) refreshMembers() {
	n.members, n.membersIndex = n.membersUpTo(n.log.last())
	if n.role != Leader {
		return
	}
	for id := range n.members.Nodes {
		if n.progress[id] == nil {
			n.progress[id] = &progress{next: n.log.last() + 1, addedAt: n.now}
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

// Role returns the node's current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// LeaderID returns the leader of the term, or zero if it isn't known.
func (n *Node) LeaderID() NodeID { return n.leader }

// Members returns the members in force.
func (n *Node) Members() *Members { return n.members.Clone() }

// LastIndex returns the index of the last entry.
func (n *Node) LastIndex() uint64 { return n.log.last() }

// CommitIndex returns the index of the last committed entry.
func (n *Node) CommitIndex() uint64 { return n.log.commit }

// MatchIndex returns, on the leader, the index up to which another node's log is
// known to match its own.
func (n *Node) MatchIndex(id NodeID) uint64 {
	if p := n.progress[id]; p != nil {
		return p.match
	}
	return 0
}

func (n *Node) resetElectionDeadline() {
	span := int64(n.timing.ElectionTimeout)
	n.deadline = n.now + span + n.rng.Int64N(span)
}

// resetCampaignDeadline sets when a candidate campaigns again. Answers arrive
// within milliseconds, so it waits less than for a leader. The wait is random, so
// that candidates that split the vote don't campaign together again.
func (n *Node) resetCampaignDeadline() {
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

// leaseEnd returns the time until which a majority will elect no other leader.
func (n *Node) leaseEnd() int64 {
	acked := n.quorumValue(func(id NodeID) int64 {
		if n.carries(id) {
			return n.now
		}
		return n.progress[id].acked
	})
	return acked + int64(n.timing.ElectionTimeout)*(100-maxClockDriftPercent)/100
}

// quorumValue returns the greatest value that the majorities of voters have reached.
func (n *Node) quorumValue(value func(NodeID) int64) int64 {
	lowest := int64(math.MaxInt64)
	for _, voters := range n.members.majorities() {
		if len(voters) == 0 {
			return 0
		}
		list := make([]int64, len(voters))
		for i, id := range voters {
			list[i] = value(id)
		}
		slices.Sort(list)
		lowest = min(lowest, list[(len(list)-1)/2])
	}
	return lowest
}

// Tick advances the node's time and sends a heartbeat or campaigns if it is due.
func (n *Node) Tick(now int64) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.deadline && n.electable() {
		n.campaign(PreCandidate)
	}
}

// electable reports whether the node may campaign: if it has a vote that it hasn't handed over, or had one until a removal that
// may not be committed. Its log may then be the longest, so that no other node can be elected.
func (n *Node) electable() bool {
	if n.hard.Heir != 0 {
		return false
	}
	if n.members.Voter(n.id) || n.membersIndex <= n.log.commit {
		return n.members.Voter(n.id)
	}
	before, _ := n.membersUpTo(n.membersIndex - 1)
	return before.Voter(n.id)
}

func (n *Node) tickLeader() {
	if n.now >= n.nextHeartbeat {
		n.nextHeartbeat = n.now + int64(n.timing.HeartbeatInterval)
		n.broadcast()
	}
	n.completeReplacement()
	// A leader out of contact with a majority steps down, so that its clients look
	// for another.
	if n.now > max(n.leaseEnd(), n.electedAt)+int64(n.timing.ElectionTimeout) {
		n.becomeFollower(n.hard.Term, 0)
		return
	}
	n.lastLed = n.now
}

// Propose appends data to the log and returns the entry's index and term. The
// entry is committed only once Ready returns it in Committed with the same term.
func (n *Node) Propose(data []byte, key EntryKey) (index, term uint64, err error) {
	return n.propose(Entry{Kind: EntryData, Data: data, Key: key})
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

// ChangeMembers proposes members that differ from those in force by at most one voter, or by
// one voter that takes the place of another. It returns ErrMembersChange until the previous
// change and an entry of the current term are committed.
func (n *Node) ChangeMembers(m *Members) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.membersIndex > n.log.commit || !n.committedOwnTerm() || n.members.joint() {
		return ErrMembersChange
	}
	added, removed := voterDifference(n.members, m)
	switch {
	case len(added) == 1 && len(removed) == 1:
		m = replacing(n.members, m, added[0], removed[0])
	case len(added)+len(removed) > 1:
		return fmt.Errorf("change adds %d voters and removes %d; at most 1 may be added, removed or replaced at a time", len(added), len(removed))
	}
	_, _, err := n.propose(Entry{Kind: EntryMembers, Members: m})
	return err
}

// replacing returns the members between two sets of members in which a voter takes the place of
// another: with both of them. The leaving one is marked as stopping if it isn't a learner afterwards.
func replacing(from, to *Members, joining, leaving NodeID) *Members {
	m := to.WithStopping(leaving, !to.Learners[leaving])
	m.Nodes[leaving] = from.Nodes[leaving]
	delete(m.Learners, leaving)
	m.Joining, m.Leaving = map[NodeID]bool{joining: true}, map[NodeID]bool{leaving: true}
	return m
}

// completeReplacement takes the vote of a voter whose successor has been added, once the addition is
// committed. The voter stays a learner unless it is marked as stopping.
func (n *Node) completeReplacement() {
	if !n.members.joint() || n.membersIndex > n.log.commit || !n.committedOwnTerm() {
		return
	}
	m := n.members.Clone()
	for id := range n.members.Leaving {
		if m.Stopping[id] {
			m = m.Without(id)
		} else {
			m.Learners[id] = true
		}
	}
	m.Joining, m.Leaving = nil, nil
	if _, _, err := n.propose(Entry{Kind: EntryMembers, Members: m}); err != nil {
		panic(err)
	}
}

func (n *Node) committedOwnTerm() bool {
	t, _ := n.log.term(n.log.commit)
	return t == n.hard.Term
}

// voterDifference returns the nodes that are a voter only in to, and those that are one only in
// from.
func voterDifference(from, to *Members) (added, removed []NodeID) {
	for id := range to.Nodes {
		if to.Voter(id) && !from.Voter(id) {
			added = append(added, id)
		}
	}
	for id := range from.Nodes {
		if from.Voter(id) && !to.Voter(id) {
			removed = append(removed, id)
		}
	}
	return added, removed
}

// Compact replaces the entries up to the snapshot's index by the snapshot.
func (n *Node) Compact(s *Snapshot) {
	n.snapshot = s
	n.log.compact(s.Index)
}

// membersUpTo returns the members in force at the entry, and the index of the
// entry that set them.
func (n *Node) membersUpTo(index uint64) (*Members, uint64) {
	for i := index; i > n.log.snapshotIndex(); i-- {
		if e := &n.log.entries[i-n.log.snapshotIndex()]; e.Kind == EntryMembers {
			return e.Members.Clone(), i
		}
	}
	return n.snapshot.Members.Clone(), n.snapshot.Index
}

// Snapshot returns a snapshot of all applied entries. Data is the encoded state.
func (n *Node) Snapshot(data []byte) *Snapshot {
	term, _ := n.log.term(n.log.applied)
	members, _ := n.membersUpTo(n.log.applied)
	return &Snapshot{Index: n.log.applied, Term: term, Members: *members, Data: data}
}

// Ready returns what the caller must do now. The caller must do it before it
// calls another method.
func (n *Node) Ready() Ready {
	var r Ready
	n.releaseHeld()
	if !n.hard.Equal(&n.saved) {
		h := n.hard
		r.HardState = &h
		n.saved = n.hard
	}
	r.Snapshot, n.receivedSnapshot = n.receivedSnapshot, nil
	if n.log.unstable <= n.log.last() {
		r.Entries = n.log.slice(n.log.unstable, len(n.log.entries))
		n.log.unstable = n.log.last() + 1
	}
	// The caller writes these entries before it sends or applies anything.
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

// EntriesAfter returns the entries after the given index.
func (n *Node) EntriesAfter(index uint64) []Entry {
	return n.log.slice(index+1, len(n.log.entries))
}

// AppliedIndex returns the index of the last entry that Ready returned as committed.
func (n *Node) AppliedIndex() uint64 { return n.log.applied }

// SnapshotIndex returns the index of the last entry that the snapshot covers.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshotIndex() }
