package follow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
)

// Follower is an entry instance that follows this control instance.
type Follower struct {
	Name string
	Zone catkinrail.Zone
	// Document is the version of the document that it had at the start of the
	// stream or was last sent.
	Document uint64
	// Evacuations is the revision of the evacuations that it was sent in the stream.
	Evacuations uint64
	// StartedAt is the time at which the stream started.
	StartedAt time.Time
}

// Followers returns the entry instances that follow this one, sorted by name.
func (s *Server) Followers() []Follower {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Collect(maps.Values(s.streams))
	slices.SortFunc(list, func(a, b Follower) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Follows reports whether an entry instance follows this one.
func (s *Server) Follows(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.streams {
		if f.Name == name {
			return true
		}
	}
	return false
}

// record publishes the stream's current state for Followers.
func (st *stream) record() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.streams[st] = st.Follower
}

// remove removes the stream from Followers.
func (st *stream) remove() {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.streams, st)
}
