package quorum

// BeginRead starts a linearizable read. The state up to the returned index is
// current as of this call once ReadConfirmed accepts the mark.
func (n *Node) BeginRead(now int64) (mark int64, index uint64, err error) {
	if n.role != Leader || !n.committedOwnTerm() {
		return 0, 0, ErrNotLeader
	}
	// Only answers to messages that are sent from here on prove anything.
	n.now = max(n.now+1, now)
	n.broadcast()
	return n.now, n.log.commit, nil
}

// ReadConfirmed reports whether a majority has answered a message that was sent
// after the read with the given mark began, so that no later leader had been
// elected by then.
func (n *Node) ReadConfirmed(mark int64) bool {
	if n.role != Leader {
		return false
	}
	return n.quorumValue(func(id NodeID) int64 {
		if id == n.id {
			return n.now
		}
		return n.progress[id].acked
	}) >= mark
}

// SinceLastContact returns, on the leader, the time since each voter last answered, in
// nanoseconds. Since its election at the most.
func (n *Node) SinceLastContact(id NodeID) int64 {
	p := n.progress[id]
	if p == nil {
		return 0
	}
	return n.now - max(p.acked, p.added, n.elected)
}

// Synced returns the time at which the node last knew all that its leader had
// committed, in nanoseconds of the clock; on the leader itself, the time up to
// which a majority has answered it. Zero stands for never.
func (n *Node) Synced() int64 {
	if n.role == Leader {
		if !n.committedOwnTerm() {
			return 0
		}
		return n.quorumValue(func(id NodeID) int64 {
			if id == n.id {
				return n.now
			}
			return n.progress[id].acked
		})
	}
	return n.synced
}

// MembersIndex returns the index of the entry that set the members in force.
func (n *Node) MembersIndex() uint64 { return n.membersAt }
