package core

import (
	"context"
	"errors"

	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/cluster"
)

// ErrFeatureMissing means that a change was not proposed because a voter may be of a build
// that doesn't know its events.
var ErrFeatureMissing = errors.New("not all voters know this kind of change")

// requiredFeatures returns what all voters must have announced before the events are proposed.
// The end of an evacuation needs nothing: a voter that doesn't know it has ignored its start
// too.
func requiredFeatures(events []cluster.Event) quorum.Features {
	for i := range events {
		if z := events[i].ZoneEvacuated; z != nil && z.Evacuated {
			return quorum.FeatureEvacuation
		}
	}
	return 0
}

// checkFeatures returns ErrFeatureMissing if a voter has not announced what the events need.
func (c *Core) checkFeatures(events []cluster.Event) error {
	if need := requiredFeatures(events); !c.node.Members().Announce(need) {
		return ErrFeatureMissing
	}
	return nil
}

// Evacuate proposes an evacuation order on the leader and waits until it is applied. An order
// that changes nothing is acknowledged once a majority has confirmed this leader: one that has
// been replaced may not know that an evacuation has begun or ended.
func (c *Core) Evacuate(ctx context.Context, o *plan.EvacuationOrder) error {
	_, err := c.submit(ctx, evacuate(o))
	return err
}

// evacuate returns the proposal of an evacuation order.
func evacuate(o *plan.EvacuationOrder) *proposal {
	return &proposal{done: make(chan Result, 1), confirm: true, evaluate: func(s *cluster.State) ([]cluster.Event, *cluster.Answer, error) {
		events, err := plan.Evacuate(s, o)
		return events, nil, err
	}}
}
