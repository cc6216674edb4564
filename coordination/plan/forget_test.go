package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
)

// TestGoneServersAreForgotten restarts a backend server many times and ends others
// for good: the state must not keep them for ever.
func TestGoneServersAreForgotten(t *testing.T) {
	w := newWorld(t)
	w.register("entry-1", "kochi")
	for i := range 4 {
		w.announce(announcement(fmt.Sprint("host-", i), 1, 1))
	}
	w.settle(3 * time.Second)
	for incarnation := range uint64(20) {
		w.announce(announcement("host-0", 1, 2+incarnation))
	}
	byName := func(name string) *catkinrail.Backend { return w.state.BackendByName(w.service().ID, name) }
	w.command(&plan.Command{Drain: &plan.BackendRef{Service: logbook, Name: "host-1"}})
	w.apply(plan.Expire(w.state, []catkinrail.BackendID{byName("host-1").ID, byName("host-2").ID}))
	w.settle(30 * time.Second)
	require.Len(t, w.state.Backends, 24)
	w.now = w.now.Add(catkinrail.EndedRetention)
	w.settle(time.Second)
	require.Len(t, w.state.Backends, 3, "host-0, host-1 and host-3")
	require.Nil(t, byName("host-2"))
	w.announce(announcement("host-1", 1, 2))
	require.Equal(t, catkinrail.BackendDraining, byName("host-1").State, "an operator's drain lasts")
	checkBalance(t, w.state, w.service())
}

// TestKeptServersHoldUpNothing drains more servers than one change removes, and ends
// them before others: those that are kept must not keep the others.
func TestKeptServersHoldUpNothing(t *testing.T) {
	const drained, others = 100, 30
	w := newWorld(t)
	w.register("entry-1", "kochi")
	id := func(name string) catkinrail.BackendID { return w.state.BackendByName(w.service().ID, name).ID }
	var ended []catkinrail.BackendID
	for i := range drained + others {
		name := fmt.Sprint("host-", i)
		w.announce(announcement(name, 1, 1))
		if i < drained {
			w.command(&plan.Command{Drain: &plan.BackendRef{Service: logbook, Name: name}})
		}
		ended = append(ended, id(name))
	}
	w.announce(announcement("last", 1, 1))
	w.settle(3 * time.Second)
	w.apply(plan.Expire(w.state, ended))
	w.settle(30 * time.Second)
	w.now = w.now.Add(catkinrail.EndedRetention)
	w.settle(time.Second)
	require.Len(t, w.state.Backends, drained+1)
}
