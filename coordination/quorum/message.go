// Package quorum agrees on a log of entries among control instances: one leader
// at a time, entries committed by a majority, and leases that tell a leader
// whether it is still the only one. It is pure step logic: messages and times
// go in; messages, writes and committed entries come out.
package quorum

import (
	"maps"
	"slices"
)

// NodeID identifies a control instance. One that lost its disk comes back under
// another identifier.
type NodeID uint64

// EntryKind says what an entry of the log holds.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryData holds a change of the agreed state.
	EntryData EntryKind = iota
	// EntryNoop is what a new leader commits first.
	EntryNoop
	// EntryMembers holds the members from here on.
	EntryMembers
)

// Entry is an entry of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
	// Members is set for EntryMembers.
	Members *Members `cbor:"5,keyasint,omitempty"`
}

// Members lists the control instances.
type Members struct {
	// Nodes gives the name and address of each.
	Nodes map[NodeID]Peer `cbor:"1,keyasint"`
	// Learners receive the log but have no vote.
	Learners map[NodeID]bool `cbor:"2,keyasint,omitempty"`
}

// Peer is how to reach a control instance.
type Peer struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
	// Zone is the availability zone, if the instance told it.
	Zone string `cbor:"3,keyasint,omitempty"`
	// Public is where backend servers and operators reach it, if anywhere.
	Public string `cbor:"4,keyasint,omitempty"`
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

// sorted returns the nodes in order, so that a run can be repeated exactly.
func (m *Members) sorted() []NodeID {
	return slices.Sorted(maps.Keys(m.Nodes))
}

// Clone returns a copy that may be changed.
func (m *Members) Clone() *Members {
	c := &Members{Nodes: map[NodeID]Peer{}, Learners: map[NodeID]bool{}}
	for id, p := range m.Nodes {
		c.Nodes[id] = p
	}
	for id := range m.Learners {
		c.Learners[id] = true
	}
	return c
}

// Kind says what a message is about.
type Kind uint8

// Kinds of messages.
const (
	PreVote Kind = iota + 1
	PreVoteAnswer
	Vote
	VoteAnswer
	Append
	AppendAnswer
	Install
	InstallAnswer
)

// String returns the name of the kind.
func (k Kind) String() string {
	names := [...]string{"none", "pre-vote", "pre-vote-answer", "vote", "vote-answer", "append", "append-answer", "install", "install-answer"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Message is sent between nodes.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	From NodeID `cbor:"2,keyasint"`
	To   NodeID `cbor:"3,keyasint"`
	Term uint64 `cbor:"4,keyasint"`
	// Index and LogTerm name the last entry of a candidate, the entry before an
	// Append's entries, the last entry that an answer confirms, or the last entry
	// that a snapshot covers.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Sent is the leader's time of sending, returned by the answer.
	Sent int64 `cbor:"10,keyasint,omitempty"`
	// Snapshot is set for Install.
	Snapshot *Snapshot `cbor:"11,keyasint,omitempty"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index   uint64  `cbor:"1,keyasint"`
	Term    uint64  `cbor:"2,keyasint"`
	Members Members `cbor:"3,keyasint"`
	Data    []byte  `cbor:"4,keyasint"`
}

// HardState must be on disk before a message that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote NodeID `cbor:"2,keyasint,omitempty"`
}

// Ready is what the caller must do, in the order of the fields.
type Ready struct {
	// HardState must be written if it isn't nil.
	HardState *HardState
	// Snapshot must be written and taken over, if it isn't nil.
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
