// Package directory keeps what control instances know of backend servers. It is a map
// in which the last writer wins, by start time and sequence, so that instances agree
// without a leader once they have received the same reports, in any order.
package directory

import (
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
	// heardAt is the time of the newest report that was just sent, zero if there was none: what
	// is read from disk or from another instance's directory may be old.
	heardAt int64
	// superseded is set while another incarnation holds the address.
	superseded bool
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
	reuseAfter  int64
	known       func(service string) bool
	entries     map[string]*entry
	claims      map[netip.AddrPort]*claim
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

// Config holds the limits of a directory.
type Config struct {
	// SilentAfter is the time without a report after which a backend server counts as silent.
	SilentAfter time.Duration
	// ReuseAfter is the least time between the end of an incarnation and the reuse of its
	// address.
	ReuseAfter time.Duration
	// Known reports whether a service exists. A report for another service supersedes nobody:
	// it may come from another writer. Nil means that all do.
	Known func(service string) bool
}

// New returns an empty directory.
func New(cfg Config) *Directory {
	if cfg.Known == nil {
		cfg.Known = func(string) bool { return true }
	}
	return &Directory{
		silentAfter: int64(cfg.SilentAfter), reuseAfter: int64(cfg.ReuseAfter), known: cfg.Known,
		entries: map[string]*entry{}, claims: map[netip.AddrPort]*claim{},
	}
}

// Source says where a report comes from.
type Source uint8

// Sources of reports.
const (
	// FromServer is a report that the backend server sent to this instance.
	FromServer Source = iota
	// FromPeer is a report that another instance has just received.
	FromPeer
	// FromCopy is a report in a directory that was saved or that another instance sent as a
	// whole, of any age.
	FromCopy
)

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

// Report applies a report. One that isn't readable is ignored: earlier builds may have saved or sent it.
func (d *Directory) Report(inc *catkinrail.Incarnation, now int64, from Source) Outcome {
	if !inc.Readable() {
		return Ignored
	}
	old := d.entries[inc.Name]
	if old != nil && !inc.Newer(&old.inc) {
		return Ignored
	}
	if old == nil && len(d.entries) >= maxEntries {
		return Ignored
	}
	if old != nil && !old.inc.Gone && inc.Service != old.inc.Service && !d.known(inc.Service) {
		// Another writer's report under the same name. If the service becomes known, the next
		// report counts.
		return Ignored
	}
	same := old != nil && sameState(&old.inc, inc) && !old.silent
	if old == nil {
		old = &entry{}
		d.entries[inc.Name] = old
	}
	if old.inc.Addr != inc.Addr {
		d.unclaim(inc.Name, old, now)
	}
	old.inc = *inc
	old.lastReport, old.local, old.silent = now, from == FromServer, false
	if from != FromCopy {
		old.heardAt = now
	}
	old.warmUntil = now + int64(inc.Warmup)
	if same {
		d.revision++
		old.reportRevision = d.revision
	} else {
		d.recordChange(inc.Name, old)
	}
	if d.claim(inc.Name, old, now) || !same {
		return Changed
	}
	return Renewed
}

func sameState(a, b *catkinrail.Incarnation) bool {
	return a.StartedAt == b.StartedAt && a.Gone == b.Gone && a.Left == b.Left && a.Draining == b.Draining && a.Addr == b.Addr &&
		a.Service == b.Service && a.Slots == b.Slots && a.Zone == b.Zone
}

// Leave ends the incarnation of the name that started at startedAt, or the known one if
// startedAt is zero. The latter says too little to be final: a report that follows it shows
// that the incarnation goes on.
func (d *Directory) Leave(name string, startedAt, now int64) Outcome {
	e := d.entries[name]
	if e == nil || e.inc.Gone || (startedAt != 0 && startedAt < e.inc.StartedAt) {
		return Ignored
	}
	e.inc.StartedAt = max(e.inc.StartedAt, startedAt)
	e.lastReport, e.local = now, true
	e.inc.Gone, e.inc.Left = true, startedAt != 0
	d.recordChange(name, e)
	d.claim(name, e, now)
	return Changed
}

// Renew applies a renewal that another instance has forwarded. It returns false if the
// renewed state isn't known here, so that the complete report must be fetched.
func (d *Directory) Renew(name string, startedAt int64, sequence uint64, draining bool, now int64) bool {
	e := d.entries[name]
	if e == nil || e.inc.StartedAt < startedAt {
		return false
	}
	if e.inc.StartedAt != startedAt || e.inc.Left || e.inc.Sequence >= sequence {
		return true
	}
	if e.inc.Draining != draining || e.inc.Gone {
		return false
	}
	e.inc.Sequence = sequence
	e.lastReport, e.heardAt = now, now
	if e.silent {
		e.silent = false
		d.recordChange(name, e)
	}
	d.claim(name, e, now)
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
			d.unclaim(name, e, now)
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
	// Superseded is set while another incarnation holds the address: it was reused, or this one
	// was reported by another writer.
	Superseded bool
	// LastReport is the time of its last report, in nanoseconds of the clock.
	LastReport int64
}

// Ended reports whether the incarnation has ended, by its own word or as its address was reused.
func (v *View) Ended() bool {
	return v.Gone || v.Superseded
}

func (e *entry) view(now int64) View {
	v := View{Incarnation: e.inc, Silent: e.silent, Superseded: e.superseded, LastReport: e.lastReport}
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
