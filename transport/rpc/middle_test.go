package rpc_test

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// proxy forwards TCP connections. It can turn the open ones into black holes, as a NAT
// gateway or firewall that lost its state does.
type proxy struct {
	l     net.Listener
	to    string
	group errgroup.Group

	mu         sync.Mutex
	conns      []net.Conn
	blackholed map[net.Conn]bool
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &proxy{l: l, to: to, blackholed: map[net.Conn]bool{}}
	m.group.Go(func() error { m.accept(); return nil })
	t.Cleanup(func() {
		l.Close()
		m.mu.Lock()
		for _, c := range m.conns {
			c.Close()
		}
		m.mu.Unlock()
		require.NoError(t, m.group.Wait())
	})
	return m
}

func (m *proxy) addr() string { return m.l.Addr().String() }

func (m *proxy) blackhole() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.conns {
		m.blackholed[c] = true
	}
}

func (m *proxy) accept() {
	for {
		near, err := m.l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", m.to)
		if err != nil {
			near.Close()
			continue
		}
		m.mu.Lock()
		m.conns = append(m.conns, near, far)
		m.mu.Unlock()
		m.group.Go(func() error { m.forward(near, far); return nil })
		m.group.Go(func() error { m.forward(far, near); return nil })
	}
}

// forward copies bytes, and drops them once the connection is black-holed.
func (m *proxy) forward(from, to net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		m.mu.Lock()
		drop := m.blackholed[from]
		m.mu.Unlock()
		if err != nil {
			to.Close()
			return
		}
		if drop {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			from.Close()
			return
		}
	}
}
