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

// TestWatch changes a file and sends signals. Each new content must be passed on exactly
// once. Neither invalid settings nor a missing file may end the watch.
func TestWatch(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) {
		require.NoError(t, os.WriteFile(file+".new", []byte(text), 0o600))
		require.NoError(t, os.Rename(file+".new", file))
	}
	write("a")
	ctx, cancel := context.WithCancel(t.Context())
	signals := make(chan os.Signal)
	applied := make(chan string)
	var g errgroup.Group
	g.Go(func() error {
		settings.Watch(ctx, file, []byte("a"), signals, logs.Discard(), func(b []byte) error {
			applied <- string(b)
			if string(b) == "wrong" {
				return errors.New("not settings")
			}
			return nil
		})
		return nil
	})
	signals <- syscall.SIGHUP // unchanged: nothing is applied
	for _, text := range []string{"b", "wrong", "c"} {
		write(text)
		select {
		case signals <- syscall.SIGHUP:
			require.Equal(t, text, <-applied)
		case got := <-applied: // found by the periodic check
			require.Equal(t, text, got)
		}
	}
	require.NoError(t, os.Remove(file))
	signals <- syscall.SIGHUP // a missing file must not end the watch
	write("d")
	require.Equal(t, "d", <-applied)
	cancel()
	require.NoError(t, g.Wait())
}
