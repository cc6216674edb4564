package clock

import (
	"context"
	"time"
)

// Sleep waits for the span and reports whether it went by before ctx ended.
func Sleep(ctx context.Context, span time.Duration) bool {
	t := time.NewTimer(span)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
