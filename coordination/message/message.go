// Package message defines what control instances tell each other and what entry
// instances and they tell one another. Each is the body of a frame of
// protocol/control.
package message

import (
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/cluster"
)

// HelloReply says who a control instance is.
type HelloReply struct {
	Node quorum.NodeID `cbor:"1,keyasint"`
	Name string        `cbor:"2,keyasint"`
	// LastIndex is the index of its last entry.
	LastIndex uint64 `cbor:"3,keyasint"`
}

// JoinRequest asks the leader to take in a control instance with a new disk. An
// earlier member of the same name is removed.
type JoinRequest struct {
	Node quorum.NodeID `cbor:"1,keyasint"`
	Peer quorum.Peer   `cbor:"2,keyasint"`
}

// JoinReply answers a JoinRequest.
type JoinReply struct {
	// RetryLater asks for the request to be sent again later.
	RetryLater    bool           `cbor:"1,keyasint,omitempty"`
	Members quorum.Members `cbor:"2,keyasint"`
	// Leader is the member to ask next, zero if none is known.
	Leader quorum.NodeID `cbor:"3,keyasint,omitempty"`
}

// RegisterReply answers a registration.
type RegisterReply struct {
	ID catkinrail.InstanceID `cbor:"1,keyasint"`
}

// Heartbeat is what an entry instance reports at intervals.
type Heartbeat struct {
	ID catkinrail.InstanceID `cbor:"1,keyasint"`
	// Term is the highest term that the instance has seen.
	Term   uint64               `cbor:"2,keyasint,omitempty"`
	StateVersion   uint64               `cbor:"3,keyasint,omitempty"`
	Synced uint64               `cbor:"4,keyasint,omitempty"`
	Busy   map[uint64]plan.Busy `cbor:"5,keyasint,omitempty"`
	// Announcements are new or due to be renewed.
	Announcements []plan.Announcement                 `cbor:"6,keyasint,omitempty"`
	Exceptions    map[catkinrail.ServiceID][]uint32   `cbor:"7,keyasint,omitempty"`
	Leaving       bool                                `cbor:"8,keyasint,omitempty"`
	Counts        map[catkinrail.ServiceID]FlowCounts `cbor:"9,keyasint,omitempty"`
	// Left says that the instance forwards nothing any more and ends.
	Left bool `cbor:"11,keyasint,omitempty"`
	// Wait lets the answer wait for a change.
	Wait bool `cbor:"10,keyasint,omitempty"`
}

// FlowCounts is what an entry instance counted for a service since its last
// heartbeat.
type FlowCounts struct {
	// Opened counts opening packets that were passed on.
	Opened  uint64 `cbor:"1,keyasint,omitempty"`
	Refused uint64 `cbor:"2,keyasint,omitempty"`
	// Unrecorded counts packets of flows whose place is not known any more.
	Unrecorded uint64 `cbor:"3,keyasint,omitempty"`
	// BySlot counts opened flows by slot.
	BySlot map[catkinrail.SlotID]uint64 `cbor:"4,keyasint,omitempty"`
}

// HeartbeatReply answers a Heartbeat. It proves that its sender was leader of
// the term and held a lease when it answered.
type HeartbeatReply struct {
	Term uint64 `cbor:"1,keyasint"`
	// Lease is the length of the lease, counted from the sending of the heartbeat.
	Lease   time.Duration    `cbor:"2,keyasint"`
	Changes []cluster.Change `cbor:"3,keyasint,omitempty"`
	// State replaces the changes if they are no longer known.
	State *cluster.State `cbor:"4,keyasint,omitempty"`
	// Unregistered says that the instance isn't registered any more.
	Unregistered bool `cbor:"5,keyasint,omitempty"`
}

// ReadIndexReply names the entry that an instance must have applied before it answers
// a read that began before the mark was taken.
type ReadIndexReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

// Renewal renews the report of an incarnation that the receiver knows.
type Renewal struct {
	Name     string `cbor:"1,keyasint"`
	StartedAt     int64  `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	Draining bool   `cbor:"4,keyasint,omitempty"`
}

// Gossip is what a control instance tells another about backend servers.
type Gossip struct {
	// Changed are incarnations whose state has changed.
	Changed []catkinrail.Incarnation `cbor:"1,keyasint,omitempty"`
	Renewals  []Renewal                  `cbor:"2,keyasint,omitempty"`
	// Digest is a hash of the sender's directory; zero asks for no comparison.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// Full says that Changed is the sender's whole directory, and asks for the
	// receiver's.
	Full bool `cbor:"4,keyasint,omitempty"`
}

// GossipReply answers a Gossip.
type GossipReply struct {
	// Differs says that the directories' digests differ.
	Differs bool `cbor:"1,keyasint,omitempty"`
	// All is the receiver's directory, in answer to a full one.
	All []catkinrail.Incarnation `cbor:"2,keyasint,omitempty"`
}

// FollowRequest begins a stream of updates to an entry instance.
type FollowRequest struct {
	Name string          `cbor:"1,keyasint"`
	Zone catkinrail.Zone `cbor:"2,keyasint,omitempty"`
	// Document is the version of the document that the entry instance has.
	Document uint64 `cbor:"3,keyasint,omitempty"`
	// Resume is what the last stream told, if it came from the same address.
	Resume ResumePoint `cbor:"4,keyasint,omitempty"`
}

// ResumePoint is a point in what a control instance tells, from which another stream
// can go on.
type ResumePoint struct {
	// Process is the random number of the control instance's process, and zero if
	// there is no such point: revisions count from its start.
	Process uint64 `cbor:"1,keyasint,omitempty"`
	// Revision is that of the last change that was told.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

// FollowedBackend is an incarnation with what control has observed of it.
type FollowedBackend struct {
	catkinrail.Incarnation
	// Silent is set while it doesn't report.
	Silent bool `cbor:"20,keyasint,omitempty"`
}

// FollowUpdate is what an entry instance hears of a control instance.
type FollowUpdate struct {
	// Document is set if it is newer than the one sent before.
	Document *catkinrail.Document `cbor:"1,keyasint,omitempty"`
	Backends []FollowedBackend    `cbor:"2,keyasint,omitempty"`
	// Peers are the control instances.
	Peers []quorum.Peer `cbor:"3,keyasint,omitempty"`
	// State is set on updates that tell the sender's own state, in the fields
	// below. They follow what they speak of.
	State bool `cbor:"6,keyasint,omitempty"`
	// Current says that the sender is in touch with the leader.
	Current bool `cbor:"4,keyasint,omitempty"`
	// Complete says that the sender's directory, which has been sent, holds what
	// the other control instances knew when it started.
	Complete bool `cbor:"5,keyasint,omitempty"`
	// Resume is the point up to which this stream has told everything.
	Resume ResumePoint `cbor:"7,keyasint,omitempty"`
}
