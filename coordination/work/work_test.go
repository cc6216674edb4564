package work_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/coordination/work"
)

const ms = int64(time.Millisecond)

// learned returns a route of requests of 30 ms, of which 3 % take seven times as long.
func learned() *work.Route {
	r := work.NewRoute(0)
	var s work.Server
	for i := range int64(400) {
		took := 30 * ms
		if i%33 == 32 {
			took *= 7
		}
		now := i * 10 * ms
		s.Begin(r, now)
		s.End(r, work.Answer{Began: now, SentAt: now, Slots: 2}, now+took)
	}
	r.Refresh(5000 * ms)
	return r
}

// TestRemainder guards against tails that count like requests that have just begun: one
// that has run for longer than most takes about as long as the tail still does.
func TestRemainder(t *testing.T) {
	r := learned()
	require.InDelta(t, 35, r.Mean().Milliseconds(), 4)
	require.InDelta(t, 35, r.Remainder(0).Milliseconds(), 4)
	require.Less(t, r.Remainder(25*time.Millisecond), 20*time.Millisecond)
	require.InDelta(t, 150, r.Remainder(60*time.Millisecond).Milliseconds(), 15)
}

// TestServer guards against rejections that make a full server look fast, against waiting
// that counts as work, and against a slow server that looks like one with costly requests.
func TestServer(t *testing.T) {
	tests := []struct {
		name     string
		took     int64
		queue    int
		rejected bool
		min, max float64
	}{
		{"as expected", 30 * ms, 0, false, 0.8, 1.2},
		{"it waits behind nine others", 150 * ms, 9, false, 0.8, 1.2},
		{"slow", 180 * ms, 0, false, 3, 8},
		{"rejected", ms / 10, 10, true, 1, 1},
		{"rejected unexpectedly", ms / 10, 0, true, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := learned()
			var s work.Server
			now := 6000 * ms
			for range 8 {
				s.Begin(r, now)
				ok := s.End(r, work.Answer{Began: now, SentAt: now, Queue: tt.queue, Slots: 2}, now+tt.took)
				require.Equal(t, !tt.rejected, ok)
				now += tt.took
			}
			slowness := s.Slowness(0, now)
			require.GreaterOrEqual(t, slowness, tt.min)
			require.LessOrEqual(t, slowness, tt.max)
			require.InDelta(t, 35, r.Mean().Milliseconds(), 4)
		})
	}
}
