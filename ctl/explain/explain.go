// Package explain finds the log lines that tell why a flow went where it did.
package explain

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"catkinrail.example/catkinrail/ctl/logfile"
)

// ErrNoFlow means that no line names the flow: its packets never reached an entry
// instance whose log was given, or its line was left out by the budget.
var ErrNoFlow = errors.New("no line names this flow")

// Explain returns, in order of time, the decisions about a flow, named by the
// caller's address and port, and what changed the beliefs behind them within
// span before the first and after the last: of the backend servers concerned, at
// control instances and the entry instances concerned, and of the document and
// of control, at the latter.
func Explain(lines []logfile.Line, caller string, span time.Duration) ([]logfile.Line, error) {
	var first, last time.Time
	instances, backends := map[string]bool{}, map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if !l.Of(caller) {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		instances[l.Instance] = true
		if l.Backend != "" {
			backends[l.Backend] = true
		}
	}
	if first.IsZero() {
		return nil, ErrNoFlow
	}
	from, to := first.Add(-span), last.Add(span)
	var found []logfile.Line
	for i := range lines {
		l := &lines[i]
		if l.Time.Before(from) || l.Time.After(to) || (l.Flow != "" && !l.Of(caller)) {
			continue
		}
		about := concerns(l, backends) && (!l.Entry() || instances[l.Instance])
		if l.Of(caller) || about || (instances[l.Instance] && (l.Document() || l.Followed())) {
			found = append(found, *l)
		}
	}
	slices.SortStableFunc(found, func(a, b logfile.Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
	return found, nil
}

// concerns reports whether the line is about one of the backend servers.
func concerns(l *logfile.Line, backends map[string]bool) bool {
	for b := range backends {
		if l.Names(b) {
			return true
		}
	}
	return false
}
