package core

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/cluster"
)

// Intervals and limits of reports on the votes.
const (
	// silentAfter is the time without a message after which a voter counts as silent. On the platform,
	// a voter loses its vote after the same time (evict-after).
	silentAfter = 3 * time.Second
	// leaderTimeout is the time without a leader from which it is logged. It is longer than
	// several elections, as memberTimeout is.
	leaderTimeout = memberTimeout
	// votesLogInterval is the least time between two lines about a missing leader. It equals the
	// interval of warnings about one control instance in package voter.
	votesLogInterval = 10 * time.Second
	// votesInterval is the time between two reports, a fraction of an election timeout.
	votesInterval = 100 * time.Millisecond
)

// contacts holds what an instance hears from the others. Times are in nanoseconds of the clock.
type contacts struct {
	// heard holds the time of the latest message from each instance.
	heard map[quorum.NodeID]int64
	// leaderAt is the time of the latest message from a leader, or the latest time at which this
	// instance led; at first, the time of the start.
	leaderAt int64
	// reportAt is the time of the next report.
	reportAt int64
	// warnAt is the time from which the next line about a missing leader may be logged.
	warnAt int64
	// lostAt is the value of leaderAt in the latest line about a missing leader, or zero if a
	// leader has been known since.
	lostAt int64
}

// VoteReport tells which voters an instance hears and whether these can elect a leader.
//
// A voter sends messages to all others only as the leader or to be elected. So the leader and,
// after leaderTimeout, an instance without a leader know which voters are silent. An instance that
// follows a leader counts all as heard, and one without a vote hears no other than the leader.
type VoteReport struct {
	// Role is the part that the instance has in its own members: "voter", "learner" or "none".
	Role string
	// Voters are sorted by name.
	Voters   []VoterContact
	Learners []string
	// Strangers are instances that this one hears and doesn't have as members, so that it may
	// not know their addresses.
	Strangers []quorum.NodeID
	// Heard is the number of voters that are heard.
	Heard int
	// LossesLeft is the number of further voters that may fall silent before no majority is
	// left; negative if none is left now.
	LossesLeft int
	// Leaderless is the time for which no leader has been known; zero while one is.
	Leaderless time.Duration
}

// VoterContact is a voter as an instance hears it.
type VoterContact struct {
	Name string        `json:"name"`
	Node quorum.NodeID `json:"node"`
	// HeardMillis is the time in milliseconds since its latest message, or -1 without one.
	HeardMillis int64 `json:"heard-ms"`
	Silent      bool  `json:"silent,omitempty"`
	// Stopping is set if the voter was told to stop and had to keep its vote.
	Stopping bool `json:"stopping,omitempty"`
}

// Silent returns the number of voters that are silent.
func (r *VoteReport) Silent() int {
	return len(r.Voters) - r.Heard
}

// Missing returns the number of voters that a majority lacks.
func (r *VoteReport) Missing() int {
	return max(0, -r.LossesLeft)
}

// String returns a summary for the errors of requests that need a leader.
func (r *VoteReport) String() string {
	switch {
	case r.Role != "voter":
		return fmt.Sprintf("this instance is not one of the %d voters that it knows", len(r.Voters))
	case r.Leaderless < leaderTimeout:
		return fmt.Sprintf("%d ms without one", r.Leaderless.Milliseconds())
	case r.Missing() > 0:
		return fmt.Sprintf("%d of %d voters heard, %d more needed", r.Heard, len(r.Voters), r.Missing())
	}
	return fmt.Sprintf("%d of %d voters heard, a majority", r.Heard, len(r.Voters))
}

// report returns the report of an instance with the given members, identifier and leader.
func (k *contacts) report(m *quorum.Members, self, leader quorum.NodeID, now int64) *VoteReport {
	r := &VoteReport{Role: roleOf(m, self), Voters: []VoterContact{}, Learners: []string{}, Strangers: []quorum.NodeID{}}
	if quiet := now - k.leaderAt; leader == 0 || quiet >= int64(leaderTimeout) {
		r.Leaderless = time.Duration(quiet)
	}
	lost := r.Leaderless >= leaderTimeout
	since := now - int64(silentAfter)
	if lost {
		since = max(since, k.leaderAt)
	}
	heard := func(id quorum.NodeID) bool {
		at, ok := k.heard[id]
		return id == self || leader != self && !lost || ok && at > since
	}
	r.LossesLeft = m.LossesLeft(heard)
	for _, id := range cluster.SortedKeys(m.Nodes) {
		if m.Learners[id] {
			r.Learners = append(r.Learners, nameOf(m, id))
			continue
		}
		v := VoterContact{Name: nameOf(m, id), Node: id, HeardMillis: -1, Silent: !heard(id), Stopping: m.Stopping[id]}
		if at, ok := k.heard[id]; ok {
			v.HeardMillis = (now - at) / 1e6
		}
		if id == self {
			v.HeardMillis = 0
		}
		if !v.Silent {
			r.Heard++
		}
		r.Voters = append(r.Voters, v)
	}
	for _, id := range cluster.SortedKeys(k.heard) {
		if _, ok := m.Nodes[id]; !ok && k.heard[id] > now-int64(silentAfter) {
			r.Strangers = append(r.Strangers, id)
		}
	}
	slices.Sort(r.Learners)
	slices.SortFunc(r.Voters, func(a, b VoterContact) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Node, b.Node))
	})
	return r
}

