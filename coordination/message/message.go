// Package message defines messages that control instances exchange with each other
// and with entry instances. They are sent in the bodies of frames of protocol/control.
package message

import (
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/cluster"
)

// HelloReply answers a Hello call with the identity of a control instance.
type HelloReply struct {
	Node quorum.NodeID `cbor:"1,keyasint"`
	Name string        `cbor:"2,keyasint"`
	// LastIndex is the index of the last entry of its log.
	LastIndex uint64 `cbor:"3,keyasint"`
}

// JoinRequest asks the leader to add a control instance as a member, or to remove it.
type JoinRequest struct {
	Node quorum.NodeID `cbor:"1,keyasint"`
	Peer quorum.Peer   `cbor:"2,keyasint"`
	// Stopping is set if the instance is about to stop and gives up its vote where the quorum
	// is better off without it. Builds that don't know this field take the request for one
	// that adds the instance, and change nothing.
	Stopping bool `cbor:"3,keyasint,omitempty"`
}

// JoinReply answers a JoinRequest.
type JoinReply struct {
	// RetryLater asks the sender to send the request again later.
	RetryLater bool           `cbor:"1,keyasint,omitempty"`
	Members    quorum.Members `cbor:"2,keyasint"`
	// Leader is the member to ask next, zero if none is known.
	Leader quorum.NodeID `cbor:"3,keyasint,omitempty"`
}

// RegisterReply answers a Register call.
type RegisterReply struct {
	ID catkinrail.InstanceID `cbor:"1,keyasint"`
}

// Heartbeat is the periodic report of an entry instance to the leader.
type Heartbeat struct {
	ID catkinrail.InstanceID `cbor:"1,keyasint"`
	// Term is the highest term that the instance has seen.
	Term uint64 `cbor:"2,keyasint,omitempty"`
	// StateVersion is the version of the state that the instance has.
	StateVersion uint64 `cbor:"3,keyasint,omitempty"`
	// Synced is the version of the view for which it has handed over its records.
	Synced uint64 `cbor:"4,keyasint,omitempty"`
	// Busy holds, by move, why moves can't settle yet.
	Busy map[uint64]plan.Busy `cbor:"5,keyasint,omitempty"`
	// Announcements holds those that are new or due for renewal.
	Announcements []plan.Announcement `cbor:"6,keyasint,omitempty"`
	// Exceptions holds, by service, the settled buckets with records that were made
	// while the instance's zone was partitioned.
	Exceptions map[catkinrail.ServiceID][]uint32   `cbor:"7,keyasint,omitempty"`
	Leaving    bool                                `cbor:"8,keyasint,omitempty"`
	Counts     map[catkinrail.ServiceID]FlowCounts `cbor:"9,keyasint,omitempty"`
	// Left is set once the instance has stopped forwarding and is about to exit.
	Left bool `cbor:"11,keyasint,omitempty"`
	// Wait lets the leader delay its reply until there is a change to send.
	Wait bool `cbor:"10,keyasint,omitempty"`
	// Members is that of the last reply that listed the control instances.
	Members uint64 `cbor:"12,keyasint,omitempty"`
}

// FlowCounts holds an entry instance's counts for a service since its last
// heartbeat.
type FlowCounts struct {
	// Opened counts opening packets that were forwarded.
	Opened  uint64 `cbor:"1,keyasint,omitempty"`
	Refused uint64 `cbor:"2,keyasint,omitempty"`
	// Unrecorded counts packets dropped because no record says which backend
	// server their flow belongs to.
	Unrecorded uint64 `cbor:"3,keyasint,omitempty"`
	// BySlot counts opened flows by slot.
	BySlot map[catkinrail.SlotID]uint64 `cbor:"4,keyasint,omitempty"`
}

// HeartbeatReply answers a Heartbeat. It proves that its sender was the leader of
// the term and held a lease when it replied.
type HeartbeatReply struct {
	Term uint64 `cbor:"1,keyasint"`
	// Lease is the duration of the lease, counted from when the heartbeat was sent.
	Lease   time.Duration    `cbor:"2,keyasint"`
	Changes []cluster.Change `cbor:"3,keyasint,omitempty"`
	// State is the whole state. It replaces the changes if the leader no longer
	// has them.
	State *cluster.State `cbor:"4,keyasint,omitempty"`
	// Unregistered is set if the instance is no longer registered.
	Unregistered bool `cbor:"5,keyasint,omitempty"`
	// Control lists the addresses of the control instances, and Members is the index of the entry
	// that set them. They are left out if the instance has those of that index.
	Control []string `cbor:"6,keyasint,omitempty"`
	Members uint64   `cbor:"7,keyasint,omitempty"`
}

// ReadIndexReply answers a ReadIndex call. Index is that of the entry that an instance
// must have applied before it answers a read that began before the call.
type ReadIndexReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

