// Package quorum replicates a log of entries among control instances, as Raft
// does: one leader at a time, entries committed by a majority, and leases that
// tell a leader whether it is still the only one. It does no I/O: messages and
// times go in; messages, writes and committed entries come out.
package quorum

import (
	"maps"
	"slices"
)

// NodeID identifies a control instance. An instance that lost its disk rejoins
// with a new identifier.
type NodeID uint64

// EntryKind is the type of a log entry.
type EntryKind uint8

// Entry kinds.
const (
	// EntryData holds a change of the replicated state.
	EntryData EntryKind = iota
	// EntryNoop is empty; a new leader appends it first.
	EntryNoop
	// EntryMembers holds the members in force from this entry on.
	EntryMembers
)

// EntryKey identifies what an entry replaces as a whole: of several entries with the same
// key only the last has an effect. Zero is no key.
type EntryKey uint8

// Entry is an entry of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
	// Members is set for EntryMembers.
	Members *Members `cbor:"5,keyasint,omitempty"`
	Key     EntryKey `cbor:"6,keyasint,omitempty"`
}

// Members is the membership of the quorum.
type Members struct {
	// Nodes holds all members, including learners.
	Nodes map[NodeID]Peer `cbor:"1,keyasint"`
	// Learners receive the log but have no vote.
	Learners map[NodeID]bool `cbor:"2,keyasint,omitempty"`
	// Joining and Leaving are set while one voter takes the place of another. Elections and
	// commits then need a majority of the voters without those joining and a majority of the
	// voters without those leaving. Builds that don't know these fields need a majority of
	// all of them instead, which has a node in common with every such pair of majorities.
	Joining map[NodeID]bool `cbor:"3,keyasint,omitempty"`
	Leaving map[NodeID]bool `cbor:"4,keyasint,omitempty"`
	// Stopping holds voters that were told to stop and had to keep their votes. A learner takes
	// the place of one of them before that of any other. Builds that don't know this field drop
	// it.
	Stopping map[NodeID]bool `cbor:"5,keyasint,omitempty"`
}

// Peer holds the name, addresses and zone of a control instance.
type Peer struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	// Zone is the availability zone, if the instance reported one.
	Zone string `cbor:"3,keyasint,omitempty"`
	// Public is the address for backend servers and operators, if there is one.
	Public string `cbor:"4,keyasint,omitempty"`
	// Features are those that the instance announced; none for builds that announce none.
	Features Features `cbor:"5,keyasint,omitempty"`
	// Expendable is set if the instance may be lost at any time beside the tolerated losses,
	// so that nothing may depend on its vote.
	Expendable bool `cbor:"6,keyasint,omitempty"`
}

// Features is a set of abilities that builds of control instances differ in.
type Features uint32

// Features of control instances.
const (
	// FeatureEvacuation is set if the instance knows evacuations of zones in the
	// replicated state.
	FeatureEvacuation Features = 1 << iota
)

// AllFeatures are the features of this build.
const AllFeatures = FeatureEvacuation

// Announce reports whether every voter has announced all of the features.
func (m *Members) Announce(want Features) bool {
	for id, p := range m.Nodes {
		if m.Voter(id) && p.Features&want != want {
			return false
		}
	}
	return true
}

// Voter reports whether the node has a vote.
func (m *Members) Voter(id NodeID) bool {
	_, ok := m.Nodes[id]
	return ok && !m.Learners[id]
}

// Voters returns the number of nodes that have a vote.
func (m *Members) Voters() int {
	return len(m.Nodes) - len(m.Learners)
}

// joint reports whether a voter is taking the place of another.
func (m *Members) joint() bool {
	return len(m.Joining) > 0 || len(m.Leaving) > 0
}

// majorities returns the sets of voters of each of which a majority is needed: one set, or
// two while a voter is taking the place of another.
func (m *Members) majorities() [][]NodeID {
	var before, after []NodeID
	for id := range m.Nodes {
		if !m.Voter(id) {
			continue
		}
		if !m.Joining[id] {
			before = append(before, id)
		}
		if !m.Leaving[id] {
			after = append(after, id)
		}
	}
	if !m.joint() {
		return [][]NodeID{after}
	}
	return [][]NodeID{before, after}
}

// sorted returns the nodes in ascending order, which keeps runs reproducible.
func (m *Members) sorted() []NodeID {
	return slices.Sorted(maps.Keys(m.Nodes))
}

