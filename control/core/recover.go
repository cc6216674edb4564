package core

import (
	"context"
	"errors"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/cluster"
)

// reopenInterval is the time between two attempts to open a journal whose disk
// refused a write.
const reopenInterval = 250 * time.Millisecond

// begin starts from what is on disk.
func (c *Core) begin() error {
	state := cluster.New()
	if data := c.cfg.Stored.Snapshot.Data; len(data) > 0 {
		if err := cluster.Decode(data, state); err != nil {
			return catkinrail.At(err, "read snapshot", "")
		}
	}
	c.state = state
	c.changes = nil
	c.leader.active = false
	c.node = quorum.New(c.cfg.ID, c.cfg.Timing, c.cfg.Seed, c.cfg.Stored, c.now())
	c.publish()
	return nil
}

// recover starts the core again from its disk after a write failed: what the
// disk holds since then is unknown, so nothing may depend on it. Meanwhile this
// instance takes no part in the quorum.
func (c *Core) recover(ctx context.Context, cause error) error {
	if c.cfg.Reopen == nil {
		return cause
	}
	c.cfg.Log.Error(cause).Msg("journal failed")
	c.failWaiting()
	t := time.NewTicker(reopenInterval)
	defer t.Stop()
	for attempt := 1; ; attempt++ {
		select {
		case <-ctx.Done():
			return nil
		case f := <-c.inbox:
			f()
			c.failWaiting()
			continue
		case <-t.C:
		}
		err := c.reopen()
		if err == nil {
			c.cfg.Log.Info().Int("attempts", attempt).Msg("journal opened again")
			return nil
		}
		c.cfg.Log.Debug().Err(err).Msg("journal not opened")
	}
}

// failWaiting answers all who wait for the core.
func (c *Core) failWaiting() {
	for _, p := range c.pending {
		p.finish(Result{Err: c.leaderError()})
	}
	c.pending = nil
	if c.flying != nil {
		c.flying.finish(Result{Err: ErrUnknown})
		c.flying = nil
	}
	for _, r := range c.reads {
		r.done <- c.leaderError()
	}
	c.reads = nil
}

func (c *Core) reopen() error {
	err := c.cfg.Journal.Close()
	j, stored, openErr := c.cfg.Reopen()
	if openErr != nil {
		return errors.Join(err, openErr)
	}
	c.cfg.Journal, c.cfg.Stored = j, stored
	return c.begin()
}
