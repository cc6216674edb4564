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
	p := &proxy{l: l, to: to, blackholed: map[net.Conn]bool{}}
	p.group.Go(func() error { p.accept(); return nil })
	t.Cleanup(func() {
		l.Close()
		p.mu.Lock()
		for _, c := range p.conns {
			c.Close()
		}
		p.mu.Unlock()
		require.NoError(t, p.group.Wait())
	})
	return p
}

func (p *proxy) addr() string { return p.l.Addr().String() }

func (p *proxy) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		p.blackholed[c] = true
	}
}

func (p *proxy) accept() {
	for {
		near, err := p.l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.to)
		if err != nil {
			near.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, near, far)
		p.mu.Unlock()
		p.group.Go(func() error { p.forward(near, far); return nil })
		p.group.Go(func() error { p.forward(far, near); return nil })
	}
}

// forward copies bytes, and drops them once the connection is black-holed.
func (p *proxy) forward(from, to net.Conn) {
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		p.mu.Lock()
		drop := p.blackholed[from]
		p.mu.Unlock()
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
