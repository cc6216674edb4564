package gossip

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/state/directory"
	"catkinrail.example/catkinrail/state/journal"
	"catkinrail.example/catkinrail/transport/clock"
)

// saveInterval is the least time between two writes of the directory.
const saveInterval = 200 * time.Millisecond

// directoryFile is the name of the file that holds the saved directory.
const directoryFile = "directory"

// load reads the saved directory. If it can't be read, the directory starts empty:
// backend servers report again within seconds.
func (d *Directory) load() {
	if d.cfg.Dir == nil {
		return
	}
	names, err := d.cfg.Dir.List()
	if err != nil {
		d.cfg.Log.Warn(catkinrail.At(err, "read directory", "")).Msg("saved directory not readable, starting empty")
		return
	}
	if !slices.Contains(names, directoryFile) {
		return
	}
	var list []catkinrail.Incarnation
	if err := journal.ReadRecord(d.cfg.Dir, directoryFile, &list); err != nil {
		d.cfg.Log.Warn(catkinrail.At(err, "read directory", "")).Msg("saved directory not readable, starting empty")
		return
	}
	now := d.now()
	for i := range list {
		d.dir.Report(&list[i], now, directory.FromCopy)
	}
	d.cfg.Log.Info().Int("backends", len(list)).Msg("directory read from disk")
}

// save writes the directory after changes, until ctx ends. It doesn't hold mu while
// it writes, so that a slow disk blocks nobody.
func (d *Directory) save(ctx context.Context) error {
	limiter := logs.NewLimiter(d.cfg.Clock, saveLogInterval)
	var saved []byte
	for ctx.Err() == nil {
		d.mu.Lock()
		changed := d.changed
		d.mu.Unlock()
		body, err := d.writeIfChanged(saved)
		if err == nil {
			saved = body
		} else if skipped, ok := limiter.Allow(); ok {
			d.cfg.Log.Warn(catkinrail.At(err, "write directory", "")).Uint64("skipped", skipped).Msg("directory not saved")
		}
		clock.Sleep(ctx, saveInterval)
		if err != nil {
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// writeIfChanged writes the directory unless its state is that of the last save, and
// returns its encoded state. Sequences and warm-ups don't count as state, but
// sequences are written: they order the reports that a restarted instance forwards.
func (d *Directory) writeIfChanged(saved []byte) ([]byte, error) {
	d.mu.Lock()
	list := d.dir.All(0)
	d.mu.Unlock()
	slices.SortFunc(list, func(a, b catkinrail.Incarnation) int { return cmp.Compare(a.Name, b.Name) })
	state := slices.Clone(list)
	for i := range list {
		list[i].Warmup = 0
		state[i].Sequence, state[i].Warmup = 0, 0
	}
	body, err := cluster.Encode(state)
	if err != nil || bytes.Equal(body, saved) {
		return body, err
	}
	return body, journal.WriteRecord(d.cfg.Dir, directoryFile, list)
}
