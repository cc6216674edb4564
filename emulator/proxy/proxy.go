// Package proxy forwards TCP connections between the system's processes and injects
// network faults into them.
package proxy

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// dialTimeout limits how long connecting to the target may take.
	dialTimeout = time.Second
	// blockPollInterval is how often a blocked connection checks whether it is
	// still blocked.
	blockPollInterval = 5 * time.Millisecond
	// chunkSize is the maximum number of bytes that are forwarded at a time.
	chunkSize = 16 << 10
)

// direction is the direction of bytes on a link.
type direction int

const (
	toTarget direction = iota
	fromTarget
	directions
)

// Link forwards the connections to the address Listen to the address Target. Its
// methods are safe for concurrent use.
type Link struct {
	Listen, Target netip.AddrPort

	mu    sync.Mutex
	conns map[*connPair]bool
	// blocked is set for each direction in which no bytes pass.
	blocked [directions]bool
	// delay is added to each chunk.
	delay time.Duration
}

// connPair is a client's connection and the one to the target.
type connPair struct {
	client, target net.Conn
	// blackholed is set once no more bytes pass in either direction.
	blackholed bool
}

// Run listens and forwards connections, in goroutines of g, until ctx ends. Call it
// once, before the other methods.
func (l *Link) Run(ctx context.Context, g *errgroup.Group) error {
	l.conns = map[*connPair]bool{}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", l.Listen.String())
	if err != nil {
		return err
	}
	g.Go(func() error {
		<-ctx.Done()
		l.Reset()
		return ln.Close()
	})
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return err
			}
			g.Go(func() error {
				l.serve(ctx, c)
				return nil
			})
		}
	})
	return nil
}

// serve forwards a connection until both directions have ended. If the target can't
// be reached, it resets the connection.
func (l *Link) serve(ctx context.Context, c net.Conn) {
	d := net.Dialer{Timeout: dialTimeout}
	t, err := d.DialContext(ctx, "tcp", l.Target.String())
	if err != nil {
		reset(c)
		return
	}
	p := &connPair{client: c, target: t}
	l.mu.Lock()
	l.conns[p] = true
	l.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error { return l.copy(ctx, p, p.target, p.client, toTarget) })
	g.Go(func() error { return l.copy(ctx, p, p.client, p.target, fromTarget) })
	err = g.Wait()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
	if err != nil {
		p.reset()
		return
	}
	_ = c.Close()
	_ = t.Close()
}

// copy forwards the bytes of one direction, and the end of the stream.
func (l *Link) copy(ctx context.Context, p *connPair, dst, src net.Conn, dir direction) error {
	b := make([]byte, chunkSize)
	for {
		n, err := src.Read(b)
		if !l.awaitUnblocked(ctx, p, dir) {
			return ctx.Err()
		}
		if n > 0 {
			if _, err := dst.Write(b[:n]); err != nil {
				p.reset()
				return err
			}
		}
		if err != nil {
			return closeWrite(dst)
		}
	}
}

// awaitUnblocked waits for the link's delay and then until the direction is not
// blocked. It returns false if ctx ends first.
func (l *Link) awaitUnblocked(ctx context.Context, p *connPair, dir direction) bool {
	t := time.NewTimer(l.currentDelay())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		if !l.isBlocked(p, dir) {
			return true
		}
		t.Reset(blockPollInterval)
	}
}

func (l *Link) currentDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

func (l *Link) isBlocked(p *connPair, dir direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blocked[dir] || p.blackholed
}

// Delay delays each chunk by d; zero ends the delay.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// BlockToTarget holds back the bytes to the target, or lets them pass again.
func (l *Link) BlockToTarget(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked[toTarget] = on
}

// BlockFromTarget holds back the bytes from the target, or lets them pass again.
func (l *Link) BlockFromTarget(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked[fromTarget] = on
}

// Blackhole stops all bytes on the open connections for good, but leaves them open.
// New connections work.
func (l *Link) Blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.blackholed = true
	}
}

// InUse reports whether the link has open connections.
func (l *Link) InUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) > 0
}

// Reset resets all open connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.reset()
	}
}

func (p *connPair) reset() {
	reset(p.client)
	reset(p.target)
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func closeWrite(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.CloseWrite()
}
