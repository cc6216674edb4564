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

// never is longer than anything that must arrive takes, and short enough to wait
// for what must not.
const never = 200 * time.Millisecond

// echo starts a server that sends back what it gets, behind a link.
func echo(t *testing.T) *Link {
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

func answered(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte("ping"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 4))
	require.NoError(t, err)
}

func silent(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte("ping"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(never)))
	_, err = c.Read(make([]byte, 4))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.NoError(t, c.SetReadDeadline(time.Time{}))
}

func TestSilentConnectionsStayOpenAndNewOnesWork(t *testing.T) {
	l := echo(t)
	c := dial(t, l)
	answered(t, c)
	l.Silence()
	silent(t, c)
	answered(t, dial(t, l))
}

func TestBytesHeldBackByACutArriveAfterIt(t *testing.T) {
	tests := []struct {
		name string
		cut  func(*Link, bool)
	}{
		{"towards the target", (*Link).CutToTarget},
		{"from the target", (*Link).CutFromTarget},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := echo(t)
			c := dial(t, l)
			answered(t, c)
			tt.cut(l, true)
			silent(t, c)
			tt.cut(l, false)
			_, err := io.ReadFull(c, make([]byte, 4))
			require.NoError(t, err)
			answered(t, c)
		})
	}
}

func TestResetEndsConnections(t *testing.T) {
	l := echo(t)
	c := dial(t, l)
	answered(t, c)
	l.Reset()
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	answered(t, dial(t, l))
}
