package core

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail/coordination/message"
)

// TestAbandonedJoin guards against a request that is answered while its caller, whose time is up,
// still reads the answer. It needs the race detector.
func TestAbandonedJoin(t *testing.T) {
	c := newTestCluster(t, 1).cores[1]
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error {
		_, err := c.Join(ctx, &message.JoinRequest{Node: 2})
		return err
	})
	answer := <-c.inbox
	cancel()
	// The answer comes after the caller has gone, without anything that orders the two.
	time.Sleep(50 * time.Millisecond)
	answer()
	require.ErrorIs(t, g.Wait(), context.Canceled)
}
