package token

import (
	"cmp"
	"slices"
	"time"

	"catkinrail.example/catkinrail/coordination/load"
	"catkinrail.example/catkinrail/coordination/message"
)

// othersLoad is the load that other entry instances put on a backend server of this zone.
type othersLoad struct {
	pending, flows int
	// latency is the mean time of a request over all instances; zero if unknown.
	latency time.Duration
	// at is the time up to which that is known to hold, zero if it was never known.
	at int64
}

// fresh reports whether the load is known.
func (l *othersLoad) fresh(now int64) bool {
	return l.at > 0 && now-l.at < int64(load.Expiry)
}

// sharedLoads is what the engine shares with other entry instances.
type sharedLoads struct {
	// shared is set if the document calls for sharing.
	shared bool
	// reported is set while the last report held a load, so that one without follows.
	reported bool
	view     load.View
	// backends holds those that get flows and whose keys are unique, sorted by key.
	backends []*Backend
}

// fresh reports whether the view counts in placement.
func (l *sharedLoads) fresh(now int64) bool {
	return l.shared && l.view.Fresh(now)
}

// LoadReport fills in the report of this instance's load, with the next sequence, and
// reports whether it is to be sent: loads are shared, and this instance has flows or its
// last report said so, or it asks for loans or returns some. Only the sender, its name, zone
// and process, is set by the caller.
func (e *Engine) LoadReport(r *message.LoadReport, now int64) bool {
	e.expireMoved(now)
	r.Servers = r.Servers[:0]
	asks := e.ask(r, now)
	if !e.loads.shared && !asks {
		e.loads.reported = false
		return false
	}
	for _, b := range e.loads.backends {
		if !e.loads.shared {
			break
		}
		if b.flows == 0 && b.pending == 0 && b.pendingHandshakes == 0 {
			continue
		}
		r.Servers = append(r.Servers, message.ServerLoad{
			Server: b.loadKey, Pending: b.pending + b.pendingHandshakes, Flows: b.flows, Latency: b.work.Latency(now),
		})
	}
	if len(r.Servers) == 0 && !e.loads.reported && !asks {
		return false
	}
	e.loads.reported = len(r.Servers) > 0
	r.Sequence++
	r.Known = e.loads.view.Known()
	e.loads.view.RecordSent(r, now)
	e.recordAsked(r, now)
	return true
}

// ApplyLoad applies the reply to a report, and reports whether it was newer than those
// before.
func (e *Engine) ApplyLoad(r *message.LoadReply, now int64) bool {
	e.applyLoans(r, now)
	v := &e.loads.view
	if !v.Apply(r) {
		return false
	}
	for _, b := range e.loads.backends {
		if b.Zone != e.zone {
			continue
		}
		o := v.Others(b.loadKey)
		b.others = othersLoad{pending: o.Pending, flows: o.Flows, latency: o.Latency, at: v.At()}
	}
	e.refreshPlacement(now)
	return true
}

// LoadView returns the view of the load that others put on backend servers.
func (e *Engine) LoadView() *load.View {
	return &e.loads.view
}

// index sorts the backend servers that get flows by key for the reports. Those that share a
// key are left out, since reports can't tell them apart.
func (l *sharedLoads) index(list []*Backend) {
	l.backends = l.backends[:0]
	slices.SortFunc(list, func(a, b *Backend) int { return cmp.Compare(a.loadKey, b.loadKey) })
	for i, b := range list {
		if (i > 0 && list[i-1].loadKey == b.loadKey) || (i+1 < len(list) && list[i+1].loadKey == b.loadKey) {
			b.others = othersLoad{}
			continue
		}
		l.backends = append(l.backends, b)
	}
}
