package quorum

import "time"

// BeginRead starts a linearizable read. Once ReadConfirmed returns true for the
// mark, the state up to the returned index is current as of this call. BeginRead
// returns ErrNotLeader until the leader has committed an entry of its term.
func (n *Node) BeginRead(now int64) (mark int64, index uint64, err error) {
	if n.role != Leader || !n.committedOwnTerm() {
		return 0, 0, ErrNotLeader
	}
	// Only answers to messages sent from here on confirm the read, so the mark must
	// be later than any earlier time of sending.
	n.now = max(n.now+1, now)
	n.broadcast()
	return n.now, n.log.commit, nil
}

// ReadConfirmed reports whether a majority has answered messages that were sent
// since the read with the given mark began. If so, no later leader had been elected
// when the read began.
func (n *Node) ReadConfirmed(mark int64) bool {
	if n.role != Leader {
		return false
	}
	return n.quorumValue(func(id NodeID) int64 {
		if n.carries(id) {
			return n.now
		}
		return n.progress[id].acked
	}) >= mark
}

// Responding reports, on the leader, whether the node has answered a message that was sent within
// the last d of the leader's term. A node that has handed its vote over doesn't answer itself.
func (n *Node) Responding(id NodeID, d time.Duration) bool {
	p := n.progress[id]
	return id == n.id || p != nil && n.Holder(id) == 0 && p.acked > 0 && n.now-p.acked <= int64(d)
}

// Synced returns the time, in nanoseconds, at which the node last had all that its
// leader had committed. On the leader, it is the latest time of sending that a
// majority has answered, or zero until it has committed an entry of its term. Zero
// means never.
func (n *Node) Synced() int64 {
	if n.role == Leader {
		if !n.committedOwnTerm() {
			return 0
		}
		return n.quorumValue(func(id NodeID) int64 {
			if n.carries(id) {
				return n.now
			}
			return n.progress[id].acked
		})
	}
	return n.synced
}

// SinceLeader returns the time since the latest message from a leader, or since this node last led.
func (n *Node) SinceLeader() time.Duration {
	if n.role == Leader {
		return 0
	}
	return time.Duration(n.now - max(n.lastLeaderContact, n.lastLed))
}

// MembersIndex returns the index of the entry that set the members in force.
func (n *Node) MembersIndex() uint64 { return n.membersIndex }
