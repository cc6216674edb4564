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
	// Document is the version of the document that it was last told.
	Document uint64
	// Began is the time at which the stream began.
	Began time.Time
}

// Followers returns the entry instances that follow, in order of their names.
func (s *Server) Followers() []Follower {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.Collect(maps.Values(s.streams))
	slices.SortFunc(list, func(a, b Follower) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// note keeps what the stream's entry instance has been told, for Followers.
func (x *stream) note() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.streams[x] = x.Follower
}

// end forgets the stream.
func (x *stream) end() {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.streams, x)
}
