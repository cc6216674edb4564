package membership

import (
	"time"

	"catkinrail.example/catkinrail/coordination/quorum"
)

// handOverAfter is the time without a leader after which an instance that stops hands its vote to another
// voter. It is longer than an election.
const handOverAfter = time.Second

// handOverTime is the time before the end of a stop from which an instance hands its vote over although a leader
// is known, which couldn't decide. It is several times as long as a handover takes.
const handOverTime = 2 * time.Second

// Stop is the state of an instance that was told to stop.
type Stop struct {
	// Timeout is the longest time for which the stop waits.
	Timeout time.Duration
	// Waited is the time since the instance was told to stop.
	Waited time.Duration
	// SinceLeader is the time since a leader was last known.
	SinceLeader time.Duration
	// Decided is set once a leader has answered that nothing is left to do for the vote.
	Decided bool
	// HandedOver is set once another voter has stored the vote.
	HandedOver bool
}

// StopStep is what an instance does that was told to stop.
type StopStep uint8

// Steps of a stop.
const (
	// AskLeader asks the leader to decide about the vote.
	AskLeader StopStep = iota
	// HandOver hands the vote to another voter, and asks the leader, if there is one again, too.
	HandOver
	// End ends the instance.
	End
)

// Next returns the next step. It doesn't end for want of a leader: a split may end within the timeout, and
// until then the vote can be handed over. A leader that reaches too few voters may be unable to decide, too; a
// vote that was handed over is removed before the end, if that can be decided in time, since the heir's disk carries
// one more until then.
func (s *Stop) Next() StopStep {
	switch {
	case s.Decided || s.Waited >= s.Timeout:
		return End
	case s.HandedOver:
		return AskLeader
	case s.SinceLeader >= handOverAfter, s.Waited >= s.Timeout-min(handOverTime, s.Timeout/2):
		return HandOver
	}
	return AskLeader
}

// MarkHeld returns the members with those marked as stopping that have handed their votes over, or nil if
// there are none to mark. They stay voters until a mark takes effect, and are never back.
func MarkHeld(n *quorum.Node) *quorum.Members {
	m := n.Members()
	var next *quorum.Members
	for _, id := range sortedNodes(m) {
		if !m.Voter(id) || m.Stopping[id] || n.Holder(id) == 0 {
			continue
		}
		if next == nil {
			next = m
		}
		next = next.WithStopping(id, true)
	}
	return next
}
