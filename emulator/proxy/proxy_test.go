package proxy

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// quietPeriod is how long a test waits for bytes that must not arrive. It is longer
// than an answer takes.
const quietPeriod = 200 * time.Millisecond

// startEcho starts an echo server behind a link.
func startEcho(t *testing.T) *Link {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	g, ctx := errgroup.WithContext(ctx)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error {
				defer c.Close()
				_, _ = io.Copy(c, c)
				return nil
			})
		}
	})
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &Link{Listen: netip.MustParseAddrPort(free.Addr().String()), Target: netip.MustParseAddrPort(ln.Addr().String())}
	require.NoError(t, free.Close())
	require.NoError(t, l.Run(ctx, g))
	t.Cleanup(func() {
		cancel()
		_ = ln.Close()
		require.NoError(t, g.Wait())
	})
	return l
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Listen.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func requireAnswer(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte("ping"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 4))
	require.NoError(t, err)
}

func requireNoAnswer(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte("ping"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(quietPeriod)))
	_, err = c.Read(make([]byte, 4))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, c.SetReadDeadline(time.Time{}))
}

func TestBlackholedConnectionsStayOpenAndNewOnesWork(t *testing.T) {
	l := startEcho(t)
	c := dial(t, l)
	requireAnswer(t, c)
	l.Blackhole()
	requireNoAnswer(t, c)
	requireAnswer(t, dial(t, l))
}

func TestBlockedBytesArriveAfterUnblocking(t *testing.T) {
	tests := []struct {
		name  string
		block func(*Link, bool)
	}{
		{"towards the target", (*Link).BlockToTarget},
		{"from the target", (*Link).BlockFromTarget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := startEcho(t)
			c := dial(t, l)
			requireAnswer(t, c)
			tt.block(l, true)
			requireNoAnswer(t, c)
			tt.block(l, false)
			_, err := io.ReadFull(c, make([]byte, 4))
			require.NoError(t, err)
			requireAnswer(t, c)
		})
	}
}

func TestResetEndsConnections(t *testing.T) {
	l := startEcho(t)
	c := dial(t, l)
	requireAnswer(t, c)
	l.Reset()
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	requireAnswer(t, dial(t, l))
}
