package settings_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/settings"
)

// TestWatch changes a file and signals: what is right is taken once, what is wrong
// is not, and neither ends the watch.
func TestWatch(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) {
		require.NoError(t, os.WriteFile(file+".new", []byte(text), 0o600))
		require.NoError(t, os.Rename(file+".new", file))
	}
	write("a")
	ctx, cancel := context.WithCancel(t.Context())
	signals := make(chan os.Signal)
	taken := make(chan string)
	var g errgroup.Group
	g.Go(func() error {
		settings.Watch(ctx, file, []byte("a"), signals, logs.Discard(), func(b []byte) error {
			taken <- string(b)
			if string(b) == "wrong" {
				return errors.New("not settings")
			}
			return nil
		})
		return nil
	})
	signals <- syscall.SIGHUP // unchanged: nothing is taken
	for _, text := range []string{"b", "wrong", "c"} {
		write(text)
		select {
		case signals <- syscall.SIGHUP:
			require.Equal(t, text, <-taken)
		case got := <-taken: // the watch looked by itself
			require.Equal(t, text, got)
		}
	}
	require.NoError(t, os.Remove(file))
	signals <- syscall.SIGHUP // a missing file is reported
	write("d")
	require.Equal(t, "d", <-taken)
	cancel()
	require.NoError(t, g.Wait())
}
