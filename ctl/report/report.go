// Package report counts from log files how callers were served in each second.
package report

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/ctl/logfile"
)

// Objective holds the numbers of new flows in a million that may be refused or repeated.
type Objective struct {
	// Refused is the limit for refused flows.
	Refused uint64
	// Repeated is the limit for flows whose opening packet was retransmitted: they open
	// late, by the time after which callers retransmit it.
	Repeated uint64
}

// Counts holds the counts of a period.
type Counts struct {
	// Flows is the number of new flows that were placed or refused, other than those
	// without a route.
	Flows uint64 `json:"flows"`
	// Repeated is the number of flows whose opening packet was retransmitted.
	Repeated uint64 `json:"repeated"`
	// Refused is the number of flows that were refused although a route exists.
	Refused uint64 `json:"refused"`
	// NoRoute is the number of flows that no route of the document allowed.
	NoRoute uint64 `json:"no_route"`
	// Dropped is the number of packets that were discarded.
	Dropped uint64 `json:"dropped"`
	// Skipped is the number of lines left out to limit the rate of the logs.
	Skipped uint64 `json:"skipped"`
	// Reasons counts refused flows and dropped packets by reason.
	Reasons map[string]uint64 `json:"reasons,omitempty"`
}

// Bad returns the number of refused flows, repeated flows and dropped packets.
func (c *Counts) Bad() uint64 {
	return c.Refused + c.Repeated + c.Dropped
}

// Event is a log line that is listed beside the counts because it may explain them.
type Event struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	Text     string    `json:"text"`
}

// Second holds the counts and events of one second.
type Second struct {
	Counts
	Time   time.Time `json:"time"`
	Events []Event   `json:"events,omitempty"`
}

// Report summarizes log files.
type Report struct {
	Total Counts `json:"total"`
	// RefusedBurn and RepeatedBurn are the shares of refused and repeated flows
	// divided by the shares that the objective allows: 1 uses up the budget exactly.
	RefusedBurn  float64  `json:"refused_burn"`
	RepeatedBurn float64  `json:"repeated_burn"`
	Seconds      []Second `json:"seconds"`
}

// eventMessages are the log messages that are reported as events.
var eventMessages = []string{
	"started", "leaving", "shut down", "ready", "overload changed", "document in force", "leader changed",
	"members changed", "no leader is known", "leader is known again", "backend servers silent", "control instance lost", "control instance is out of touch",
	"process was held up", "settings reloaded", "settings not reloaded",
}

// New returns the report on the lines, with burn rates for the objective.
func New(lines []logfile.Line, o Objective) *Report {
	r := &Report{}
	seconds := map[int64]*Second{}
	second := func(t time.Time) *Second {
		s := seconds[t.Unix()]
		if s == nil {
			s = &Second{Time: t.Truncate(time.Second)}
			seconds[t.Unix()] = s
		}
		return s
	}
	for i := range lines {
		l := &lines[i]
		switch {
		case l.Message == logfile.MessageFlow:
			second(l.Time).add(l)
			r.Total.add(l)
		case slices.Contains(eventMessages, l.Message):
			s := second(l.Time)
			s.Events = append(s.Events, Event{Time: l.Time, Instance: l.Instance, Message: l.Message, Text: l.Text})
		}
	}
	for _, s := range seconds {
		slices.SortStableFunc(s.Events, func(a, b Event) int { return a.Time.Compare(b.Time) })
		r.Seconds = append(r.Seconds, *s)
	}
	slices.SortFunc(r.Seconds, func(a, b Second) int { return a.Time.Compare(b.Time) })
	r.RefusedBurn = burnRate(r.Total.Refused, r.Total.Flows, o.Refused)
	r.RepeatedBurn = burnRate(r.Total.Repeated, r.Total.Flows, o.Repeated)
	return r
}

// add counts a decision that a log line records.
func (c *Counts) add(l *logfile.Line) {
	c.Skipped += l.Skipped
	switch l.Action {
	case token.Forward.String():
		if l.Copy == 0 {
			c.Flows++
		}
		if l.Copy == 1 {
			c.Repeated++
		}
		return
	case token.Refuse.String():
		if l.Reason == token.ReasonNoRoute.String() {
			c.NoRoute++
			return
		}
		c.Flows++
		c.Refused++
	default:
		c.Dropped++
	}
	if c.Reasons == nil {
		c.Reasons = map[string]uint64{}
	}
	c.Reasons[l.Reason]++
}

// burnRate returns the share of bad flows divided by the allowed share, or 0 if
// there are no flows or none may be bad.
func burnRate(bad, flows, allowed uint64) float64 {
	const million = 1e6
	if flows == 0 || allowed == 0 {
		return 0
	}
	return float64(bad) / float64(flows) * million / float64(allowed)
}

// Worst returns the n seconds with the most bad flows and packets, in descending
// order. Seconds without any are left out.
func (r *Report) Worst(n int) []Second {
	list := slices.DeleteFunc(slices.Clone(r.Seconds), func(s Second) bool { return s.Bad() == 0 })
	slices.SortStableFunc(list, func(a, b Second) int { return cmp.Compare(b.Bad(), a.Bad()) })
	return list[:min(n, len(list))]
}

// ReasonText returns the reasons, most frequent first, separated by commas.
func (c *Counts) ReasonText() string {
	names := make([]string, 0, len(c.Reasons))
	for name := range c.Reasons {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.Reasons[b], c.Reasons[a]), strings.Compare(a, b))
	})
	return strings.Join(names, ", ")
}
