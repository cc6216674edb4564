package quorum

import "time"

// installRetry is the time after which a snapshot is sent again.
const installRetry = 2 * time.Second

func (n *Node) broadcast() {
	for _, id := range n.members.sorted() {
		if id != n.id {
			n.sendAppend(id)
		}
	}
}

// sendAppend sends the entries that the node lacks, or a snapshot if the log no
// longer has them. Without entries it serves as a heartbeat.
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
		Entries: n.log.slice(p.next, maxAppendEntries), Commit: n.log.commit, Sent: n.now,
	}
	n.send(m)
	// Send what follows without waiting for the answer; a rejection sets it back.
	p.next += uint64(len(m.Entries))
}

func (n *Node) sendInstall(to NodeID, p *progress) {
	if p.installing != 0 && n.now-p.installing < int64(installRetry) {
		// The empty Append keeps the follower from standing for election.
		first, _ := n.log.term(n.log.first())
		n.send(Message{Kind: Append, To: to, Term: n.hard.Term, Index: n.log.first(), LogTerm: first, Sent: n.now})
		return
	}
	p.installing = n.now
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
	n.hearLeader(m)
	answer := Message{Kind: AppendAnswer, To: m.From, Term: n.hard.Term, Sent: m.Sent}
	if m.Index < n.log.commit {
		// Entries up to the commit index agree with every leader's.
		answer.Index = n.log.commit
		n.noteSynced(m)
		n.send(answer)
		return
	}
	if t, ok := n.log.term(m.Index); !ok || t != m.LogTerm {
		answer.Reject = true
		answer.Index = n.conflict(m.Index)
		n.send(answer)
		return
	}
	n.log.append(m.Entries)
	if len(m.Entries) > 0 {
		n.refreshMembers()
	}
	answer.Index = m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, answer.Index))
	n.noteSynced(m)
	n.send(answer)
}

// noteSynced notes that the node has all that the leader had committed when it
// sent m.
func (n *Node) noteSynced(m *Message) {
	if n.log.commit >= m.Commit {
		n.synced = n.now
	}
}

// conflict returns an index at or before which the leader should look for
// agreement: the last entry of an earlier term.
func (n *Node) conflict(index uint64) uint64 {
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
	if m.Reject {
		p.next = max(p.match+1, min(m.Index+1, n.log.last()+1))
		n.sendAppend(m.From)
		return
	}
	p.installing = 0
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
	}
	if n.advanceCommit() {
		n.broadcast()
		return
	}
	if p.next <= n.log.last() {
		n.sendAppend(m.From)
	}
}

// advanceCommit commits what a majority holds on disk, if it is of this term.
func (n *Node) advanceCommit() bool {
	index := uint64(n.quorumValue(func(id NodeID) int64 {
		if id == n.id {
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

// stepDownIfRemoved ends the lead of a node that the committed members don't
// name as a voter.
func (n *Node) stepDownIfRemoved() {
	if n.membersAt <= n.log.commit && !n.members.Voter(n.id) {
		n.broadcast()
		n.follow(n.hard.Term, 0)
	}
}

func (n *Node) handleInstall(m *Message) {
	if m.Term < n.hard.Term || m.Snapshot == nil {
		n.send(Message{Kind: AppendAnswer, To: m.From, Term: n.hard.Term, Reject: true})
		return
	}
	n.hearLeader(m)
	if m.Snapshot.Index > n.log.commit {
		n.log.restore(m.Snapshot)
		n.snapshot = m.Snapshot
		n.install = m.Snapshot
		n.refreshMembers()
	}
	n.send(Message{Kind: InstallAnswer, To: m.From, Term: n.hard.Term, Index: n.log.commit, Sent: m.Sent})
}
