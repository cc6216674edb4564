package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/state/cluster"
)

// announceIn announces a backend server in a zone.
func (h *harness) announceIn(zone catkinrail.Zone, name string, incarnation uint64, draining bool) {
	a := announcement(name, 2, incarnation)
	a.Zone, a.Draining = zone, draining
	h.announce(a)
}

// evacuate carries out an order as it is received at an instance that is up to date.
func (h *harness) evacuate(zone catkinrail.Zone, evacuated bool) {
	events, err := plan.Evacuate(h.state, &plan.EvacuationOrder{Zone: zone, Evacuated: evacuated, Since: h.state.Version})
	require.NoError(h.t, err)
	h.apply(events)
}

func (h *harness) stateOf(name string) catkinrail.BackendState {
	return h.state.BackendByName(h.service().ID, name).State
}

// TestEvacuationDrainsBackends checks that an evacuation ends only the drains that it began: not
// those of an operator or of the backend server itself.
func TestEvacuationDrainsBackends(t *testing.T) {
	ref := &plan.BackendRef{Service: logbook, Name: "host-1"}
	tests := []struct {
		name           string
		before, during func(h *harness)
		// after is the state of host-1 once the evacuation has ended.
		after catkinrail.BackendState
	}{
		{"active", nil, nil, catkinrail.BackendActive},
		{"drained by an operator before", func(h *harness) { h.command(&plan.Command{Drain: ref}) }, nil, catkinrail.BackendDraining},
		{"drained by an operator meanwhile", nil, func(h *harness) { h.command(&plan.Command{Drain: ref}) }, catkinrail.BackendDraining},
		{
			"readmitted by an operator meanwhile", func(h *harness) { h.command(&plan.Command{Drain: ref}) },
			func(h *harness) { h.command(&plan.Command{Readmit: ref}) }, catkinrail.BackendActive,
		},
		{"drains itself before", func(h *harness) { h.announceIn("a", "host-1", 1, true) }, nil, catkinrail.BackendDraining},
		{"drains itself meanwhile", nil, func(h *harness) { h.announceIn("a", "host-1", 1, true) }, catkinrail.BackendDraining},
		{"announces itself again meanwhile", nil, func(h *harness) { h.announceIn("a", "host-1", 1, false) }, catkinrail.BackendActive},
		{"restarts meanwhile", nil, func(h *harness) { h.announceIn("a", "host-1", 2, false) }, catkinrail.BackendActive},
		{"is healthy again meanwhile", func(h *harness) {
			h.apply(plan.Eject(h.state, []catkinrail.BackendID{h.state.BackendByName(h.service().ID, "host-1").ID}, nil))
		}, func(h *harness) {
			h.apply(plan.Eject(h.state, nil, []catkinrail.BackendID{h.state.BackendByName(h.service().ID, "host-1").ID}))
		}, catkinrail.BackendActive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.register("entry-1", "b")
			for i := range 6 {
				h.announceIn([]catkinrail.Zone{"b", "a"}[i%2], fmt.Sprint("host-", i), 1, false)
			}
			h.run(3 * time.Second)
			if tt.before != nil {
				tt.before(h)
			}
			h.evacuate("a", true)
			if tt.during != nil {
				tt.during(h)
			}
			require.Equal(t, catkinrail.BackendDraining, h.stateOf("host-1"))
			h.announceIn("a", "host-7", 1, false)
			require.Equal(t, catkinrail.BackendDraining, h.stateOf("host-7"), "it appears in the zone meanwhile")
			h.run(10 * time.Second)
			for _, b := range h.service().Buckets {
				require.Equal(t, catkinrail.Zone("b"), h.state.Backends[b.Owner().Backend()].Zone, "new flows leave the zone")
			}
			h.evacuate("a", false)
			require.Equal(t, tt.after, h.stateOf("host-1"))
			require.Equal(t, catkinrail.BackendActive, h.stateOf("host-7"))
			require.Equal(t, catkinrail.BackendActive, h.stateOf("host-0"), "the other zone is not affected")
		})
	}
}

// TestEvacuateCommand covers our own interface: the answer to a repeated request and to orders
// that change nothing, and the services that the order can't move.
func TestEvacuateCommand(t *testing.T) {
	h := newHarness(t)
	h.announceIn("a", "host-1", 1, false)
	evacuate := func(request string, zone catkinrail.Zone, on bool) (string, error) {
		events, a, err := plan.Evaluate(h.state, &plan.Command{Request: request, Evacuate: &cluster.ZoneEvacuated{Zone: zone, Evacuated: on}})
		if err != nil {
			return "", err
		}
		h.apply(events)
		return a.Detail, nil
	}
	_, err := evacuate("e0", "", true)
	var field *catkinrail.FieldError
	require.ErrorAs(t, err, &field)
	steps := []struct {
		request   string
		evacuated bool
		detail    string
		state     catkinrail.BackendState
	}{
		{"e1", true, "availability zone a evacuated; no backend server elsewhere takes new flows of: logbook", catkinrail.BackendDraining},
		{"e2", true, "availability zone a was evacuated already", catkinrail.BackendDraining},
		{"e3", false, "evacuation of availability zone a ended", catkinrail.BackendActive},
		{"e4", false, "availability zone a was not evacuated", catkinrail.BackendActive},
		{"e1", true, "availability zone a evacuated; no backend server elsewhere takes new flows of: logbook", catkinrail.BackendActive},
	}
	for _, s := range steps {
		detail, err := evacuate(s.request, "a", s.evacuated)
		require.NoError(t, err)
		require.Equal(t, s.detail, detail)
		require.Equal(t, s.state, h.stateOf("host-1"))
	}
	_, err = evacuate("e1", "a", false)
	require.ErrorIs(t, err, plan.ErrRequestReused)
}
