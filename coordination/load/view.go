package load

import (
	"slices"
	"time"

	"catkinrail.example/catkinrail/coordination/message"
)

// maxSent is the number of reports that are kept until their reply arrives. A report is
// only sent after the call for the one before has ended.
const maxSent = 4

// View is the load that other entry instances put on backend servers, as replies to the
// own reports tell. The zero value is empty. It isn't safe for concurrent use.
type View struct {
	// sent holds the last reports, in a ring.
	sent [maxSent]sentReport
	next int
	// applied is the sequence of the report whose reply was applied last, at the time at
	// which it was sent.
	applied uint64
	at      int64
	point   message.ResumePoint
	others  map[Key]Load
	zones   []message.ZoneLoad
	// instances is the number of entry instances of this zone that report.
	instances int
}

// sentReport is what a reply needs of the report that it answers.
type sentReport struct {
	sequence uint64
	at       int64
	servers  []message.ServerLoad
}

// RecordSent records a report before it is sent.
func (v *View) RecordSent(r *message.LoadReport, now int64) {
	s := &v.sent[v.next]
	v.next = (v.next + 1) % maxSent
	s.sequence, s.at = r.Sequence, now
	s.servers = append(s.servers[:0], r.Servers...)
	if !slices.IsSortedFunc(s.servers, compareLoads) {
		slices.SortFunc(s.servers, compareLoads)
	}
}

// Known returns the point that the next report states.
func (v *View) Known() message.ResumePoint {
	return v.point
}

// Apply applies a reply and reports whether it did: a reply is rejected if a newer one was
// applied, if it builds on another control instance's, or if it doesn't say which part of
// the sums is this instance's own.
//
// A row that a reply leaves out has not changed since the last reply, this instance's part
// in it included, so that the load of the others hasn't either.
func (v *View) Apply(r *message.LoadReply) bool {
	if r.Sequence <= v.applied {
		return false
	}
	i := slices.IndexFunc(v.sent[:], func(s sentReport) bool { return s.sequence == r.Sequence })
	if i < 0 {
		return false
	}
	if !r.Whole && r.Revision.Process != v.point.Process {
		return false
	}
	own := &v.sent[i]
	if r.Whole || v.others == nil {
		v.others = make(map[Key]Load, len(r.Servers))
	}
	for j := range r.Servers {
		v.applyRow(&r.Servers[j], own)
	}
	if r.Whole || r.Zones != nil {
		v.zones = r.Zones
	}
	v.applied, v.at, v.point, v.instances = r.Sequence, own.at, r.Revision, r.Instances
	return true
}

// applyRow records the load of the others on a backend server.
func (v *View) applyRow(l *message.ServerLoad, own *sentReport) {
	o := Load{Pending: l.Pending, Flows: l.Flows, Latency: l.Latency}
	if i, found := slices.BinarySearchFunc(own.servers, *l, compareLoads); found {
		o.Pending -= own.servers[i].Pending
		o.Flows -= own.servers[i].Flows
	}
	o.Pending, o.Flows = max(0, o.Pending), max(0, o.Flows)
	if o.Pending == 0 && o.Flows == 0 {
		delete(v.others, l.Server)
		return
	}
	v.others[l.Server] = o
}

// Others returns the load that other entry instances put on a backend server of this
// zone. The latency is the mean over all instances, this one included.
func (v *View) Others(k Key) Load {
	return v.others[k]
}

// At returns the time up to which the view is known to hold: that at which the answered
// report was sent. It is zero before the first reply.
func (v *View) At() int64 {
	return v.at
}

// Fresh reports whether the view counts.
func (v *View) Fresh(now int64) bool {
	age := now - v.at
	return v.applied > 0 && age >= 0 && age < int64(Expiry)
}

// Age returns the time since At.
func (v *View) Age(now int64) time.Duration {
	return time.Duration(now - v.at)
}

// Zones returns the load of the other zones by service, this instance's part included. The
// caller must not change the list.
func (v *View) Zones() []message.ZoneLoad {
	return v.zones
}

// Instances returns the number of entry instances of this zone that report.
func (v *View) Instances() int {
	return v.instances
}

// Rows returns the number of backend servers that others put load on.
func (v *View) Rows() int {
	return len(v.others)
}