// Clone returns a deep copy.
func (m *Members) Clone() *Members {
	c := &Members{Nodes: map[NodeID]Peer{}, Learners: map[NodeID]bool{}}
	for id, p := range m.Nodes {
		c.Nodes[id] = p
	}
	for id := range m.Learners {
		c.Learners[id] = true
	}
	c.Joining, c.Leaving, c.Stopping = maps.Clone(m.Joining), maps.Clone(m.Leaving), maps.Clone(m.Stopping)
	return c
}

// Without returns a copy without the node.
func (m *Members) Without(id NodeID) *Members {
	c := m.WithStopping(id, false)
	delete(c.Nodes, id)
	delete(c.Learners, id)
	return c
}

// WithLearner returns a copy in which the node is a learner.
func (m *Members) WithLearner(id NodeID) *Members {
	c := m.WithStopping(id, false)
	c.Learners[id] = true
	return c
}

// WithStopping returns a copy in which the node is marked as stopping, or no longer.
func (m *Members) WithStopping(id NodeID, stopping bool) *Members {
	c := m.Clone()
	if c.Stopping == nil {
		c.Stopping = map[NodeID]bool{}
	}
	delete(c.Stopping, id)
	if stopping {
		c.Stopping[id] = true
	}
	if len(c.Stopping) == 0 {
		// An empty map isn't encoded, so that a decoded copy has none.
		c.Stopping = nil
	}
	return c
}

// Kind is the type of a message.
type Kind uint8

// Message kinds.
const (
	PreVote Kind = iota + 1
	PreVoteAnswer
	Vote
	VoteAnswer
	Append
	AppendAnswer
	Install
	InstallAnswer
	// Probe tells that its sender has just started and can be reached.
	Probe
	// Offer asks whether a node would take over the sender's votes, and Handover makes it do so.
	Offer
	OfferAnswer
	Handover
	HandoverAnswer
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{
		"none", "pre-vote", "pre-vote-answer", "vote", "vote-answer", "append", "append-answer", "install", "install-answer", "probe",
		"offer", "offer-answer", "handover", "handover-answer",
	}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Message is a message from one node to another.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	From NodeID `cbor:"2,keyasint"`
	To   NodeID `cbor:"3,keyasint"`
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm identify the last entry of a candidate, the entry before
	// an Append's entries, or the last entry that a snapshot covers. In an answer,
	// Index is the last entry that it confirms or, with Reject, the index at or
	// before which the leader should look for a matching entry.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Sent is the leader's time of sending in nanoseconds; answers return it.
	Sent int64 `cbor:"10,keyasint,omitempty"`
	// Snapshot is set for Install.
	Snapshot *Snapshot `cbor:"11,keyasint,omitempty"`
	// Addr is the address of the sender, in the first message of a call. Builds that don't
	// know this field ignore it, and answer members only.
	Addr string `cbor:"12,keyasint,omitempty"`
	// Held are the identities that an answer counts for beside that of its sender. Builds that don't
	// know this field count the sender's alone.
	Held []NodeID `cbor:"13,keyasint,omitempty"`
	// Transfer is set for offers and handovers of votes.
	Transfer *Transfer `cbor:"14,keyasint,omitempty"`
	// Contacts is set in an Append, and in the first answers to a new leader. Builds that don't know
	// this field ignore it, and count silence from their election.
	Contacts *Contacts `cbor:"15,keyasint,omitempty"`
}

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
}

// HardState is the state that must be on disk before a message that depends on it
// is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote NodeID `cbor:"2,keyasint,omitempty"`
	// Heir is the node that answers for this one, which then takes no part under its identity any more.
	Heir NodeID `cbor:"3,keyasint,omitempty"`
	// Held are the identities that this node answers for beside its own, in ascending order. Builds
	// that don't know this field drop it.
	Held []NodeID `cbor:"4,keyasint,omitempty"`
}

// Equal reports whether two hard states are the same.
func (h *HardState) Equal(other *HardState) bool {
	return h.Term == other.Term && h.Vote == other.Vote && h.Heir == other.Heir && slices.Equal(h.Held, other.Held)
}

// Ready is the work that the caller must do, in the order of the fields.
type Ready struct {
	// HardState must be written if it isn't nil.
	HardState *HardState
	// Snapshot must be written and its state restored if it isn't nil.
	Snapshot *Snapshot
	// Entries must be written. They replace entries of the same or a higher
	// index that were written before.
	Entries []Entry
	// Messages may be sent once all of the above is on disk.
	Messages []Message
	// Committed entries may be applied once all of the above is on disk.
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Messages) == 0 && len(r.Committed) == 0
}
