package core

import (
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/cluster"
)

// memberChanges describes how members differ from earlier ones, by name and in the order of the
// identifiers.
func memberChanges(old, m *quorum.Members) []string {
	var list []string
	add := func(id quorum.NodeID, in *quorum.Members, what string) {
		list = append(list, nameOf(in, id)+" "+what)
	}
	for _, id := range cluster.SortedKeys(m.Nodes) {
		_, known := old.Nodes[id]
		switch {
		case m.Voter(id) && !known:
			add(id, m, "added as voter")
		case m.Voter(id) && !old.Voter(id):
			add(id, m, "became voter"+inPlaceOf(m, id))
		case m.Learners[id] && old.Voter(id):
			add(id, m, "became learner and lost its vote")
		case m.Learners[id] && !known:
			add(id, m, "added as learner")
		case old.Nodes[id] != m.Nodes[id]:
			add(id, m, "updated")
		}
	}
	for _, id := range cluster.SortedKeys(old.Nodes) {
		switch _, known := m.Nodes[id]; {
		case known:
		case old.Voter(id):
			add(id, old, "removed with its vote")
		default:
			add(id, old, "removed as learner")
		}
	}
	for _, mark := range []struct {
		name          string
		before, after map[quorum.NodeID]bool
	}{
		{"leaving", old.Leaving, m.Leaving},
		{"stopping", old.Stopping, m.Stopping},
	} {
		for _, id := range cluster.SortedKeys(m.Nodes) {
			switch {
			case mark.after[id] && !mark.before[id]:
				add(id, m, "marked as "+mark.name)
			case mark.before[id] && !mark.after[id]:
				add(id, m, "no longer "+mark.name)
			}
		}
	}
	return list
}

// inPlaceOf names the voter whose place the joining one takes.
func inPlaceOf(m *quorum.Members, id quorum.NodeID) string {
	if !m.Joining[id] {
		return ""
	}
	for other := range m.Leaving {
		return " in place of " + nameOf(m, other)
	}
	return ""
}