// Renewal renews the report of an incarnation that the receiver already knows, without
// repeating it.
type Renewal struct {
	Name      string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint"`
	Sequence  uint64 `cbor:"3,keyasint"`
	Draining  bool   `cbor:"4,keyasint,omitempty"`
}

// Gossip carries what a control instance knows about backend servers to another.
type Gossip struct {
	// Changed holds incarnations whose state has changed.
	Changed  []catkinrail.Incarnation `cbor:"1,keyasint,omitempty"`
	Renewals []Renewal                `cbor:"2,keyasint,omitempty"`
	// Digest is a hash of the sender's directory; zero means no comparison.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	// Full is set if Changed is the sender's whole directory. It asks for the
	// receiver's whole directory in return.
	Full bool `cbor:"4,keyasint,omitempty"`
	// Load holds the load that the sender's entry instances observe, if there is any.
	Load *LoadShare `cbor:"5,keyasint,omitempty"`
}

// GossipReply answers a Gossip.
type GossipReply struct {
	// Differs is set if the directories are known to differ: by their digests, or
	// by a renewal that doesn't match the receiver's directory.
	Differs bool `cbor:"1,keyasint,omitempty"`
	// All is the receiver's whole directory, in reply to a Full message.
	All []catkinrail.Incarnation `cbor:"2,keyasint,omitempty"`
}

// FollowRequest asks a control instance for a stream of updates to an entry
// instance.
type FollowRequest struct {
	Name string          `cbor:"1,keyasint"`
	Zone catkinrail.Zone `cbor:"2,keyasint,omitempty"`
	// Document is the version of the document that the entry instance has.
	Document uint64 `cbor:"3,keyasint,omitempty"`
	// Resume is the point that the last stream had reached, if it came from the same
	// address.
	Resume ResumePoint `cbor:"4,keyasint,omitempty"`
	// Parts is set if the entry instance takes large updates in parts.
	Parts bool `cbor:"5,keyasint,omitempty"`
}

// ResumePoint is a point in a control instance's updates from which another stream
// can resume.
type ResumePoint struct {
	// Process is a random number that identifies the control instance's process,
	// because revisions count from its start. Zero means that there is no such point.
	Process uint64 `cbor:"1,keyasint,omitempty"`
	// Revision is the revision of the last change that was sent.
	Revision uint64 `cbor:"2,keyasint,omitempty"`
}

// FollowedBackend is an incarnation with what the control instance observed of it.
type FollowedBackend struct {
	catkinrail.Incarnation
	// Silent is set while the backend server doesn't report.
	Silent bool `cbor:"20,keyasint,omitempty"`
	// Superseded is set while another incarnation holds its address.
	Superseded bool `cbor:"21,keyasint,omitempty"`
}

// FollowUpdate is one update from a control instance to an entry instance.
type FollowUpdate struct {
	// Document is set if it is newer than the one that was sent before.
	Document *catkinrail.Document `cbor:"1,keyasint,omitempty"`
	Backends []FollowedBackend    `cbor:"2,keyasint,omitempty"`
	// Peers holds the control instances; it is sent when they have changed.
	Peers []quorum.Peer `cbor:"3,keyasint,omitempty"`
	// State is set on updates that carry the sender's own state, in the fields
	// below. They are sent after the data that they refer to.
	State bool `cbor:"6,keyasint,omitempty"`
	// Current is set if the sender is in contact with the leader.
	Current bool `cbor:"4,keyasint,omitempty"`
	// Complete is set if the sender's directory, which has been sent, includes what
	// the other control instances knew when the sender started.
	Complete bool `cbor:"5,keyasint,omitempty"`
	// Resume is the point up to which this stream has sent everything.
	Resume ResumePoint `cbor:"7,keyasint,omitempty"`
	// Evacuations is set if they are newer than those that were sent before.
	Evacuations *catkinrail.Evacuations `cbor:"8,keyasint,omitempty"`
	// Part is the next part of an encoded update with PartOf, and Last is set on its last part.
	// Other updates may come between the parts of a document.
	Part   []byte `cbor:"9,keyasint,omitempty"`
	PartOf PartOf `cbor:"10,keyasint,omitempty"`
	Last   bool   `cbor:"11,keyasint,omitempty"`
	// Passive holds the addresses of the peers that lend no flows on cold backend servers.
	Passive []string `cbor:"12,keyasint,omitempty"`
}

// PartOf is what an update that is sent in parts holds.
type PartOf uint8

// Updates that are sent in parts.
const (
	DocumentPart PartOf = iota
	DirectoryPart
)

