// Package directory keeps what control knows of backend servers: a map that
// takes the last writer by birth and sequence, so that instances agree without
// a leader once they have heard the same reports in any order.
package directory

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/zeebo/xxh3"

	"catkinrail.example/catkinrail"
)

// entry is an incarnation with what this instance observed of it.
type entry struct {
	inc catkinrail.Incarnation
	// heard is the time of the newest report, in nanoseconds of the clock.
	heard int64
	// warm is the time at which its warm-up ends.
	warm   int64
	silent bool
	// revision is that of the last change that others must hear of.
	revision uint64
	// pulse is the revision of the last report.
	pulse uint64
	// local is set if the last change came from the backend server itself.
	local bool
}

// Limits of what is kept.
const (
	// maxEntries bounds the directory, above the planned 4,800 backend servers
	// with a day's replacements.
	maxEntries = 1 << 15
	// minOrder is the number of superseded changes that are kept in any case.
	minOrder = 256
)

// Directory isn't safe for concurrent use.
type Directory struct {
	silentAfter int64
	entries     map[string]*entry
	byAddr      map[netip.AddrPort]string
	revision    uint64
	// order lists the changes that others must hear of, oldest first. An entry's
	// latest is always among them.
	order []change
}

// change says that an entry got a revision.
type change struct {
	revision uint64
	name     string
}

// note gives an entry the next revision, as a change that others must hear of.
func (d *Directory) note(name string, e *entry) {
	d.revision++
	e.revision, e.pulse = d.revision, d.revision
	d.order = append(d.order, change{d.revision, name})
	if len(d.order) > 2*len(d.entries)+minOrder {
		d.order = slices.DeleteFunc(d.order, func(c change) bool {
			e := d.entries[c.name]
			return e == nil || e.revision != c.revision
		})
	}
}

// New returns an empty directory. A backend server that has not reported for
// silentAfter counts as silent.
func New(silentAfter time.Duration) *Directory {
	return &Directory{
		silentAfter: int64(silentAfter), entries: map[string]*entry{}, byAddr: map[netip.AddrPort]string{},
	}
}

// Outcome says what a report did.
type Outcome uint8

// Outcomes.
const (
	// Ignored reports were older than what is known, or can't be taken.
	Ignored Outcome = iota
	// Renewed reports changed nothing but the time.
	Renewed
	// Changed reports changed what others must hear of.
	Changed
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"ignored", "renewed", "changed"}[o]
}

// Report takes a report, from the backend server itself if local is set.
func (d *Directory) Report(inc *catkinrail.Incarnation, now int64, local bool) Outcome {
	old := d.entries[inc.Name]
	if old != nil && !inc.Newer(&old.inc) {
		return Ignored
	}
	if old == nil && len(d.entries) >= maxEntries {
		return Ignored
	}
	same := old != nil && sameState(&old.inc, inc) && !old.silent
	if old == nil {
		old = &entry{}
		d.entries[inc.Name] = old
	}
	old.inc = *inc
	old.heard, old.local, old.silent = now, local, false
	old.warm = now + int64(inc.Warmup)
	if same {
		d.revision++
		old.pulse = d.revision
		return Renewed
	}
	d.note(inc.Name, old)
	d.settleAddr(inc)
	return Changed
}

func sameState(a, b *catkinrail.Incarnation) bool {
	return a.StartedAt == b.StartedAt && a.Gone == b.Gone && a.Draining == b.Draining && a.Addr == b.Addr &&
		a.Service == b.Service && a.Slots == b.Slots && a.Zone == b.Zone
}

// settleAddr ends the life of an incarnation whose address a later one has: the
// address is free again only after its earlier holder has ended.
func (d *Directory) settleAddr(inc *catkinrail.Incarnation) {
	if inc.Gone {
		return
	}
	other := d.entries[d.byAddr[inc.Addr]]
	if other == nil || other.inc.Name == inc.Name || other.inc.Addr != inc.Addr {
		d.byAddr[inc.Addr] = inc.Name
		return
	}
	if d.entries[inc.Name].later(other) {
		d.byAddr[inc.Addr] = inc.Name
		d.end(other)
		return
	}
	d.end(d.entries[inc.Name])
}

// later orders two incarnations that hold the same address.
func (e *entry) later(other *entry) bool {
	if c := cmp.Compare(e.inc.StartedAt, other.inc.StartedAt); c != 0 {
		return c > 0
	}
	return e.inc.Name > other.inc.Name
}

