package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// maxAsked is the maximum number of control instances that are asked at the same time. With
// it, the one of eight addresses that answers is asked in the second round at the latest.
const maxAsked = 4

// contacts chooses the control instances that requests to join or leave go to: the leader, or
// all known addresses in turn, several at once, since after an exchange of all instances most
// of them may be gone.
type contacts struct {
	round  uint64
	byAddr map[string]contact
}

// contact is what is known of the control instance at an address.
type contact struct {
	// round is that of the last request.
	round uint64
	// answered and failed are set if the last request that was waited for was answered or
	// wasn't.
	answered, failed bool
	// answer says how the last request ended, empty before that.
	answer string
}

// next returns the addresses to ask now: the first of leaders that hasn't failed, or else up to
// maxAsked of all addresses, those that haven't been asked for longest first. No more than one
// of them is known to answer, so that a group without a leader isn't flooded with requests.
func (c *contacts) next(leaders, known []string) []string {
	c.round++
	var all []string
	for _, addr := range slices.Concat(leaders, known) {
		if !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	kept := map[string]contact{}
	for _, addr := range all {
		kept[addr] = c.byAddr[addr]
	}
	c.byAddr = kept
	for _, addr := range leaders {
		if !kept[addr].failed {
			return []string{addr}
		}
	}
	slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(kept[a].round, kept[b].round) })
	var asked []string
	answering := false
	for _, addr := range all {
		p := kept[addr]
		if len(asked) == maxAsked || p.answered && answering {
			continue
		}
		answering = answering || p.answered
		p.round = c.round
		kept[addr] = p
		asked = append(asked, addr)
	}
	return asked
}

// record notes that addr answered a request and named a leader, or an empty string for none, or
// the error of the request.
func (c *contacts) record(addr, leader string, err error) {
	p := c.byAddr[addr]
	p.answered, p.failed = err == nil, err != nil
	switch {
	case err != nil:
		p.answer = rootCause(err).Error()
	case leader == "":
		p.answer = "knows no leader"
	default:
		p.answer = "names leader " + leader
	}
	c.byAddr[addr] = p
}

// answers returns a text on each address, sorted.
func (c *contacts) answers() []string {
	var list []string
	for _, addr := range slices.Sorted(maps.Keys(c.byAddr)) {
		p := c.byAddr[addr]
		missing := "not asked yet"
		if p.round > 0 {
			missing = "not answered yet"
		}
		list = append(list, fmt.Sprintf("%s: %s", addr, cmp.Or(p.answer, missing)))
	}
	return list
}

// failed reports whether the last request to addr wasn't answered.
func (c *contacts) failed(addr string) bool {
	return c.byAddr[addr].failed
}