// LoadReport is what an entry instance observes of the backend servers, sent to the control
// instance that it follows.
type LoadReport struct {
	Name string          `cbor:"1,keyasint"`
	Zone catkinrail.Zone `cbor:"2,keyasint,omitempty"`
	// Process is a random number that identifies the entry instance's process; Sequence
	// orders its reports.
	Process  uint64 `cbor:"3,keyasint"`
	Sequence uint64 `cbor:"4,keyasint"`
	// Servers holds the backend servers that the instance has flows on, all of them in
	// every report.
	Servers ServerLoads `cbor:"5,keyasint"`
	// Known is the revision of the last reply that the instance has applied.
	Known ResumePoint `cbor:"6,keyasint,omitempty"`
	// Wants is the number of flows, by service, that the instance would place on cold
	// backend servers before its next report.
	Wants map[string]int `cbor:"7,keyasint,omitempty"`
	// Returned holds the loans that ended since the last report.
	Returned []LoanReturn `cbor:"8,keyasint,omitempty"`
}

// LoanReturn is a loan that has ended.
type LoanReturn struct {
	// Sequence is that of the report whose reply carried the loan.
	Sequence  uint64           `cbor:"1,keyasint"`
	Token     catkinrail.Token `cbor:"2,keyasint"`
	StartedAt int64            `cbor:"3,keyasint"`
	// Flows is the number of flows that were left over.
	Flows int `cbor:"4,keyasint,omitempty"`
	// Idle is the time since the last use of the loan.
	Idle time.Duration `cbor:"5,keyasint,omitempty"`
}

// ServerLoad is the load of one incarnation of a backend server.
type ServerLoad struct {
	Server ServerKey `cbor:"1,keyasint"`
	// Pending is the number of requests without an answer and of handshakes that aren't
	// complete, Flows that of open flows.
	Pending int `cbor:"3,keyasint,omitempty"`
	Flows   int `cbor:"4,keyasint,omitempty"`
	// Latency is the mean time of a request, weighted by the instances' flows; zero if
	// unknown.
	Latency time.Duration `cbor:"5,keyasint,omitempty"`
}

// ZoneLoad is the load of a service's backend servers in one availability zone.
type ZoneLoad struct {
	Zone    catkinrail.Zone `cbor:"1,keyasint"`
	Service string          `cbor:"2,keyasint"`
	Slots   int             `cbor:"3,keyasint,omitempty"`
	Pending int             `cbor:"4,keyasint,omitempty"`
	Flows   int             `cbor:"5,keyasint,omitempty"`
	Latency time.Duration   `cbor:"6,keyasint,omitempty"`
}

// LoadReply answers a LoadReport.
type LoadReply struct {
	// Revision is the point that an instance has reached once it has applied the reply.
	Revision ResumePoint `cbor:"1,keyasint"`
	// Whole is set if Servers holds all loaded backend servers of the receiver's zone;
	// otherwise it holds those that changed since the receiver's last reply.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// Servers holds the sums over all reporting instances, the receiver included.
	Servers ServerLoads `cbor:"3,keyasint"`
	// Zones holds the sums of the other zones if they changed since the receiver's last
	// reply.
	Zones []ZoneLoad `cbor:"4,keyasint,omitempty"`
	// Instances is the number of entry instances of the receiver's zone that report.
	Instances int    `cbor:"5,keyasint,omitempty"`
	Loans     []Loan `cbor:"6,keyasint,omitempty"`
	// Sequence is that of the receiver's report that the sums include.
	Sequence uint64 `cbor:"7,keyasint,omitempty"`
}

// LoadShare carries the sums over the entry instances that follow a control instance to
// another one.
type LoadShare struct {
	// From is the sender's address. Process identifies its process; Sequence orders its
	// messages to one receiver.
	From     string `cbor:"1,keyasint"`
	Process  uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	// Servers holds the backend servers of the zones that the receiver wants, Zones the
	// totals of the other zones.
	Servers ServerLoads `cbor:"4,keyasint"`
	Zones   []ZoneLoad  `cbor:"5,keyasint,omitempty"`
	// Instances is the number of reporting entry instances, by their zone.
	Instances map[catkinrail.Zone]int `cbor:"6,keyasint,omitempty"`
	// Wants holds the zones whose backend servers the sender wants to receive.
	Wants []catkinrail.Zone `cbor:"7,keyasint,omitempty"`
	// Arrived holds the entry instances that have begun to report to the sender, so that
	// the receiver drops what they reported to it before.
	Arrived []ReportMark `cbor:"8,keyasint,omitempty"`
}

// ReportMark identifies a report of an entry instance.
type ReportMark struct {
	Name     string `cbor:"1,keyasint"`
	Process  uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
}

// Loan permits an entry instance to open a number of flows on a cold backend server.
type Loan struct {
	Token     catkinrail.Token `cbor:"1,keyasint"`
	StartedAt int64            `cbor:"2,keyasint"`
	Flows     int              `cbor:"3,keyasint"`
}