func (d *Directory) end(e *entry) {
	if e.inc.Gone {
		return
	}
	e.inc.Gone = true
	d.note(e.inc.Name, e)
}

// Leave ends an incarnation. If born is zero, it ends the one that is known.
func (d *Directory) Leave(name string, born, now int64) Outcome {
	e := d.entries[name]
	if e == nil || e.inc.Gone || (born != 0 && born < e.inc.StartedAt) {
		return Ignored
	}
	e.inc.StartedAt = max(e.inc.StartedAt, born)
	e.heard, e.local = now, true
	d.end(e)
	return Changed
}

// Renew takes a renewal that another instance passes on. It returns false if it
// doesn't renew what is known here, so that the whole report must be told.
func (d *Directory) Renew(name string, born int64, sequence uint64, draining bool, now int64) bool {
	e := d.entries[name]
	if e == nil || e.inc.StartedAt < born {
		return false
	}
	if e.inc.StartedAt != born || e.inc.Gone || e.inc.Sequence >= sequence {
		return true
	}
	if e.inc.Draining != draining {
		return false
	}
	e.inc.Sequence = sequence
	e.heard = now
	if e.silent {
		e.silent = false
		d.note(name, e)
	}
	return true
}

// Tick notes who has fallen silent and forgets what is long over. It returns the
// names of those whose silence began.
func (d *Directory) Tick(now int64) []string {
	var silent []string
	for name, e := range d.entries {
		age := now - e.heard
		if (e.inc.Gone || e.silent) && age > int64(catkinrail.EndedRetention) {
			delete(d.entries, name)
			if d.byAddr[e.inc.Addr] == name {
				delete(d.byAddr, e.inc.Addr)
			}
			continue
		}
		if !e.silent && !e.inc.Gone && age > d.silentAfter {
			e.silent = true
			d.note(name, e)
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// CompensatePause moves the time of every report by the span for which this instance could
// not hear any.
func (d *Directory) CompensatePause(span int64) {
	for _, e := range d.entries {
		e.heard += span
	}
}

// Revision returns the number of the last change or renewal.
func (d *Directory) Revision() uint64 {
	return d.revision
}

// LastChange returns the revision of the last change that others must hear of.
func (d *Directory) LastChange() uint64 {
	if len(d.order) == 0 {
		return 0
	}
	return d.order[len(d.order)-1].revision
}

// View is an incarnation with what was observed of it.
type View struct {
	catkinrail.Incarnation
	Silent bool
	// LastReport is the time of its last report, in nanoseconds of the clock.
	LastReport int64
}

func (e *entry) view(now int64) View {
	v := View{Incarnation: e.inc, Silent: e.silent, LastReport: e.heard}
	v.Warmup = time.Duration(max(0, e.warm-now))
	return v
}

// Since returns what has changed after a revision, oldest change first. Its cost
// is that of the changes, not of the directory.
func (d *Directory) Since(revision uint64, now int64) []View {
	from := sort.Search(len(d.order), func(i int) bool { return d.order[i].revision > revision })
	var list []View
	for _, c := range d.order[from:] {
		if e := d.entries[c.name]; e != nil && e.revision == c.revision {
			list = append(list, e.view(now))
		}
	}
	return list
}

// LocalSince returns what backend servers said to this instance itself after a
// revision: what has changed, and what was merely renewed.
func (d *Directory) LocalSince(revision uint64, now int64) (changed []catkinrail.Incarnation, renewed []catkinrail.Incarnation) {
	for _, e := range d.entries {
		switch {
		case !e.local || e.pulse <= revision:
		case e.revision > revision:
			changed = append(changed, e.view(now).Incarnation)
		default:
			renewed = append(renewed, e.inc)
		}
	}
	return changed, renewed
}

// All returns every incarnation, oldest change first.
func (d *Directory) All(now int64) []catkinrail.Incarnation {
	var list []catkinrail.Incarnation
	for _, v := range d.Since(0, now) {
		list = append(list, v.Incarnation)
	}
	return list
}

// Digest returns a hash of what instances must agree on. It doesn't depend on
// the order in which reports came.
func (d *Directory) Digest() uint64 {
	sum := uint64(1)
	var b []byte
	for name, e := range d.entries {
		b = append(b[:0], name...)
		b = binary.LittleEndian.AppendUint64(b, uint64(e.inc.StartedAt))
		b = append(b, boolByte(e.inc.Gone), boolByte(e.inc.Draining))
		sum ^= xxh3.Hash(b)
	}
	return sum
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}
