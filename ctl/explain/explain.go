// Package explain finds the log lines that explain how a flow was routed.
package explain

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"catkinrail.example/catkinrail/ctl/logfile"
)

// ErrNoFlow means that no line names the flow: its packets never reached an entry
// instance whose log was given, or its lines were left out to limit the log's rate.
var ErrNoFlow = errors.New("no log line names this flow")

// Explain returns, in order of time, the lines with decisions about a flow, which
// is named by the caller's address and port, and the lines that may explain them,
// from span before the first decision to span after the last. These are lines about
// the backend servers that the flow was sent to, from control instances and from the
// entry instances that handled the flow, and lines about the document and the
// followed control instance, from those entry instances.
func Explain(lines []logfile.Line, caller string, span time.Duration) ([]logfile.Line, error) {
	var first, last time.Time
	instances, backends := map[string]bool{}, map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if !l.IsFlowOf(caller) {
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
		if l.Time.Before(from) || l.Time.After(to) || (l.Flow != "" && !l.IsFlowOf(caller)) {
			continue
		}
		aboutBackend := namesAny(l, backends) && (!l.FromEntryInstance() || instances[l.Instance])
		if l.IsFlowOf(caller) || aboutBackend || (instances[l.Instance] && (l.AboutDocument() || l.AboutControl())) {
			found = append(found, *l)
		}
	}
	slices.SortStableFunc(found, func(a, b logfile.Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
	return found, nil
}

// namesAny reports whether the line names one of the backend servers.
func namesAny(l *logfile.Line, backends map[string]bool) bool {
	for b := range backends {
		if l.NamesBackend(b) {
			return true
		}
	}
	return false
}
