// Package wire defines the requests and answers that emulated callers and backend
// servers exchange in the payload of TCP and UDP packets.
package wire

import (
	"fmt"
	"strings"
)

// Request asks for an answer of several chunks.
type Request struct {
	ID     uint32
	Chunks int
}

// Append appends the request's text to b.
func (r *Request) Append(b []byte) []byte {
	return fmt.Appendf(b, "request %d %d", r.ID, r.Chunks)
}

// ParseRequest parses the text of a request.
func ParseRequest(b []byte) (r Request, ok bool) {
	_, err := fmt.Sscanf(string(b), "request %d %d", &r.ID, &r.Chunks)
	return r, err == nil
}

// Answer is a chunk of an answer: the Index-th of Total. Total is 0 in the answer to
// an opening packet. Slot names the incarnation of the backend server and its slot.
type Answer struct {
	Service, Slot string
	ID            uint32
	Index, Total  int
}

// Append appends the answer's text to b.
func (a *Answer) Append(b []byte) []byte {
	return fmt.Appendf(b, "answer %s %s %d %d %d", a.Service, a.Slot, a.ID, a.Index, a.Total)
}

// ParseAnswer parses the text of an answer.
func ParseAnswer(b []byte) (a Answer, ok bool) {
	if !strings.HasPrefix(string(b), "answer ") {
		return a, false
	}
	_, err := fmt.Sscanf(string(b), "answer %s %s %d %d %d", &a.Service, &a.Slot, &a.ID, &a.Index, &a.Total)
	return a, err == nil
}
