package journal_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
	"catkinrail.example/catkinrail/state/journal"
)

// FuzzOpen opens a data folder with an arbitrary segment. Open must return an
// error or a log that it returns again when called a second time.
func FuzzOpen(f *testing.F) {
	disk := fake.NewDisk()
	j, _, err := journal.Open(disk)
	require.NoError(f, err)
	require.NoError(f, j.Save(&quorum.HardState{Term: 1}, entries(1, 3, 1)))
	good, err := disk.Read("segment-0000000000000001")
	require.NoError(f, err)
	f.Add(good)
	f.Add(good[:len(good)-5])
	f.Fuzz(func(t *testing.T, b []byte) {
		disk := fake.NewDisk()
		file, err := disk.Create("segment-0000000000000001")
		require.NoError(t, err)
		_, err = file.Write(b)
		require.NoError(t, err)
		_, stored, err := journal.Open(disk)
		if err != nil {
			return
		}
		_, again, err := journal.Open(disk)
		require.NoError(t, err)
		require.Equal(t, stored, again)
	})
}
