package token

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
)

// FollowedBackend is an incarnation with what control has observed of it.
type FollowedBackend struct {
	catkinrail.Incarnation
	Silent bool
	// Superseded is set while another incarnation holds its address.
	Superseded bool
}

// SetDocument puts a document in force if it is newer than the current one, and
// reports whether it is.
func (e *Engine) SetDocument(d *catkinrail.Document) bool {
	if e.document != nil && d.Version <= e.document.Version {
		return false
	}
	e.document = d
	e.routes = make(map[netip.AddrPort]*catkinrail.Route, len(d.Routes))
	for i := range d.Routes {
		e.routes[d.Routes[i].Listen] = &d.Routes[i]
	}
	e.loads.shared = d.SharesLoads()
	e.forgetSizes()
	if named := serviceNames(d); maps.Equal(named, e.named) {
		e.indexPlacement()
	} else {
		e.named = named
		e.rebuildIndex()
	}
	e.setWarmupLimits()
	return true
}

func serviceNames(d *catkinrail.Document) map[string]bool {
	named := make(map[string]bool, len(d.Services))
	for _, name := range d.Services {
		named[name] = true
	}
	return named
}

// SetEvacuations puts the evacuations in force if they are newer than the current ones,
// and reports whether they are.
func (e *Engine) SetEvacuations(ev *catkinrail.Evacuations) bool {
	if ev.Revision <= e.evacuations.Revision {
		return false
	}
	e.evacuations = *ev
	for _, b := range e.backends {
		b.evacuated = e.isEvacuated(b.Zone)
	}
	e.indexPlacement()
	return true
}

func (e *Engine) isEvacuated(zone catkinrail.Zone) bool {
	return slices.Contains(e.evacuations.Zones, zone)
}

// Evacuations returns the evacuations in force.
func (e *Engine) Evacuations() catkinrail.Evacuations {
	return e.evacuations
}

// OpenFlows adds, for each zone with a backend server, the number of open flows that are tracked
// on its backend servers to counts.
func (e *Engine) OpenFlows(counts map[catkinrail.Zone]int) {
	for _, b := range e.backends {
		counts[b.Zone] += b.flows - b.pendingHandshakes
	}
}

// Version returns the version of the document in force, or zero.
func (e *Engine) Version() uint64 {
	if e.document == nil {
		return 0
	}
	return e.document.Version
}

// RecordContact records an update from a control instance that is in contact with
// its leader and has sent all that it knows.
func (e *Engine) RecordContact(now int64) {
	e.lastContact = now
}

// Age returns the time since the last recorded contact with control.
func (e *Engine) Age(now int64) time.Duration {
	return time.Duration(now - e.lastContact)
}

// Flows returns the number of flows that are tracked.
func (e *Engine) Flows() int {
	return len(e.flows)
}

// Update applies the states of backend servers that control has sent, and returns
// the backend servers that changed. States of ended incarnations are ignored; of an
// outdated report, only what the sender observed itself counts.
func (e *Engine) Update(list []FollowedBackend, now int64) []*Backend {
	var changed []*Backend
	for i := range list {
		if at := list[i].StartedAt; at > 0 && (e.oldestStart == 0 || at < e.oldestStart) {
			e.oldestStart = at
		}
	}
	for i := range list {
		in := &list[i]
		b := e.backends[in.Name]
		if b != nil && in.endedBy(&b.Incarnation) {
			continue
		}
		if b == nil || b.StartedAt != in.StartedAt {
			// The flows of an earlier incarnation have ended with it.
			b = &Backend{seenAt: now, seenInTraffic: e.placed}
			e.backends[in.Name] = b
		}
		if b.apply(in, now) {
			changed = append(changed, b)
		}
		b.evacuated = e.isEvacuated(b.Zone)
	}
	if len(changed) > 0 {
		e.rebuildIndex()
	}
	return changed
}

// endedBy reports whether known, the stored incarnation of the same name, shows that
// the one in the update has ended.
func (in *FollowedBackend) endedBy(known *catkinrail.Incarnation) bool {
	if in.StartedAt != known.StartedAt {
		return in.StartedAt < known.StartedAt
	}
	return known.Gone && !in.Gone && !in.Newer(known)
}

// apply applies a state sent by control. If its report isn't newer than the known
// one, only what the sender observed itself is updated. It reports whether the backend
// server changed.
func (b *Backend) apply(in *FollowedBackend, now int64) bool {
	before := *b
	if in.Newer(&b.Incarnation) {
		b.Incarnation = in.Incarnation
		b.token = in.Token()
		b.loadKey = message.NewServerKey(b.token, b.StartedAt)
		b.warmUntil = now + int64(in.Warmup)
	}
	b.silent, b.superseded = in.Silent, in.Superseded
	if b.Ended() && !before.Ended() {
		b.endedAt = now
	}
	if b.silent && !before.silent {
		b.silentSince = now
	}
	return before.Name == "" || before.Draining != b.Draining || before.Ended() != b.Ended() || before.silent != b.silent
}

// expireBackends removes the incarnations that ended or fell silent more than
// catkinrail.EndedRetention ago.
func (e *Engine) expireBackends(now int64) {
	n := len(e.backends)
	for name, b := range e.backends {
		since := b.silentSince
		if b.Ended() {
			since = b.endedAt
		}
		if (b.Ended() || b.silent) && now-since > int64(catkinrail.EndedRetention) {
			delete(e.backends, name)
		}
	}
	if len(e.backends) < n {
		e.rebuildIndex()
	}
}

// rebuildIndex assigns each token to the incarnation that started first among those
// that have not ended, so that a token never changes its meaning for an open flow.
// An incarnation whose token is taken gets no flows. Reports of services that the document
// doesn't name, or without a time of start, may come from another writer and take no token
// from others.
func (e *Engine) rebuildIndex() {
	list := make([]*Backend, 0, len(e.backends))
	for _, b := range e.backends {
		b.named = e.named[b.Service]
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b *Backend) int {
		return cmp.Or(
			compareBools(a.Ended(), b.Ended()), compareBools(b.named, a.named), compareBools(a.StartedAt == 0, b.StartedAt == 0),
			cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(a.Name, b.Name),
		)
	})
	clear(e.tokens)
	clear(e.services)
	receiving := list[:0:0]
	for _, b := range list {
		if e.tokens[b.token] != nil {
			continue
		}
		e.tokens[b.token] = b
		if !b.Ended() {
			e.services[b.Service] = append(e.services[b.Service], b)
			receiving = append(receiving, b)
		}
	}
	e.loads.index(receiving)
	e.indexPlacement()
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// NumBackends returns the number of known incarnations.
func (e *Engine) NumBackends() int {
	return len(e.backends)
}

// Backends returns the known incarnations by name.
func (e *Engine) Backends() map[string]catkinrail.Incarnation {
	list := make(map[string]catkinrail.Incarnation, len(e.backends))
	for name, b := range e.backends {
		inc := b.Incarnation
		// Sequence and remaining warm-up differ from instance to instance.
		inc.Sequence, inc.Warmup = 0, 0
		list[name] = inc
	}
	return list
}
