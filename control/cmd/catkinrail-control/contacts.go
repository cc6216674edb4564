package main

import (
	"cmp"
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

// record notes the outcome of a request to addr.
func (c *contacts) record(addr string, err error) {
	p := c.byAddr[addr]
	p.answered, p.failed = err == nil, err != nil
	c.byAddr[addr] = p
}

// failed reports whether the last request to addr wasn't answered.
func (c *contacts) failed(addr string) bool {
	return c.byAddr[addr].failed
}
