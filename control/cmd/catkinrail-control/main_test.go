package main

import (
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Collection is turned on again once the heap has grown beyond the limit, even if nobody
// has called restore: a heap above the limit would otherwise be collected all the time.
func TestDeferCollectionEndsWithFirstCollection(t *testing.T) {
	percent, limit := debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer debug.SetGCPercent(percent)
	restore := deferCollection()
	require.Equal(t, int64(startHeap), debug.SetMemoryLimit(-1))
	runtime.GC()
	require.Eventually(t, func() bool { return debug.SetMemoryLimit(-1) == limit }, 5*time.Second, time.Millisecond)
	restore()
	require.Equal(t, limit, debug.SetMemoryLimit(-1))
	require.Equal(t, 100, debug.SetGCPercent(100))
}
