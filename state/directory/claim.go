package directory

import (
	"cmp"
	"net/netip"
	"slices"
)

// claim holds the incarnations that were reported at an address and have not ended by their own
// word.
//
// An address has one holder; the others are superseded. A holder that goes on reporting keeps the
// address, whatever else is reported there: an address is reused only some time after its holder
// has ended, and another writer's report says nothing about the holder. An incarnation that doesn't say when it
// started has no claim against one that does, whichever is heard first after a restart of this instance: every
// backend server says it. So whoever is superseded
// gets the address back by its own reports once the holder doesn't report any more. Which
// incarnation holds an address isn't sent to other instances: each of them finds out from the
// reports that it receives.
type claim struct {
	// holder is empty if no incarnation is of a known service.
	holder string
	names  []string
}

// claim updates the claims on an incarnation's address after a report or the end of it. It reports
// whether that has superseded an incarnation or given one its address back.
func (d *Directory) claim(name string, e *entry, now int64) bool {
	if e.inc.Gone {
		return d.unclaim(name, e, now)
	}
	c := d.claims[e.inc.Addr]
	if c == nil {
		c = &claim{}
		d.claims[e.inc.Addr] = c
	}
	if !slices.Contains(c.names, name) {
		c.names = append(c.names, name)
	}
	if len(c.names) == 1 && c.holder == name {
		return false
	}
	return d.settle(e.inc.Addr, c, now)
}

// unclaim removes an incarnation from the claims on its address.
func (d *Directory) unclaim(name string, e *entry, now int64) bool {
	c := d.claims[e.inc.Addr]
	if c == nil {
		return false
	}
	c.names = slices.DeleteFunc(c.names, func(n string) bool { return n == name })
	if c.holder == name {
		c.holder = ""
	}
	e.superseded = false
	return d.settle(e.inc.Addr, c, now)
}

// Settle passes contested addresses on whose holders no longer report, and reports whether one
// was. Unlike Tick, it must also run while reports may be missing: an incarnation must not be
// superseded for long by a late report of the one that has ended.
func (d *Directory) Settle(now int64) (changed bool) {
	for addr, c := range d.claims {
		if len(c.names) > 1 && d.settle(addr, c, now) {
			changed = true
		}
	}
	return changed
}

// settle decides who holds an address.
func (d *Directory) settle(addr netip.AddrPort, c *claim, now int64) (changed bool) {
	if len(c.names) == 0 {
		delete(d.claims, addr)
		return false
	}
	holder := d.entries[c.holder]
	if holder == nil || !d.known(holder.inc.Service) || !d.reports(holder, now) || holder.inc.StartedAt == 0 {
		c.holder = d.nextHolder(c, now)
	}
	for _, name := range c.names {
		e := d.entries[name]
		if superseded := c.holder != "" && c.holder != name; superseded != e.superseded {
			e.superseded = superseded
			d.recordChange(name, e)
			changed = true
		}
	}
	return changed
}

// nextHolder returns who holds an address whose holder doesn't report: of the incarnations of known
// services one that says when it started, of these one that reports, and of several the one that started last. It returns an empty string
// if there is none.
func (d *Directory) nextHolder(c *claim, now int64) string {
	best := ""
	for _, name := range c.names {
		e := d.entries[name]
		if !d.known(e.inc.Service) {
			continue
		}
		if best == "" || d.before(d.entries[best], e, now) {
			best = name
		}
	}
	return best
}

// before reports whether b has the better claim to an address.
func (d *Directory) before(a, b *entry, now int64) bool {
	if sa, sb := a.inc.StartedAt != 0, b.inc.StartedAt != 0; sa != sb {
		return sb
	}
	if ra, rb := d.reports(a, now), d.reports(b, now); ra != rb {
		return rb
	}
	return cmp.Or(cmp.Compare(a.inc.StartedAt, b.inc.StartedAt), cmp.Compare(a.inc.Name, b.inc.Name)) < 0
}

// reports reports whether an incarnation has reported so recently that its address can't have been
// reused.
func (d *Directory) reports(e *entry, now int64) bool {
	return e.heardAt != 0 && now-e.heardAt < d.reuseAfter
}
