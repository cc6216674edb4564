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
	"catkinrail.example/catkinrail/state/journal"
	"catkinrail.example/catkinrail/transport/clock"
)

// saveInterval is the least time between two writes of the directory.
const saveInterval = 200 * time.Millisecond

// directoryFile is the name of the saved directory.
const directoryFile = "directory"

// load reads the saved directory. One that can't be read is left out: backend
// servers report again within seconds.
func (d *Directory) load() {
	if d.cfg.Dir == nil {
		return
	}
	names, err := d.cfg.Dir.List()
	if err != nil {
		d.cfg.Log.Warn(catkinrail.At(err, "read directory", "")).Msg("saved directory not used")
		return
	}
	if !slices.Contains(names, directoryFile) {
		return
	}
	var list []catkinrail.Incarnation
	if err := journal.ReadRecord(d.cfg.Dir, directoryFile, &list); err != nil {
		d.cfg.Log.Warn(catkinrail.At(err, "read directory", "")).Msg("saved directory not used")
		return
	}
	now := d.now()
	for i := range list {
		d.dir.Report(&list[i], now, false)
	}
	d.cfg.Log.Info().Int("backends", len(list)).Msg("directory read from disk")
}

// save writes the directory after changes. It holds nobody up while the disk
// does.
func (d *Directory) save(ctx context.Context) error {
	limiter := logs.NewLimiter(d.cfg.Clock, logInterval)
	var saved []byte
	for ctx.Err() == nil {
		d.mu.Lock()
		changed := d.changed
		d.mu.Unlock()
		body, err := d.write(saved)
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

// write writes the directory unless only sequences have changed since it was saved,
// and returns what tells so. Sequences are kept, since they order what a restarted
// instance passes on.
func (d *Directory) write(saved []byte) ([]byte, error) {
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
