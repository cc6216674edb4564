package main

import (
	"errors"
	"slices"
	"time"

	"catkinrail.example/catkinrail/logs"
)

const (
	// joinWarnAfter is the time without success after which a line says so. It is above the
	// time of an election and the steps of a join that follow it.
	joinWarnAfter = 5 * time.Second
	// joinWarnInterval is the least time between two such lines.
	joinWarnInterval = 10 * time.Second
)

// joinLog logs when the instance has become a voter or a learner, and when it can't.
type joinLog struct {
	log *logs.Logger
	// since is the time of the start or of the last success, zero before the first update.
	since time.Time
	// role is the last one that was logged.
	role string
	// seeds are the settings' at the time of since.
	seeds []string
	// warned is the time of the last warning since then, zero for none.
	warned time.Time
}

// update logs what is due at the given time. The role is "voter", "learner", or empty if the
// instance has been refused or hasn't been answered. The seeds are the settings' now, and asked
// holds the answers of those asked.
func (j *joinLog) update(now time.Time, role string, seeds []string, asked *contacts) {
	if j.since.IsZero() {
		j.since, j.seeds = now, seeds
	}
	waited := now.Sub(j.since)
	if role != "" {
		if role != j.role || !j.warned.IsZero() {
			j.log.Info().Str("role", role).Int64("waited-ms", waited.Milliseconds()).Msg("joined the control instances")
		}
		*j = joinLog{log: j.log, since: now, role: role, seeds: seeds}
		return
	}
	if waited < joinWarnAfter || now.Sub(j.warned) < joinWarnInterval {
		return
	}
	j.warned = now
	j.log.Warn(nil).Int64("waited-ms", waited.Milliseconds()).Strs("seeds", seeds).
		Bool("seeds-changed", !slices.Equal(seeds, j.seeds)).Strs("asked", asked.answers()).
		Msg("could not join the control instances")
}

// rootCause returns the innermost error that err wraps, which omits what all errors of
// calls have in common.
func rootCause(err error) error {
	for next := err; next != nil; next = errors.Unwrap(next) {
		err = next
	}
	return err
}
