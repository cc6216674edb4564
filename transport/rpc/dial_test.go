package rpc

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	conn, err := dialTCP(t.Context(), l.Addr().String())
	require.NoError(t, err)
	require.NoError(t, conn.Close())

	addr := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = dialTCP(t.Context(), addr)
	require.ErrorIs(t, err, syscall.ECONNREFUSED)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = dialTCP(ctx, addr)
	require.Error(t, err)
}

// TestDialRace checks that the first result counts and that later attempts neither
// replace it nor leave a connection open.
func TestDialRace(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	r := &dialRace{addr: l.Addr().String(), won: make(chan net.Conn, 1), refused: make(chan error, 1)}
	r.attempt(t.Context())
	r.attempt(t.Context())
	r.addr = "127.0.0.1:0"
	r.attempt(t.Context())
	first := <-r.won
	require.Empty(t, r.won)
	require.Empty(t, r.refused)
	require.NoError(t, first.Close())
	_, err = l.Accept()
	require.NoError(t, err)
	second, err := l.Accept()
	require.NoError(t, err)
	_, err = second.Read(make([]byte, 1))
	require.Error(t, err, "the second connection was closed")
}

func TestPoolKeepsOneClientForEachPeer(t *testing.T) {
	p := NewPool(nil)
	require.Same(t, p.Get("127.0.0.1:1"), p.Get("127.0.0.1:1"))
	require.NotSame(t, p.Get("127.0.0.1:1"), p.Get("127.0.0.1:2"))
}

func TestTrustedNetwork(t *testing.T) {
	tests := []struct {
		name  string
		creds TLSSettings
		err   error
	}{
		{"without TLS on loopback only", TLSSettings{Insecure: true}, ErrInsecure},
		{"on any address where the network is trusted", TLSSettings{TrustedNetwork: true}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Empty(t, tt.creds.Validate())
			creds, err := NewCredentials(tt.creds)
			require.NoError(t, err)
			l, err := Listen(t.Context(), "0.0.0.0:0", creds)
			require.True(t, errors.Is(err, tt.err), err)
			if err == nil {
				require.NoError(t, l.Close())
			}
		})
	}
}
