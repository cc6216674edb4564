package main

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/platform/standin"
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

// TestExpendableIsAnnounced guards against a control instance whose vote counts although the
// platform doesn't count its machine among the tolerated losses.
func TestExpendableIsAnnounced(t *testing.T) {
	node := standin.Node{Name: "n", Zone: "z", IP: netip.MustParseAddr("127.0.0.2"), Seeds: []netip.Addr{netip.MustParseAddr("127.0.0.3")}, Data: "/nowhere"}
	for budget, want := range map[string]bool{"": false, "in_fault_budget: true\n": false, "in_fault_budget: false\n": true} {
		cfg, err := platformSettings("node.yaml", []byte(node.Settings()+budget))
		require.NoError(t, err)
		require.Equal(t, want, (&daemon{cfg: cfg}).self().Expendable, budget)
	}
}

// TestLeaveTimeoutFitsGrace guards against a stop that waits for its vote until it is killed.
func TestLeaveTimeoutFitsGrace(t *testing.T) {
	node := standin.Node{Name: "n", Zone: "z", IP: netip.MustParseAddr("127.0.0.2"), Seeds: []netip.Addr{netip.MustParseAddr("127.0.0.3")}, Data: "/nowhere"}
	for grace, want := range map[string]time.Duration{"0.5": 250 * time.Millisecond, "1": 500 * time.Millisecond, "2": time.Second, "6": 5 * time.Second} {
		cfg, err := platformSettings("node.yaml", []byte(strings.Replace(node.Settings(), "grace_s: 6", "grace_s: "+grace, 1)))
		require.NoError(t, err)
		require.Equal(t, want, cfg.LeaveTimeout, grace)
	}
}

// TestStartOnFullDisk guards against processes that end, and are started again and again, while
// their disk is full.
func TestStartOnFullDisk(t *testing.T) {
	full, damaged := fmt.Errorf("write identity: %w", syscall.ENOSPC), errors.New("damaged")
	tests := []struct {
		name     string
		attempts []error
		stopped  bool
		want     error
	}{
		{"room at once", []error{nil}, false, nil},
		{"full, then room", []error{full, full, nil}, false, nil},
		{"full, then damaged", []error{full, damaged}, false, damaged},
		{"asked to stop while it is full", []error{full}, true, context.Canceled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stopping, stop := context.WithCancel(t.Context())
			defer stop()
			ctx, cancel := context.WithCancel(t.Context())
			d := &daemon{log: logs.Discard(), stopping: stopping, stop: cancel}
			calls := 0
			err := d.retryOpen(ctx, func() error {
				calls++
				if tt.stopped {
					stop()
				}
				return tt.attempts[calls-1]
			})
			require.ErrorIs(t, err, tt.want)
			require.Equal(t, len(tt.attempts), calls)
			require.Equal(t, tt.stopped, ctx.Err() != nil)
		})
	}
}
