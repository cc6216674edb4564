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

// manual is a clock that tests set.
type manual struct{ now time.Time }

func (m *manual) Now() time.Time { return m.now }

func TestBudget(t *testing.T) {
	clock := &manual{now: time.Unix(1000, 0)}
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

// stalled is a writer that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// TestRingNeverWaits logs far more than the ring holds while nothing is read. That
// it returns at all is the test; what was lost is counted.
func TestRingNeverWaits(t *testing.T) {
	w := &stalled{release: make(chan struct{})}
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
