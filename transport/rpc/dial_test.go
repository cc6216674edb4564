package rpc

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
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

// TestConnect checks that addresses that refuse or don't answer don't keep a client from
// the one that does.
func TestConnect(t *testing.T) {
	creds, err := NewCredentials(TLSSettings{Insecure: true})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	up := l.Addr().String()
	other, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refusing := other.Addr().String()
	require.NoError(t, other.Close())
	silent := fullListener(t)
	tests := []struct {
		name  string
		addrs []string
		fails bool
	}{
		{"one", []string{up}, false},
		{"after one that refuses", []string{refusing, up}, false},
		{"after two that don't answer", []string{silent, silent, up}, false},
		{"before one that doesn't answer", []string{up, silent}, false},
		{"all refuse", []string{refusing, refusing}, true},
		{"nobody", nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			began := time.Now()
			c, err := Connect(t.Context(), tt.addrs, creds)
			require.Less(t, time.Since(began), dialTimeout)
			if tt.fails {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, up, c.Addr())
			require.Len(t, c.idle, 1)
			c.Close()
		})
	}
}

// fullListener returns the address of a listener whose queue of new connections is full,
// so that it answers no further ones.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	bound, ok := name.(*unix.SockaddrInet4)
	require.True(t, ok)
	addr := netip.AddrPortFrom(netip.AddrFrom4(bound.Addr), uint16(bound.Port)).String()
	for {
		d := net.Dialer{Timeout: 50 * time.Millisecond}
		conn, err := d.DialContext(t.Context(), "tcp", addr)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { conn.Close() })
	}
}
