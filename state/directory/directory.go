// Package directory keeps what control instances know of backend servers. It is a map
// in which the last writer wins, by start time and sequence, so that instances agree
// without a leader once they have received the same reports, in any order.
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
	// lastReport is the time of the newest report, in nanoseconds of the clock.
	lastReport int64
	// warmUntil is the time at which its warm-up ends.
	warmUntil int64
	silent    bool
	// revision is that of the last change. A renewal is not a change.
	revision uint64
	// reportRevision is that of the last report or change.
	reportRevision uint64
	// local is set if the last complete report or leave came from the backend server
	// itself.
	local bool
}

// Limits of the directory's size.
const (
	// maxEntries leaves room for the planned 4,800 backend servers and a day's
	// replacements.
	maxEntries = 1 << 15
	// compactionSlack is the number of changes, beyond two for each entry, that may
	// be kept before superseded ones are deleted.
	compactionSlack = 256
)

// Directory holds the known incarnations of backend servers, one for each name. It
// isn't safe for concurrent use.
type Directory struct {
	silentAfter int64
	entries     map[string]*entry
	byAddr      map[netip.AddrPort]string
	revision    uint64
	// changes lists the changes that other instances must receive, oldest first. The
	// latest one of an entry is always among them.
	changes []change
}

// change is a revision of an entry.
type change struct {
	revision uint64
	name     string
}

// recordChange gives an entry the next revision, for a change that other instances
// must receive.
func (d *Directory) recordChange(name string, e *entry) {
	d.revision++
	e.revision, e.reportRevision = d.revision, d.revision
	d.changes = append(d.changes, change{d.revision, name})
	if len(d.changes) > 2*len(d.entries)+compactionSlack {
		d.changes = slices.DeleteFunc(d.changes, func(c change) bool {
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

// Outcome is the effect of a report.
type Outcome uint8

// Outcomes.
const (
	// Ignored is a report that is not newer than the known one, or that doesn't fit
	// into the directory.
	Ignored Outcome = iota
	// Renewed is a report that changed no state but the time of the last report.
	Renewed
	// Changed is a report with a change that other instances must receive.
	Changed
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"ignored", "renewed", "changed"}[o]
}

// Report applies a report. Local is set if it came from the backend server itself,
// not from another instance.
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
	old.lastReport, old.local, old.silent = now, local, false
	old.warmUntil = now + int64(inc.Warmup)
	if same {
		d.revision++
		old.reportRevision = d.revision
		return Renewed
	}
	d.recordChange(inc.Name, old)
	d.resolveAddr(inc)
	return Changed
}

func sameState(a, b *catkinrail.Incarnation) bool {
	return a.StartedAt == b.StartedAt && a.Gone == b.Gone && a.Draining == b.Draining && a.Addr == b.Addr &&
		a.Service == b.Service && a.Slots == b.Slots && a.Zone == b.Zone
}

// resolveAddr ends the earlier of two incarnations with the same address: an address
// is only reused after its earlier holder has ended.
func (d *Directory) resolveAddr(inc *catkinrail.Incarnation) {
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

// later reports whether e is the later one of two incarnations with the same address.
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
	d.recordChange(e.inc.Name, e)
}

// Leave ends the incarnation of the name that started at startedAt, or the known one if
// startedAt is zero.
func (d *Directory) Leave(name string, startedAt, now int64) Outcome {
	e := d.entries[name]
	if e == nil || e.inc.Gone || (startedAt != 0 && startedAt < e.inc.StartedAt) {
		return Ignored
	}
	e.inc.StartedAt = max(e.inc.StartedAt, startedAt)
	e.lastReport, e.local = now, true
	d.end(e)
	return Changed
}

// Renew applies a renewal that another instance has forwarded. It returns false if the
// renewed state isn't known here, so that the complete report must be fetched.
func (d *Directory) Renew(name string, startedAt int64, sequence uint64, draining bool, now int64) bool {
	e := d.entries[name]
	if e == nil || e.inc.StartedAt < startedAt {
		return false
	}
	if e.inc.StartedAt != startedAt || e.inc.Gone || e.inc.Sequence >= sequence {
		return true
	}
	if e.inc.Draining != draining {
		return false
	}
	e.inc.Sequence = sequence
	e.lastReport = now
	if e.silent {
		e.silent = false
		d.recordChange(name, e)
	}
	return true
}

// Tick marks backend servers that have fallen silent. It expires ended and silent ones
// whose last report or leave is older than catkinrail.EndedRetention. It returns the
// names of the newly silent ones.
func (d *Directory) Tick(now int64) []string {
	var silent []string
	for name, e := range d.entries {
		age := now - e.lastReport
		if (e.inc.Gone || e.silent) && age > int64(catkinrail.EndedRetention) {
			delete(d.entries, name)
			if d.byAddr[e.inc.Addr] == name {
				delete(d.byAddr, e.inc.Addr)
			}
			continue
		}
		if !e.silent && !e.inc.Gone && age > d.silentAfter {
			e.silent = true
			d.recordChange(name, e)
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// CompensateStall adds span, for which this instance could not receive reports, to the
// time of every last report, so that the stall doesn't make backend servers silent.
func (d *Directory) CompensateStall(span int64) {
	for _, e := range d.entries {
		e.lastReport += span
	}
}

// Revision returns the number of the last change or renewal.
func (d *Directory) Revision() uint64 {
	return d.revision
}

// LastChange returns the revision of the last change, zero if there was none. A renewal
// is not a change.
func (d *Directory) LastChange() uint64 {
	if len(d.changes) == 0 {
		return 0
	}
	return d.changes[len(d.changes)-1].revision
}

// View is an incarnation with what was observed of it.
type View struct {
	catkinrail.Incarnation
	Silent bool
	// LastReport is the time of its last report, in nanoseconds of the clock.
	LastReport int64
}

func (e *entry) view(now int64) View {
	v := View{Incarnation: e.inc, Silent: e.silent, LastReport: e.lastReport}
	v.Warmup = time.Duration(max(0, e.warmUntil-now))
	return v
}

// Since returns the incarnations that changed after a revision, oldest change first.
// Its cost grows with the number of changes, not with the size of the directory.
func (d *Directory) Since(revision uint64, now int64) []View {
	from := sort.Search(len(d.changes), func(i int) bool { return d.changes[i].revision > revision })
	var list []View
	for _, c := range d.changes[from:] {
		if e := d.entries[c.name]; e != nil && e.revision == c.revision {
			list = append(list, e.view(now))
		}
	}
	return list
}

// LocalSince returns the incarnations that reported to this instance itself after a
// revision: those whose state changed, and those that were only renewed.
func (d *Directory) LocalSince(revision uint64, now int64) (changed []catkinrail.Incarnation, renewed []catkinrail.Incarnation) {
	for _, e := range d.entries {
		switch {
		case !e.local || e.reportRevision <= revision:
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

// Digest returns a hash of the state that instances must agree on. It doesn't depend
// on the order in which reports were received.
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

// HasZone reports whether an incarnation in the zone has not ended.
func (d *Directory) HasZone(zone catkinrail.Zone) bool {
	for _, e := range d.entries {
		if e.inc.Zone == zone && !e.inc.Gone {
			return true
		}
	}
	return false
}
