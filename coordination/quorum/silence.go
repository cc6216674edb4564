package quorum

import "time"

// Silence belongs to the group: a leader's messages tell how long each silent node hasn't answered and when
// each learner was added. Followers hand this on to the next leader, which may have started only after the end
// of the last one, and which counts on from there. Otherwise each election would start the time anew in which a
// removed node keeps its vote.

// AnswerTime is the age of a node's last answer up to which it isn't silent: several heartbeats.
const AnswerTime = 500 * time.Millisecond

// Times for which a new leader asks for itself before earlier silence counts.
const (
	// confirmTime is that for nodes which were silent under the last leader.
	confirmTime = AnswerTime
	// reconnectTime is that for the others. It is longer than a call that hangs since a split.
	reconnectTime = 1500 * time.Millisecond
)

// Contacts is what a leader knew of the other nodes.
type Contacts struct {
	// AgeMillis is the time since then in milliseconds.
	AgeMillis int64 `cbor:"1,keyasint,omitempty"`
	// List holds the nodes that were silent, and the learners.
	List []Contact `cbor:"2,keyasint,omitempty"`
}

// Contact tells how long ago the group last heard a node, and when the node was added.
type Contact struct {
	Node NodeID `cbor:"1,keyasint"`
	// SilentMillis and AddedMillis are in milliseconds. AddedMillis is zero if the time isn't known.
	SilentMillis int64 `cbor:"2,keyasint,omitempty"`
	AddedMillis  int64 `cbor:"3,keyasint,omitempty"`
}

// knownContacts are the contacts that a leader sent last, to this node or to one that hands them on.
type knownContacts struct {
	// at is the time of the message in nanoseconds, or zero without one.
	at   int64
	term uint64
	list []Contact
}

// contacts returns, on the leader, the nodes that are silent, and the learners, or nil if there are none.
func (n *Node) contacts() *Contacts {
	var list []Contact
	for _, id := range n.members.sorted() {
		if n.carries(id) || !n.members.Learners[id] && n.Responding(id, AnswerTime) {
			continue
		}
		c := Contact{Node: id, SilentMillis: (n.now - n.lastHeard(id)) / int64(time.Millisecond)}
		if added := n.progress[id].addedAt; added != 0 {
			c.AddedMillis = max(1, (n.now-added)/int64(time.Millisecond))
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		return nil
	}
	return &Contacts{List: list}
}

// recordContacts keeps the contacts of a leader as of now. What was heard before is among them.
func (n *Node) recordContacts(term uint64, c *Contacts) {
	if n.known.term != term {
		n.earlier = n.known
		n.firstContact = n.now
	}
	n.known = knownContacts{at: n.now, term: term}
	if c != nil {
		n.known.list = c.List
	}
	clear(n.heard)
}

// handOnContacts returns what this node knows of the last leader's contacts, for a leader that it has just
// begun to follow, or nil.
func (n *Node) handOnContacts() *Contacts {
	if n.earlier.at == 0 || n.now-n.firstContact > int64(confirmTime) {
		return nil
	}
	return &Contacts{AgeMillis: (n.now - n.earlier.at) / int64(time.Millisecond), List: n.earlier.list}
}

// learnContacts takes over contacts that a follower hands on, if they are later than those that this leader
// knows from before its election.
func (n *Node) learnContacts(c *Contacts) {
	if c == nil {
		return
	}
	if at := n.now - c.AgeMillis*int64(time.Millisecond); at > n.known.at {
		n.known = knownContacts{at: at, list: c.List}
		n.inheritContacts()
	}
}

// inheritContacts sets, for a new leader, when the others were last heard and added: as the last leader had
// it, or else with the last leader's last message, since when nobody has heard them.
func (n *Node) inheritContacts() {
	for id, p := range n.progress {
		p.heardAt, p.confirmAt = n.electedAt, n.electedAt
		if n.known.at != 0 {
			p.heardAt, p.confirmAt = max(n.known.at, n.heard[id]), n.electedAt+int64(reconnectTime)
		}
	}
	for _, c := range n.known.list {
		p := n.progress[c.Node]
		if p == nil {
			continue
		}
		if silent := c.SilentMillis * int64(time.Millisecond); silent > int64(AnswerTime) {
			p.heardAt, p.confirmAt = max(n.known.at-silent, n.heard[c.Node]), n.electedAt+int64(confirmTime)
		}
		if c.AddedMillis != 0 {
			p.addedAt = n.known.at - c.AddedMillis*int64(time.Millisecond)
		}
	}
}

// lastHeard returns, on the leader, the time at which the group last heard a member.
func (n *Node) lastHeard(id NodeID) int64 {
	p := n.progress[id]
	return max(p.acked, p.addedAt, p.heardAt)
}

// SinceLastContact returns, on the leader, the nanoseconds since the sending of the latest message that the
// node answered to this leader or an earlier one, as far as this node knows. Silence from before the election
// counts only once this leader has asked for some time.
func (n *Node) SinceLastContact(id NodeID) int64 {
	if n.progress[id] == nil {
		return 0
	}
	last := n.lastHeard(id)
	if n.now < n.progress[id].confirmAt {
		last = max(last, n.electedAt)
	}
	return n.now - last
}

// SinceElection returns, on the leader, the time since its election.
func (n *Node) SinceElection() time.Duration {
	return time.Duration(n.now - n.electedAt)
}

// PossibleSilence is SinceLastContact with silence from before the election, whether or not this leader has
// asked for long enough.
func (n *Node) PossibleSilence(id NodeID) int64 {
	if n.progress[id] == nil {
		return 0
	}
	return n.now - n.lastHeard(id)
}

// SilentSinceBefore reports, on the leader, whether a node was last heard before another was added. If the
// leader doesn't know when that was, it takes the time of its election.
func (n *Node) SilentSinceBefore(id, added NodeID) bool {
	if n.progress[id] == nil || n.progress[added] == nil {
		return false
	}
	at := n.progress[added].addedAt
	if at == 0 {
		at = n.electedAt
	}
	return n.lastHeard(id) <= at
}

// AddedSince reports, on the leader, whether a node is known to have been added after the other one was last
// heard.
func (n *Node) AddedSince(added, id NodeID) bool {
	p := n.progress[added]
	return p != nil && p.addedAt != 0 && n.lastHeard(id) <= p.addedAt
}
