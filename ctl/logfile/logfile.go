// Package logfile reads the log files of instances.
package logfile

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"catkinrail.example/catkinrail"
)

// maxLine bounds a log line in bytes.
const maxLine = 1 << 20

// entryProgram is the program of an entry instance.
const entryProgram = "catkinrail-entry"

// MessageFlow is the message of a line about a decision on a flow.
const MessageFlow = "flow"

// Line is a line of a log.
type Line struct {
	Time     time.Time `json:"time"`
	Program  string    `json:"program"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	// Flow, Action, Reason and Copy are those of a decision on a packet.
	Flow   string `json:"flow"`
	Action string `json:"action"`
	Reason string `json:"reason"`
	// Copy numbers the copies of an opening packet; zero is the first.
	Copy uint32 `json:"copy"`
	// Skipped is the number of lines that were left out before this one.
	Skipped  uint64   `json:"skipped"`
	Backend  string   `json:"backend"`
	Backends []string `json:"backends"`
	Version  *uint64  `json:"version"`
	Control  string   `json:"control"`
	// Text holds all fields but time, instance, message, level and program.
	Text string `json:"-"`
}

// hidden are the fields that are not in a line's text.
var hidden = []string{"time", "instance", "message", "level", "program"}

// ReadFiles reads the lines of several files.
func ReadFiles(names []string) ([]Line, error) {
	var lines []Line
	for _, name := range names {
		list, err := readFile(name)
		if err != nil {
			return nil, catkinrail.At(err, "read log", name)
		}
		lines = append(lines, list...)
	}
	return lines, nil
}

func readFile(name string) ([]Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return Read(f)
}

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
	var line Line
	if json.Unmarshal(b, &line) != nil || line.Instance == "" {
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
	line.Text = strings.Join(parts, " ")
	return line, true
}

// Of reports whether the line is a decision about a flow of the caller, given as
// address and port.
func (l *Line) Of(caller string) bool {
	return l.Flow == caller || strings.HasPrefix(l.Flow, caller+">")
}

// Names reports whether the line is about the backend server.
func (l *Line) Names(backend string) bool {
	return l.Backend == backend || slices.Contains(l.Backends, backend)
}

// Entry reports whether an entry instance wrote the line.
func (l *Line) Entry() bool {
	return l.Program == entryProgram
}

// Document reports whether the line tells of a document.
func (l *Line) Document() bool {
	return l.Version != nil && strings.HasPrefix(l.Message, "document")
}

// Followed reports whether the line tells of the control instance that is followed.
func (l *Line) Followed() bool {
	return l.Control != "" && l.Backend == ""
}
