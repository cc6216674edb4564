package quorum

// Step handles a message from another node.
func (n *Node) Step(m Message, now int64) {
	n.now = max(n.now, now)
	if m.To != n.id || n.hard.Heir != 0 && m.Kind != HandoverAnswer {
		return
	}
	n.heard[m.From] = n.now
	if n.handleTransfer(&m) {
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		n.handleVoteRequest(&m)
		return
	case PreVoteAnswer:
		n.handlePreVoteAnswer(&m)
		return
	case Probe:
		n.handleProbe(&m)
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, 0)
	}
	switch m.Kind {
	case VoteAnswer:
		n.handleVoteAnswer(&m)
	case Append:
		n.handleAppend(&m)
	case AppendAnswer:
		n.handleAppendAnswer(&m)
	case Install:
		n.handleInstall(&m)
	case InstallAnswer:
		n.handleAppendAnswer(&m)
	}
}

// becomeFollower makes the node a follower in the term. The leader is zero if it
// isn't known.
func (n *Node) becomeFollower(term uint64, leader NodeID) {
	if n.role == Leader {
		n.recordContacts(n.hard.Term, n.contacts())
	}
	if term > n.hard.Term {
		n.hard.Term, n.hard.Vote = term, 0
	}
	if n.role != Follower {
		n.resetElectionDeadline()
	}
	n.role = Follower
	n.leader = leader
	n.votes, n.progress = nil, nil
}

// recordLeaderContact follows the sender of a leader's message and restarts the
// election timeout.
func (n *Node) recordLeaderContact(m *Message) {
	n.becomeFollower(m.Term, m.From)
	n.lastLeaderContact = n.now
	n.resetElectionDeadline()
}

// campaign requests votes as a pre-candidate or candidate. A pre-candidate asks
// whether it would win and keeps its term, so that a node that was partitioned
// doesn't disrupt the leader.
func (n *Node) campaign(role Role) {
	n.role = role
	n.leader = 0
	n.resetCampaignDeadline()
	n.votes = map[NodeID]bool{}
	for _, id := range n.ownVotes() {
		n.votes[id] = true
	}
	kind, term := PreVote, n.hard.Term+1
	if role == Candidate {
		n.hard.Term, n.hard.Vote = term, n.id
		kind = Vote
	}
	if n.wonVote() {
		n.promote()
		return
	}
	logTerm, _ := n.log.term(n.log.last())
	for _, id := range n.members.sorted() {
		// A learner may answer for a voter that has handed its vote over.
		if id != n.id {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: logTerm})
		}
	}
}

// handleProbe answers a node that has just started. A leader makes itself known. Without
// one, this node campaigns, since the vote of the started node may be the one that was
// missing: in the order of the nodes' identifiers, so that they don't split the votes.
func (n *Node) handleProbe(m *Message) {
	switch {
	case !n.timing.NoLease || !n.members.Voter(m.From):
	case n.role == Leader:
		if n.progress[m.From] != nil {
			n.sendAppend(m.From)
		}
	case n.leader == 0 && n.members.Voter(n.id):
		n.deadline = min(n.deadline, n.now+int64(n.rank(m.From))*int64(n.timing.ElectionTimeout)/staggerDivisor)
	}
}

// rank returns the number of voters, other than the given one, that have lower
// identifiers than this node and may campaign at the same time. A candidate counts only
// those that have granted it their votes: the others may be down.
func (n *Node) rank(except NodeID) int {
	rank := 0
	for id := range n.members.Nodes {
		down := n.role != Follower && !n.votes[id]
		if n.members.Voter(id) && id != except && id < n.id && !down {
			rank++
		}
	}
	return rank
}

// promote makes a pre-candidate with a majority a candidate, and a candidate with
// a majority the leader.
func (n *Node) promote() {
	if n.role == PreCandidate {
		n.campaign(Candidate)
		return
	}
	n.becomeLeader()
}

func (n *Node) wonVote() bool {
	for _, voters := range n.members.majorities() {
		granted := 0
		for _, id := range voters {
			if n.votes[id] {
				granted++
			}
		}
		if 2*granted <= len(voters) {
			return false
		}
	}
	return true
}

// handleVoteRequest answers a PreVote or Vote. While a leader may hold a lease
// that relies on this node, every candidate is rejected.
func (n *Node) handleVoteRequest(m *Message) {
	leased := n.now-n.lastLeaderContact < int64(n.timing.ElectionTimeout) || n.role == Leader
	kind := VoteAnswer
	if m.Kind == PreVote {
		kind = PreVoteAnswer
	}
	if leased || m.Term < n.hard.Term {
		n.send(Message{Kind: kind, To: m.From, Term: n.hard.Term, Reject: true})
		return
	}
	if m.Kind == PreVote {
		answer := Message{Kind: kind, To: m.From, Term: m.Term, Held: n.hard.Held}
		if m.Term <= n.hard.Term || !n.log.upToDate(m.Index, m.LogTerm) {
			// A rejection carries this node's own term: the candidate would take
			// the proposed term for a later one and adopt it.
			answer.Term, answer.Reject = n.hard.Term, true
		} else if n.timing.NoLease {
			n.yieldTo(m.From)
		}
		n.send(answer)
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, 0)
	}
	free := n.hard.Vote == 0 || n.hard.Vote == m.From
	grant := free && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		n.hard.Vote = m.From
		n.resetElectionDeadline()
	}
	n.send(Message{Kind: kind, To: m.From, Term: n.hard.Term, Reject: !grant, Held: n.hard.Held})
}

// yieldTo postpones this node's next campaign, so that it doesn't split the votes with the
// pre-candidate that it has granted its vote. Of two pre-candidates, the one with the
// higher identifier gives up its campaign.
func (n *Node) yieldTo(other NodeID) {
	if n.role == PreCandidate && other < n.id {
		n.becomeFollower(n.hard.Term, 0)
	}
	n.resetCampaignDeadline()
}

func (n *Node) handlePreVoteAnswer(m *Message) {
	if m.Reject {
		if m.Term > n.hard.Term {
			n.becomeFollower(m.Term, 0)
		}
		return
	}
	if n.role == PreCandidate && m.Term == n.hard.Term+1 {
		n.recordVote(m)
	}
}

func (n *Node) handleVoteAnswer(m *Message) {
	if n.role == Candidate && m.Term == n.hard.Term && !m.Reject {
		n.recordVote(m)
	}
}

func (n *Node) recordVote(m *Message) {
	n.votes[m.From] = true
	for _, id := range m.Held {
		n.votes[id] = true
	}
	if n.wonVote() {
		n.promote()
	}
}

// becomeLeader makes the node the leader of its term.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.votes = nil
	n.electedAt = n.now
	n.progress = map[NodeID]*progress{}
	for id := range n.members.Nodes {
		n.progress[id] = &progress{next: n.log.last() + 1}
	}
	n.inheritContacts()
	n.nextHeartbeat = n.now + int64(n.timing.HeartbeatInterval)
	// Entries of earlier terms are only committed together with one of this term.
	if _, _, err := n.propose(Entry{Kind: EntryNoop}); err != nil {
		panic(err)
	}
}

func (n *Node) send(m Message) {
	m.From = n.id
	n.messages = append(n.messages, m)
}
