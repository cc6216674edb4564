package core

import (
	"context"
	"errors"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/state/cluster"
)

// reopenInterval is the time between two attempts to reopen a journal after a
// failure.
const reopenInterval = 250 * time.Millisecond

// startFromDisk sets the state and the node to what was read from disk.
func (c *Core) startFromDisk() error {
	state := cluster.New()
	if data := c.cfg.Stored.Snapshot.Data; len(data) > 0 {
		if err := cluster.Decode(data, state); err != nil {
			return catkinrail.At(err, "decode stored snapshot", "")
		}
	}
	c.state = state
	c.changes = changeLog{}
	c.leader.active = false
	c.node = quorum.New(c.cfg.ID, c.cfg.Timing, c.cfg.Seed, c.cfg.Stored, c.now())
	c.publish()
	return nil
}

// recover reopens the journal after a failure and restarts the core from it: what
// the disk holds after a failed write is unknown until it is read back. Meanwhile
// this instance takes no part in the quorum and fails proposals and reads.
func (c *Core) recover(ctx context.Context, cause error) error {
	if c.cfg.Reopen == nil {
		return cause
	}
	c.cfg.Log.Error(cause).Msg("journal write or apply failed; reopening journal")
	c.failRequests()
	t := time.NewTicker(reopenInterval)
	defer t.Stop()
	for attempt := 1; ; attempt++ {
		select {
		case <-ctx.Done():
			return nil
		case f := <-c.inbox:
			f()
			c.failRequests()
			continue
		case <-t.C:
		}
		err := c.reopen()
		if err == nil {
			c.cfg.Log.Info().Int("attempts", attempt).Msg("journal reopened")
			return nil
		}
		c.cfg.Log.Debug().Err(err).Msg("journal could not be reopened")
	}
}

// failRequests fails all pending proposals and reads and the proposal in flight. Those that are
// applied are committed, so they succeed.
func (c *Core) failRequests() {
	c.answerApplied()
	for _, p := range c.pending {
		p.finish(Result{Err: c.leaderError()})
	}
	c.pending = nil
	if c.inFlight != nil {
		c.inFlight.finish(Result{Err: ErrUnknown})
		c.inFlight = nil
	}
	for _, r := range c.reads {
		r.finish(c.leaderError())
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
	return c.startFromDisk()
}
