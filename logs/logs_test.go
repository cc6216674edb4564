package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/logs"
)

// manualClock is a clock that the test sets.
type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

func TestBudget(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	b := logs.NewBudget(clock, 3)
	tests := []struct {
		at      int64
		ok      bool
		skipped uint64
	}{
		{1000, true, 0},
		{1000, true, 0},
		{1000, true, 0},
		{1000, false, 0},
		{1000, false, 0},
		{1001, true, 2},
		{1001, true, 0},
		{1001, true, 0},
		{1001, false, 0},
		{1005, true, 1},
	}
	for i, tt := range tests {
		clock.now = time.Unix(tt.at, 0)
		skipped, ok := b.Allow()
		require.Equal(t, tt.ok, ok, i)
		require.Equal(t, tt.skipped, skipped, i)
	}
}

// blockedWriter is a writer whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

// TestRingDoesNotBlock logs far more lines than the ring holds while the writer is
// blocked. A logger that waits for its writer would hang here. The newest line must be
// written, and the loss of older ones reported.
func TestRingDoesNotBlock(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	l := logs.NewRing(w, logs.Settings{Level: "info"}, "entry", "entry-1")
	for i := range 10_000 {
		l.Info().Int("n", i).Msg("line")
	}
	close(w.release)
	require.NoError(t, l.Close())
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Contains(t, w.buf.String(), "log lines lost")
	require.Contains(t, w.buf.String(), `"n":9999`)
	require.Less(t, strings.Count(w.buf.String(), "\n"), 5000)
}
