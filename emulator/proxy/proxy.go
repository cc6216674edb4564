// Package proxy passes TCP connections on between the system's processes and harms
// them as a faulty network would.
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
	// dialTimeout bounds a connection to the target.
	dialTimeout = time.Second
	// holdPoll is the time between two looks whether a cut is over.
	holdPoll = 5 * time.Millisecond
	// chunk is the most that is passed on at a time, in bytes.
	chunk = 16 << 10
)

// direction is the way that bytes take through a link.
type direction int

const (
	toTarget direction = iota
	fromTarget
	directions
)

// Link is an address whose connections are passed on to a target.
type Link struct {
	Listen, Target netip.AddrPort

	mu    sync.Mutex
	conns map[*pair]bool
	// cut holds the bytes of a direction back.
	cut [directions]bool
	// delay is added to each chunk.
	delay time.Duration
}

// pair is a connection and the one that it is passed on to.
type pair struct {
	caller, target net.Conn
	// silent is set once nothing passes any more.
	silent bool
}

// Run passes connections on until ctx ends.
func (l *Link) Run(ctx context.Context, g *errgroup.Group) error {
	l.conns = map[*pair]bool{}
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

// serve passes a connection on until either end closes it. What the target
// refuses is reset.
func (l *Link) serve(ctx context.Context, c net.Conn) {
	d := net.Dialer{Timeout: dialTimeout}
	t, err := d.DialContext(ctx, "tcp", l.Target.String())
	if err != nil {
		reset(c)
		return
	}
	p := &pair{caller: c, target: t}
	l.mu.Lock()
	l.conns[p] = true
	l.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error { return l.copy(ctx, p, p.target, p.caller, toTarget) })
	g.Go(func() error { return l.copy(ctx, p, p.caller, p.target, fromTarget) })
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

// copy passes one direction on. An end of the stream is passed on, too.
func (l *Link) copy(ctx context.Context, p *pair, dst, src net.Conn, dir direction) error {
	b := make([]byte, chunk)
	for {
		n, err := src.Read(b)
		if !l.hold(ctx, p, dir) {
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

// hold waits until bytes may pass in the direction, and reports whether ctx still
// runs.
func (l *Link) hold(ctx context.Context, p *pair, dir direction) bool {
	t := time.NewTimer(l.delayNow())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
		}
		if !l.held(p, dir) {
			return true
		}
		t.Reset(holdPoll)
	}
}

func (l *Link) delayNow() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

func (l *Link) held(p *pair, dir direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[dir] || p.silent
}

// Delay adds a delay to all that passes; zero ends it.
func (l *Link) Delay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// CutToTarget holds back what goes to the target, or lets it pass again.
func (l *Link) CutToTarget(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[toTarget] = on
}

// CutFromTarget holds back what comes from the target, or lets it pass again.
func (l *Link) CutFromTarget(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[fromTarget] = on
}

// Silence lets nothing more pass on the connections that are open, and leaves
// them open. New ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.silent = true
	}
}

// Reset resets the connections that are open.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.reset()
	}
}

func (p *pair) reset() {
	reset(p.caller)
	reset(p.target)
}

// reset closes a connection such that its peer sees a reset.
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
