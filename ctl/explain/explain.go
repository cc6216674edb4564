// Package explain finds the log lines that tell why a flow went where it did.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// ErrNoFlow means that no line names the flow: its packets never reached an entry
// instance whose log was given, or its line was left out by the budget.
var ErrNoFlow = errors.New("no line names this flow")

// Line is a line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Text is the rest of the line.
	Text string

	flow     string
	backends []string
	document bool
	control  bool
	// entry is set on the lines of an entry instance.
	entry bool
}

// record is what is read of a line.
type record struct {
	Time     time.Time `json:"time"`
	Program  string    `json:"program"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	Flow     string    `json:"flow"`
	Backend  string    `json:"backend"`
	Backends []string  `json:"backends"`
	Version  *uint64   `json:"version"`
	Control  string    `json:"control"`
}

// entryProgram is the program of an entry instance.
const entryProgram = "catkinrail-entry"

// hidden are the fields that a Line shows elsewhere.
var hidden = []string{"time", "instance", "message", "level", "program"}

// Read reads the lines of a log. What precedes the JSON on a line, and lines
// without any, are passed over.
func Read(r io.Reader) ([]Line, error) {
	var list []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		_, text, found := strings.Cut(s.Text(), "{")
		if !found {
			continue
		}
		if line, ok := parse([]byte("{" + text)); ok {
			list = append(list, line)
		}
	}
	return list, s.Err()
}

func parse(b []byte) (Line, bool) {
	var rec record
	if json.Unmarshal(b, &rec) != nil || rec.Instance == "" {
		return Line{}, false
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(b, &fields) != nil {
		return Line{}, false
	}
	for _, name := range hidden {
		delete(fields, name)
	}
	var parts []string
	for name, value := range fields {
		parts = append(parts, fmt.Sprintf("%s=%s", name, strings.Trim(string(value), `"`)))
	}
	slices.Sort(parts)
	line := Line{
		Time: rec.Time, Instance: rec.Instance, Message: rec.Message, Text: strings.Join(parts, " "),
		flow: rec.Flow, backends: rec.Backends, document: rec.Version != nil && strings.HasPrefix(rec.Message, "document"),
		control: rec.Control != "" && rec.Backend == "", entry: rec.Program == entryProgram,
	}
	if rec.Backend != "" {
		line.backends = append(line.backends, rec.Backend)
	}
	return line, true
}

// Explain returns, in order of time, the decisions about a flow, named by the
// caller's address and port, and what changed the beliefs behind them within
// span before the first and after the last: of the backend servers concerned, at
// control instances and the entry instances concerned, and of the document and
// of control, at the latter.
func Explain(lines []Line, caller string, span time.Duration) ([]Line, error) {
	var first, last time.Time
	instances, backends := map[string]bool{}, map[string]bool{}
	for i := range lines {
		l := &lines[i]
		if !l.of(caller) {
			continue
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		instances[l.Instance] = true
		for _, b := range l.backends {
			backends[b] = true
		}
	}
	if first.IsZero() {
		return nil, ErrNoFlow
	}
	from, to := first.Add(-span), last.Add(span)
	var found []Line
	for i := range lines {
		l := &lines[i]
		if l.Time.Before(from) || l.Time.After(to) || (l.flow != "" && !l.of(caller)) {
			continue
		}
		about := slices.ContainsFunc(l.backends, func(b string) bool { return backends[b] })
		about = about && (!l.entry || instances[l.Instance])
		if l.of(caller) || about || (instances[l.Instance] && (l.document || l.control)) {
			found = append(found, *l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
	return found, nil
}

// of reports whether the line is a decision about a flow of the caller.
func (l *Line) of(caller string) bool {
	return l.flow == caller || strings.HasPrefix(l.flow, caller+">")
}
