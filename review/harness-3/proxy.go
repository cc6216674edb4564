package main

import (
	"io"
	"net"
	"net/netip"
	"sync/atomic"
)

// proxy passes TCP connections on. While it is deaf, what comes back is lost.
type proxy struct {
	deaf atomic.Bool
}

func (w *world) startProxy(from, to netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", from.String())
	if err != nil {
		return nil, err
	}
	p := &proxy{}
	go func() {
		<-w.ctx.Done()
		l.Close()
	}()
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(in, to)
		}
	}()
	return p, nil
}

func (p *proxy) pass(in net.Conn, to netip.AddrPort) {
	defer in.Close()
	out, err := net.Dial("tcp", to.String())
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(out, in)
		out.Close()
	}()
	b := make([]byte, 32<<10)
	for {
		n, err := out.Read(b)
		if n > 0 && !p.deaf.Load() {
			_, _ = in.Write(b[:n])
		}
		if err != nil {
			return
		}
	}
}
