package token

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
)

// FollowedBackend is an incarnation with what control has observed of it.
type FollowedBackend struct {
	catkinrail.Incarnation
	Silent bool
}

// SetDocument takes a document and reports whether it is newer than the one in
// force. An older one is never taken.
func (e *Engine) SetDocument(d *catkinrail.Document) bool {
	if e.document != nil && d.Version <= e.document.Version {
		return false
	}
	e.document = d
	e.routes = make(map[netip.AddrPort]*catkinrail.Route, len(d.Routes))
	for i := range d.Routes {
		e.routes[d.Routes[i].Listen] = &d.Routes[i]
	}
	return true
}

// Version returns the version of the document in force, or zero.
func (e *Engine) Version() uint64 {
	if e.document == nil {
		return 0
	}
	return e.document.Version
}

// RecordContact notes an update of a control instance that is in touch with its leader
// and has told all that it knows.
func (e *Engine) RecordContact(now int64) {
	e.heard = now
}

// Age returns the age of the last update of a current control instance.
func (e *Engine) Age(now int64) time.Duration {
	return time.Duration(now - e.heard)
}

// Flows returns the number of flows that are remembered.
func (e *Engine) Flows() int {
	return len(e.flows)
}

// Update takes what control knows of backend servers and returns those that this
// changed. What is older than what is known is passed over.
func (e *Engine) Update(list []FollowedBackend, now int64) []*Backend {
	var changed []*Backend
	for i := range list {
		in := &list[i]
		b := e.backends[in.Name]
		if b != nil && in.ended(&b.Incarnation) {
			continue
		}
		if b == nil || b.StartedAt != in.StartedAt {
			// The flows of an earlier life have ended with it.
			b = &Backend{}
			e.backends[in.Name] = b
		}
		if b.take(in, now) {
			changed = append(changed, b)
		}
	}
	if len(changed) > 0 {
		e.index()
	}
	return changed
}

// ended reports whether known says that the life which in tells of is over.
func (in *FollowedBackend) ended(known *catkinrail.Incarnation) bool {
	if in.StartedAt != known.StartedAt {
		return in.StartedAt < known.StartedAt
	}
	return known.Gone && !in.Gone
}

// take takes a report, unless a newer one is known: then only what its sender
// observed is new. It reports whether the backend server changed.
func (b *Backend) take(in *FollowedBackend, now int64) bool {
	before := *b
	if in.Newer(&b.Incarnation) {
		b.Incarnation = in.Incarnation
		b.token = in.Token()
		b.warm = now + int64(in.Warmup)
	}
	b.silent = in.Silent
	if b.Gone && !before.Gone {
		b.ended = now
	}
	if b.silent && !before.silent {
		b.quiet = now
	}
	return before.Name == "" || before.Draining != b.Draining || before.Gone != b.Gone || before.silent != b.silent
}

// forgetEnded forgets the incarnations that are long gone or silent.
func (e *Engine) forgetEnded(now int64) {
	n := len(e.backends)
	for name, b := range e.backends {
		since := b.quiet
		if b.Gone {
			since = b.ended
		}
		if (b.Gone || b.silent) && now-since > int64(catkinrail.EndedRetention) {
			delete(e.backends, name)
		}
	}
	if len(e.backends) < n {
		e.index()
	}
}

// index gives each token to the incarnation that was born first among those that
// live, so that a token never changes its meaning under an open flow. An
// incarnation whose token is taken gets no flows.
func (e *Engine) index() {
	list := make([]*Backend, 0, len(e.backends))
	for _, b := range e.backends {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b *Backend) int {
		if a.Gone != b.Gone {
			if a.Gone {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Name, b.Name))
	})
	clear(e.tokens)
	clear(e.services)
	for _, b := range list {
		if e.tokens[b.token] != nil {
			continue
		}
		e.tokens[b.token] = b
		if !b.Gone {
			e.services[b.Service] = append(e.services[b.Service], b)
		}
	}
}

// Backends returns the incarnations that are known, by name.
func (e *Engine) Backends() map[string]catkinrail.Incarnation {
	list := make(map[string]catkinrail.Incarnation, len(e.backends))
	for name, b := range e.backends {
		inc := b.Incarnation
		// Renewals and the time since a start differ from instance to instance.
		inc.Sequence, inc.Warmup = 0, 0
		list[name] = inc
	}
	return list
}
