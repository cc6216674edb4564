package quorum

// Step handles a message from another node.
func (n *Node) Step(m Message, now int64) {
	n.now = max(n.now, now)
	if m.To != n.id {
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		n.answerVote(&m)
		return
	case PreVoteAnswer:
		n.countPreVote(&m)
		return
	}
	if m.Term > n.hard.Term {
		n.follow(m.Term, 0)
	}
	switch m.Kind {
	case VoteAnswer:
		n.countVote(&m)
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

// follow makes the node a follower in the term.
func (n *Node) follow(term uint64, leader NodeID) {
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
	}
	if n.role != Follower {
		n.resetDeadline()
	}
	n.role = Follower
	n.leader = leader
	n.votes, n.progress = nil, nil
}

// hearLeader notes a message of the term's leader.
func (n *Node) hearLeader(m *Message) {
	n.follow(m.Term, m.From)
	n.heard = n.now
	n.resetDeadline()
}

// campaign asks for votes. A pre-candidate asks whether it would get them and
// leaves its term as it is, so that a node that was cut off disturbs nobody.
func (n *Node) campaign(role Role) {
	n.role = role
	n.leader = 0
	n.resetCampaign()
	n.votes = map[NodeID]bool{n.id: true}
	kind, term := PreVote, n.hard.Term+1
	if role == Candidate {
		n.hard = HardState{Term: term, Vote: n.id}
		kind = Vote
	}
	if n.wonVote() {
		n.promote()
		return
	}
	logTerm, _ := n.log.term(n.log.last())
	for _, id := range n.members.sorted() {
		if id != n.id && n.members.Voter(id) {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(), LogTerm: logTerm})
		}
	}
}

func (n *Node) promote() {
	if n.role == PreCandidate {
		n.campaign(Candidate)
		return
	}
	n.lead()
}

func (n *Node) wonVote() bool {
	granted := 0
	for id, ok := range n.votes {
		if ok && n.members.Voter(id) {
			granted++
		}
	}
	return 2*granted > n.members.Voters()
}

// answerVote answers a candidate. While a leader may hold a lease that relies on
// this node, every candidate is rejected.
func (n *Node) answerVote(m *Message) {
	leased := n.now-n.heard < int64(n.timing.ElectionTimeout) || n.role == Leader
	kind := VoteAnswer
	if m.Kind == PreVote {
		kind = PreVoteAnswer
	}
	if leased || m.Term < n.hard.Term {
		n.send(Message{Kind: kind, To: m.From, Term: n.hard.Term, Reject: true})
		return
	}
	if m.Kind == PreVote {
		answer := Message{Kind: kind, To: m.From, Term: m.Term}
		if m.Term <= n.hard.Term || !n.log.upToDate(m.Index, m.LogTerm) {
			// A rejection carries this node's own term: the candidate's is only one
			// that it asks about, and must not come back to it as a later one.
			answer.Term, answer.Reject = n.hard.Term, true
		}
		n.send(answer)
		return
	}
	if m.Term > n.hard.Term {
		n.follow(m.Term, 0)
	}
	free := n.hard.Vote == 0 || n.hard.Vote == m.From
	grant := free && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		n.hard.Vote = m.From
		n.resetDeadline()
	}
	n.send(Message{Kind: kind, To: m.From, Term: n.hard.Term, Reject: !grant})
}

func (n *Node) countPreVote(m *Message) {
	if m.Reject {
		if m.Term > n.hard.Term {
			n.follow(m.Term, 0)
		}
		return
	}
	if n.role == PreCandidate && m.Term == n.hard.Term+1 {
		n.count(m)
	}
}

func (n *Node) countVote(m *Message) {
	if n.role == Candidate && m.Term == n.hard.Term && !m.Reject {
		n.count(m)
	}
}

func (n *Node) count(m *Message) {
	n.votes[m.From] = true
	if n.wonVote() {
		n.promote()
	}
}

// lead makes the node the leader of its term.
func (n *Node) lead() {
	n.role = Leader
	n.leader = n.id
	n.votes = nil
	n.elected = n.now
	n.progress = map[NodeID]*progress{}
	for id := range n.members.Nodes {
		n.progress[id] = &progress{next: n.log.last() + 1}
	}
	n.beat = n.now + int64(n.timing.HeartbeatInterval)
	// Entries of earlier terms are committed by committing one of this term.
	if _, _, err := n.propose(Entry{Kind: EntryNoop}); err != nil {
		panic(err)
	}
}

func (n *Node) send(m Message) {
	m.From = n.id
	n.messages = append(n.messages, m)
}
