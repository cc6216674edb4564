package journal_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
	"catkinrail.example/catkinrail/state/journal"
)

func entries(from, to, term uint64) []quorum.Entry {
	var list []quorum.Entry
	for i := from; i <= to; i++ {
		list = append(list, quorum.Entry{Index: i, Term: term, Data: []byte(fmt.Sprintf("entry %d of term %d", i, term))})
	}
	return list
}

// TestCrashAtEveryOperation crashes the machine at each disk operation of a fixed
// sequence of writes. Acknowledged writes must survive.
func TestCrashAtEveryOperation(t *testing.T) {
	steps := []func(j *journal.Journal) error{
		func(j *journal.Journal) error { return j.Save(&quorum.HardState{Term: 1, Vote: 7}, entries(1, 3, 1)) },
		func(j *journal.Journal) error { return j.Save(nil, entries(4, 5, 1)) },
		func(j *journal.Journal) error { return j.Save(&quorum.HardState{Term: 2}, entries(4, 6, 2)) },
		func(j *journal.Journal) error {
			return j.SaveSnapshot(&quorum.Snapshot{Index: 5, Term: 2, Data: []byte("state")}, entries(6, 6, 2))
		},
		func(j *journal.Journal) error { return j.Save(&quorum.HardState{Term: 3}, entries(7, 9, 3)) },
	}
	// The last index and the term of the hard state that must be on disk after each
	// number of completed steps.
	want := []struct{ last, term uint64 }{{0, 0}, {3, 1}, {5, 1}, {6, 2}, {6, 2}, {9, 3}}
	for at := range 60 {
		for seed := range uint64(6) {
			disk := fake.NewDisk()
			j, _, err := journal.Open(disk)
			require.NoError(t, err)
			disk.FailAfter(at, fake.ErrCrashed)
			done := 0
			for _, step := range steps {
				if step(j) != nil {
					break
				}
				done++
			}
			disk.Crash(rand.New(rand.NewPCG(seed, uint64(at))))
			_, stored, err := journal.Open(disk)
			require.NoError(t, err, "crash at operation %d, seed %d", at, seed)
			last := stored.Snapshot.Index + uint64(len(stored.Entries))
			require.GreaterOrEqual(t, last, want[done].last, "crash at operation %d, seed %d", at, seed)
			require.GreaterOrEqual(t, stored.HardState.Term, want[done].term)
		}
	}
}

func TestCorruption(t *testing.T) {
	tests := []struct {
		name   string
		file   string
		offset func(size int) int
		torn   bool
	}{
		{"first frame", "segment-", func(int) int { return 20 }, false},
		{"length of the first frame", "segment-", func(int) int { return 4 }, false},
		{"last frame", "segment-", func(size int) int { return size - 3 }, true},
		{"snapshot", "snapshot-", func(size int) int { return size / 2 }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			disk := fake.NewDisk()
			j, _, err := journal.Open(disk)
			require.NoError(t, err)
			require.NoError(t, j.SaveSnapshot(&quorum.Snapshot{Index: 1, Term: 1, Data: []byte("state")}, nil))
			require.NoError(t, j.Save(&quorum.HardState{Term: 1}, entries(2, 4, 1)))
			require.NoError(t, j.Save(nil, entries(5, 6, 1)))
			names, err := disk.List()
			require.NoError(t, err)
			name := ""
			for _, n := range names {
				if strings.HasPrefix(n, tt.file) {
					name = n
				}
			}
			disk.Corrupt(name, tt.offset(disk.Size(name)))
			_, stored, err := journal.Open(disk)
			if tt.torn {
				require.NoError(t, err)
				require.Len(t, stored.Entries, 3)
				return
			}
			var corruption *journal.CorruptionError
			require.ErrorAs(t, err, &corruption)
			require.Equal(t, name, corruption.File)
		})
	}
}

func TestFailedJournalStaysFailed(t *testing.T) {
	disk := fake.NewDisk()
	j, _, err := journal.Open(disk)
	require.NoError(t, err)
	disk.FailAfter(0, fake.ErrFull)
	require.ErrorIs(t, j.Save(nil, entries(1, 1, 1)), fake.ErrFull)
	disk.FailAfter(-1, nil)
	require.ErrorIs(t, j.Save(nil, entries(1, 1, 1)), journal.ErrFailed)
}

func TestIdentityMissingWithLog(t *testing.T) {
	disk := fake.NewDisk()
	id, err := journal.LoadIdentity(disk)
	require.NoError(t, err)
	require.Nil(t, id)
	require.NoError(t, journal.SaveIdentity(disk, &journal.Identity{Node: 9, Name: "control-1"}))
	_, _, err = journal.Open(disk)
	require.NoError(t, err)
	id, err = journal.LoadIdentity(disk)
	require.NoError(t, err)
	require.Equal(t, &journal.Identity{Node: 9, Name: "control-1"}, id)
	require.NoError(t, disk.Remove("identity"))
	_, err = journal.LoadIdentity(disk)
	var corruption *journal.CorruptionError
	require.ErrorAs(t, err, &corruption)
}

// TestAcknowledgedWritesSurvive writes and crashes at random, and compares the
// stored log with a model of the acknowledged writes.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := fake.NewDisk()
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		j, _, err := journal.Open(disk)
		require.NoError(t, err)
		var acked []quorum.Entry
		term, snapshot := uint64(1), uint64(0)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				disk.FailAfter(rapid.IntRange(0, 12).Draw(t, "left"), fake.ErrCrashed)
			case 1:
				if n := uint64(len(acked)); n > snapshot {
					index := rapid.Uint64Range(snapshot+1, n).Draw(t, "index")
					s := &quorum.Snapshot{Index: index, Term: acked[index-1].Term}
					if j.SaveSnapshot(s, acked[index:]) == nil {
						snapshot = index
					}
				}
			default:
				first := uint64(len(acked)) + 1
				if rapid.Bool().Draw(t, "conflict") {
					first = rapid.Uint64Range(snapshot+1, first).Draw(t, "first")
				}
				term++
				list := entries(first, first+rapid.Uint64Range(0, 3).Draw(t, "more"), term)
				if j.Save(&quorum.HardState{Term: term}, list) == nil {
					acked = append(acked[:first-1:first-1], list...)
					continue
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "crash") > 0 {
				continue
			}
			disk.Crash(rng)
			reopened, stored, err := journal.Open(disk)
			require.NoError(t, err)
			j = reopened
			term = max(term, stored.HardState.Term) + 1
			require.GreaterOrEqual(t, stored.Snapshot.Index, snapshot)
			snapshot = stored.Snapshot.Index
			acked = checkStored(t, acked, &stored)
		}
	})
}

// checkStored checks that the stored log holds the acknowledged entries, except
// those that an unacknowledged write may have replaced, and returns the stored log.
func checkStored(t *rapid.T, acked []quorum.Entry, stored *quorum.Stored) []quorum.Entry {
	log := append([]quorum.Entry(nil), acked[:min(stored.Snapshot.Index, uint64(len(acked)))]...)
	log = append(log, stored.Entries...)
	for i := range acked {
		if i < len(log) && log[i].Term != acked[i].Term {
			require.Greater(t, log[i].Term, acked[i].Term, "term of entry %d decreased", i+1)
			return log
		}
	}
	require.GreaterOrEqual(t, len(log), len(acked), "acknowledged entries are missing")
	return log
}
