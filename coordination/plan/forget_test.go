package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
)

// TestEndedServersAreRemoved restarts a backend server many times and ends others for
// good. The state must not grow with them without limit.
func TestEndedServersAreRemoved(t *testing.T) {
	h := newHarness(t)
	h.register("entry-1", "kochi")
	for i := range 4 {
		h.announce(announcement(fmt.Sprint("host-", i), 1, 1))
	}
	h.run(3 * time.Second)
	for incarnation := range uint64(20) {
		h.announce(announcement("host-0", 1, 2+incarnation))
	}
	byName := func(name string) *catkinrail.Backend { return h.state.BackendByName(h.service().ID, name) }
	h.command(&plan.Command{Drain: &plan.BackendRef{Service: logbook, Name: "host-1"}})
	h.apply(plan.Expire(h.state, []catkinrail.BackendID{byName("host-1").ID, byName("host-2").ID}))
	h.run(30 * time.Second)
	require.Len(t, h.state.Backends, 24)
	h.now = h.now.Add(catkinrail.EndedRetention)
	h.run(time.Second)
	require.Len(t, h.state.Backends, 3, "host-0, host-1 and host-3")
	require.Nil(t, byName("host-2"))
	h.announce(announcement("host-1", 1, 2))
	require.Equal(t, catkinrail.BackendDraining, byName("host-1").State, "an operator's drain is kept")
	checkBalance(t, h.state, h.service())
}

// TestDrainedServersDoNotBlockRemoval ends more drained backend servers than one change
// removes. They are kept, and come before others that ended. The others must be removed
// nevertheless.
func TestDrainedServersDoNotBlockRemoval(t *testing.T) {
	const drained, others = 100, 30
	h := newHarness(t)
	h.register("entry-1", "kochi")
	id := func(name string) catkinrail.BackendID { return h.state.BackendByName(h.service().ID, name).ID }
	var ended []catkinrail.BackendID
	for i := range drained + others {
		name := fmt.Sprint("host-", i)
		h.announce(announcement(name, 1, 1))
		if i < drained {
			h.command(&plan.Command{Drain: &plan.BackendRef{Service: logbook, Name: name}})
		}
		ended = append(ended, id(name))
	}
	h.announce(announcement("last", 1, 1))
	h.run(3 * time.Second)
	h.apply(plan.Expire(h.state, ended))
	h.run(30 * time.Second)
	h.now = h.now.Add(catkinrail.EndedRetention)
	h.run(time.Second)
	require.Len(t, h.state.Backends, drained+1)
}
