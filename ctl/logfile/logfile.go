// Package logfile parses the log files of instances.
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

// maxLineBytes limits a log line. A longer line ends reading with an error.
const maxLineBytes = 1 << 20

// entryProgram is the program name that entry instances log.
const entryProgram = "catkinrail-entry"

// MessageFlow is the message of a line about a decision on a flow.
const MessageFlow = "flow"

// Line is one parsed line of a log.
type Line struct {
	Time     time.Time `json:"time"`
	Program  string    `json:"program"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	// Flow, Action, Reason and Copy are set on a line about a decision on a packet.
	Flow   string `json:"flow"`
	Action string `json:"action"`
	Reason string `json:"reason"`
	// Copy is the number of opening packets that the caller sent before this one: 0
	// for the first.
	Copy uint32 `json:"copy"`
	// Skipped is the number of lines left out before this one to limit the log's rate.
	Skipped  uint64   `json:"skipped"`
	Backend  string   `json:"backend"`
	Backends []string `json:"backends"`
	Version  *uint64  `json:"version"`
	Control  string   `json:"control"`
	// Text lists the fields other than omittedFields as name=value, sorted and
	// separated by spaces.
	Text string `json:"-"`
}

// omittedFields are the fields that Line.Text leaves out.
var omittedFields = []string{"time", "instance", "message", "level", "program"}

// ReadFiles reads the lines of several files, in the order of the names. Errors name
// the file.
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

// Read reads the lines of a log. It ignores text before the JSON object of a line,
// and lines without a valid object that names an instance.
func Read(r io.Reader) ([]Line, error) {
	var list []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
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
	for _, name := range omittedFields {
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

// IsFlowOf reports whether the line is a decision about a flow of the caller. The
// caller is given as address and port.
func (l *Line) IsFlowOf(caller string) bool {
	return l.Flow == caller || strings.HasPrefix(l.Flow, caller+">")
}

// NamesBackend reports whether the line names the backend server.
func (l *Line) NamesBackend(backend string) bool {
	return l.Backend == backend || slices.Contains(l.Backends, backend)
}

// FromEntryInstance reports whether an entry instance wrote the line.
func (l *Line) FromEntryInstance() bool {
	return l.Program == entryProgram
}

// AboutDocument reports whether the line is about a version of the document.
func (l *Line) AboutDocument() bool {
	return l.Version != nil && strings.HasPrefix(l.Message, "document")
}

// AboutControl reports whether the line is about the control instance that an entry
// instance follows.
func (l *Line) AboutControl() bool {
	return l.Control != "" && l.Backend == ""
}