// forget drops the times of instances that are neither members nor were heard within silentAfter.
func (k *contacts) forget(m *quorum.Members, now int64) {
	for id, at := range k.heard {
		if _, ok := m.Nodes[id]; !ok && now-at > int64(silentAfter) {
			delete(k.heard, id)
		}
	}
}

func roleOf(m *quorum.Members, id quorum.NodeID) string {
	switch {
	case m.Voter(id):
		return "voter"
	case m.Learners[id]:
		return "learner"
	}
	return "none"
}

// nameOf returns a member's name, or its identifier if it has none.
func nameOf(m *quorum.Members, id quorum.NodeID) string {
	return cmp.Or(m.Nodes[id].Name, fmt.Sprint(uint64(id)))
}

// handleMessage passes a message to the node and records when its sender was heard.
func (c *Core) handleMessage(m quorum.Message) {
	now := c.now()
	c.node.Step(m, now)
	if m.To != c.node.ID() {
		return
	}
	c.contacts.heard[m.From] = now
	for _, id := range m.Held {
		c.contacts.heard[id] = now
	}
	if (m.Kind == quorum.Append || m.Kind == quorum.Install) && c.node.LeaderID() == m.From {
		c.contacts.leaderAt = now
	}
}

// updateVotes makes the next report, if it is due, and logs that no leader is known.
func (c *Core) updateVotes() {
	now := c.now()
	if c.node.Role() == quorum.Leader {
		c.contacts.leaderAt = now
	}
	if now < c.contacts.reportAt {
		return
	}
	c.contacts.reportAt = now + int64(votesInterval)
	for _, id := range c.node.Held() {
		c.contacts.heard[id] = now
	}
	m := c.node.Members()
	c.contacts.forget(m, now)
	r := c.contacts.report(m, c.node.ID(), c.node.LeaderID(), now)
	c.votes.Store(r)
	c.logVotes(r, now)
}

// logVotes logs, at an interval, that no leader has been known for leaderTimeout, and once that
// one is known again.
func (c *Core) logVotes(r *VoteReport, now int64) {
	k := &c.contacts
	if r.Leaderless == 0 && k.lostAt != 0 {
		c.cfg.Log.Info().Int64("leaderless-ms", (k.leaderAt-k.lostAt)/1e6).Uint64("term", c.node.Term()).
			Str("leader", nameOf(c.node.Members(), c.node.LeaderID())).Msg("leader is known again")
		k.lostAt, k.warnAt = 0, 0
	}
	if r.Leaderless < leaderTimeout || now < k.warnAt {
		return
	}
	k.lostAt, k.warnAt = k.leaderAt, now+int64(votesLogInterval)
	c.cfg.Log.Warn(nil).Int64("leaderless-ms", r.Leaderless.Milliseconds()).Str("role", r.Role).
		Int("heard", r.Heard).Int("of", len(r.Voters)).Int("votes-missing", r.Missing()).
		Interface("voters", r.Voters).Strs("learners", r.Learners).Interface("strangers", r.Strangers).
		Uint64("members-index", c.node.MembersIndex()).Uint64("term", c.node.Term()).Msg("no leader is known")
}

// logHeld logs a change of the identities that this instance answers for.
func (c *Core) logHeld() {
	held := c.node.Held()
	if slices.Equal(held, c.held) {
		return
	}
	names := make([]string, len(held))
	for i, id := range held {
		names[i] = nameOf(c.node.Members(), id)
	}
	c.held = held
	c.cfg.Log.Info().Strs("of", names).Uint64("term", c.node.Term()).Msg("answering for votes that were handed over")
}

// Votes returns the latest report on the votes. It never blocks.
func (c *Core) Votes() *VoteReport {
	return c.votes.Load()
}

// NoLeaderError returns an error that tells why no leader is known.
func (c *Core) NoLeaderError() error {
	return fmt.Errorf("no leader is known: %s", c.Votes())
}
