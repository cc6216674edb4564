package quorum

import "time"

// installRetryInterval is the time after which an unanswered snapshot is sent again.
const installRetryInterval = 2 * time.Second

func (n *Node) broadcast() {
	for _, id := range n.members.sorted() {
		if id != n.id {
			n.sendAppend(id)
		}
	}
}

// sendAppend sends the entries that the node lacks, or a snapshot if the log no
// longer has them. An Append without entries serves as a heartbeat.
func (n *Node) sendAppend(to NodeID) {
	p := n.progress[to]
	prev := p.next - 1
	term, ok := n.log.term(prev)
	if !ok {
		n.sendInstall(to, p)
		return
	}
	m := Message{
		Kind: Append, To: to, Term: n.hard.Term, Index: prev, LogTerm: term,
		Entries: n.log.batch(p.next), Commit: n.log.commit, Sent: n.now, Contacts: n.contacts(),
	}
	n.send(m)
	// Later entries are sent without waiting for the answer; a rejection resets next.
	p.next += uint64(len(m.Entries))
}

func (n *Node) sendInstall(to NodeID, p *progress) {
	if p.snapshotSentAt != 0 && n.now-p.snapshotSentAt < int64(installRetryInterval) {
		// An empty Append keeps the follower from campaigning while the snapshot is
		// pending.
		logTerm, _ := n.log.term(n.log.snapshotIndex())
		n.send(Message{Kind: Append, To: to, Term: n.hard.Term, Index: n.log.snapshotIndex(), LogTerm: logTerm, Sent: n.now})
		return
	}
	p.snapshotSentAt = n.now
	n.send(Message{
		Kind: Install, To: to, Term: n.hard.Term, Index: n.snapshot.Index, LogTerm: n.snapshot.Term,
		Snapshot: n.snapshot, Sent: n.now,
	})
}

func (n *Node) handleAppend(m *Message) {
	if m.Term < n.hard.Term {
		n.send(Message{Kind: AppendAnswer, To: m.From, Term: n.hard.Term, Reject: true})
		return
	}
	n.recordLeaderContact(m)
	n.recordContacts(m.Term, m.Contacts)
	answer := Message{Kind: AppendAnswer, To: m.From, Term: n.hard.Term, Sent: m.Sent, Held: n.hard.Held, Contacts: n.handOnContacts()}
	if m.Index < n.log.commit {
		// Entries up to the commit index match those of every leader.
		answer.Index = n.log.commit
		n.updateSynced(m)
		n.send(answer)
		n.succeedLeader(m.From)
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		answer.Reject = true
		answer.Index = n.conflictHint(m.Index)
		n.send(answer)
		return
	}
	n.log.append(m.Entries)
	if len(m.Entries) > 0 {
		n.refreshMembers()
	}
	answer.Index = m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, answer.Index))
	n.updateSynced(m)
	n.send(answer)
	n.succeedLeader(m.From)
}

// succeedLeader campaigns soon if the leader has removed itself: it steps down once that is
// committed, and holds no lease that this node would have to wait for. Members without the leader that
// an earlier term set don't count: this node may lack later ones that have it.
func (n *Node) succeedLeader(leader NodeID) {
	term, _ := n.log.term(n.membersIndex)
	left := term == n.hard.Term && n.membersIndex <= n.log.commit && !n.members.Voter(leader)
	if !n.timing.NoLease || !left || !n.members.Voter(n.id) {
		return
	}
	n.becomeFollower(n.hard.Term, 0)
	n.lastLeaderContact = n.now - int64(n.timing.ElectionTimeout)
	n.deadline = min(n.deadline, n.now+int64(n.rank(leader))*int64(n.timing.ElectionTimeout)/staggerDivisor)
}

// updateSynced records the time if the node has all that the leader had committed
// when it sent m.
func (n *Node) updateSynced(m *Message) {
	if n.log.commit >= m.Commit {
		n.synced = n.now
	}
}

// conflictHint returns an index at or before which the leader should look for a
// matching entry: the last entry of an earlier term, but not before the commit
// index.
func (n *Node) conflictHint(index uint64) uint64 {
	index = min(index, n.log.last())
	t, ok := n.log.term(index)
	for ok && index > n.log.commit {
		index--
		var next uint64
		next, ok = n.log.term(index)
		if next != t {
			break
		}
	}
	return index
}

func (n *Node) handleAppendAnswer(m *Message) {
	if n.role != Leader || m.Term != n.hard.Term {
		return
	}
	p := n.progress[m.From]
	if p == nil {
		return
	}
	p.acked = max(p.acked, m.Sent)
	n.recordHeld(m)
	n.learnContacts(m.Contacts)
	if m.Reject {
		p.next = max(p.match+1, min(m.Index+1, n.log.last()+1))
		if p.snapshotSentAt == 0 {
			n.sendAppend(m.From)
		}
		return
	}
	p.snapshotSentAt = 0
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
	}
	advanced := n.advanceCommit()
	switch {
	case n.role != Leader:
		// It has stepped down, since the members without it are committed.
	case advanced:
		n.broadcast()
	case p.next <= n.log.last():
		n.sendAppend(m.From)
	}
}

// recordHeld counts an answer for the identities that its sender answers for.
func (n *Node) recordHeld(m *Message) {
	for _, id := range m.Held {
		p := n.progress[id]
		if p == nil {
			continue
		}
		p.heldBy = m.From
		p.acked = max(p.acked, m.Sent)
		if !m.Reject {
			p.match = max(p.match, m.Index)
		}
	}
}

// advanceCommit commits the entries that a majority has on disk, if the last of
// them is of the current term. It reports whether the commit index advanced.
func (n *Node) advanceCommit() bool {
	index := uint64(n.quorumValue(func(id NodeID) int64 {
		if n.carries(id) {
			return int64(n.log.stable)
		}
		return int64(n.progress[id].match)
	}))
	t, ok := n.log.term(index)
	if index <= n.log.commit || !ok || t != n.hard.Term {
		return false
	}
	n.log.commit = index
	n.stepDownIfRemoved()
	return true
}

// stepDownIfRemoved makes the leader step down if it isn't a voter of the
// committed members.
func (n *Node) stepDownIfRemoved() {
	if n.membersIndex <= n.log.commit && !n.members.Voter(n.id) {
		// Tells the others that the members without this node are committed.
		n.broadcast()
		n.becomeFollower(n.hard.Term, 0)
	}
}

func (n *Node) handleInstall(m *Message) {
	if m.Term < n.hard.Term || m.Snapshot == nil {
		n.send(Message{Kind: AppendAnswer, To: m.From, Term: n.hard.Term, Reject: true})
		return
	}
	n.recordLeaderContact(m)
	if m.Snapshot.Index > n.log.commit {
		n.log.restore(m.Snapshot)
		n.snapshot = m.Snapshot
		n.receivedSnapshot = m.Snapshot
		n.refreshMembers()
	}
	n.send(Message{Kind: InstallAnswer, To: m.From, Term: n.hard.Term, Index: n.log.commit, Sent: m.Sent, Held: n.hard.Held})
}
