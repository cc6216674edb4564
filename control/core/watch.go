package core

import (
	"context"

	"catkinrail.example/catkinrail/state/cluster"
)

// Watch calls f with each change that this instance applies from now on, until
// ctx ends or f fails. It skips changes that are no longer kept when it reaches
// them, or that this instance got as part of a snapshot, and documents that a later one
// has replaced.
func (c *Core) Watch(ctx context.Context, f func(*cluster.Change) error) error {
	var have uint64
	if err := c.do(ctx, func() { have = c.state.Version }); err != nil {
		return err
	}
	for {
		var list []cluster.Change
		var changed chan struct{}
		err := c.do(ctx, func() {
			changed = c.changed
			list = c.changes.after(have)
		})
		if err != nil {
			return err
		}
		for i := range list {
			if err := f(&list[i]); err != nil {
				return err
			}
			have = list[i].Version
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
