// Package udp reads and writes datagrams in batches.
package udp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"

	"catkinrail.example/catkinrail"
)

// Sizes of batches, datagrams and buffers.
const (
	// BatchSize is the largest number of datagrams that one system call reads or writes.
	BatchSize = 64
	// MaxDatagram is the size, in bytes, of the buffer for a received datagram; longer
	// ones are truncated.
	MaxDatagram = 9600
	// bufferSize is the requested size of the socket's buffers, in bytes.
	bufferSize = 4 << 20
)

// Conn is the socket of one worker. Several sockets may share an address; the kernel
// distributes the datagrams over them.
type Conn struct {
	conn   *net.UDPConn
	packet *ipv4.PacketConn
	in     []ipv4.Message
	out    []ipv4.Message
	queued int
	addrs  map[netip.AddrPort]*net.UDPAddr
}

// Listen opens a socket on addr. Other sockets may listen on the same address.
func Listen(ctx context.Context, addr netip.AddrPort) (*Conn, error) {
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		var optErr error
		err := rc.Control(func(fd uintptr) {
			optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		if err != nil {
			return err
		}
		return optErr
	}}
	pc, err := lc.ListenPacket(ctx, "udp", addr.String())
	if err != nil {
		return nil, catkinrail.At(err, "listen", addr.String())
	}
	conn, ok := pc.(*net.UDPConn)
	if !ok {
		return nil, catkinrail.At(fmt.Errorf("unexpected socket type %T", pc), "listen", addr.String())
	}
	// Getting smaller buffers than requested is not an error.
	_ = conn.SetReadBuffer(bufferSize)
	_ = conn.SetWriteBuffer(bufferSize)
	c := &Conn{
		conn: conn, packet: ipv4.NewPacketConn(conn),
		in: make([]ipv4.Message, BatchSize), out: make([]ipv4.Message, BatchSize),
		addrs: map[netip.AddrPort]*net.UDPAddr{},
	}
	for i := range c.in {
		c.in[i].Buffers = [][]byte{make([]byte, MaxDatagram)}
		c.out[i].Buffers = make([][]byte, 1)
	}
	return c, nil
}

// LocalAddr returns the socket's address.
func (c *Conn) LocalAddr() netip.AddrPort {
	return addrPort(c.conn.LocalAddr())
}

// Read waits for datagrams, receives up to BatchSize of them and returns their number.
func (c *Conn) Read() (int, error) {
	return c.packet.ReadBatch(c.in, 0)
}

// ReadTimeout is like Read, but returns zero if no datagram arrives within d.
func (c *Conn) ReadTimeout(d time.Duration) (int, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return 0, err
	}
	n, err := c.packet.ReadBatch(c.in, 0)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = 0, nil
	}
	return n, errors.Join(err, c.conn.SetReadDeadline(time.Time{}))
}

// Datagram returns the i-th datagram of the last Read. It is valid until the next Read.
// If complete is false, the datagram filled the buffer and may have been truncated.
func (c *Conn) Datagram(i int) (b []byte, complete bool) {
	m := &c.in[i]
	return m.Buffers[0][:m.N], m.N < MaxDatagram
}

// Source returns the sender of the i-th datagram of the last Read.
func (c *Conn) Source(i int) netip.AddrPort {
	return addrPort(c.in[i].Addr)
}

func addrPort(a net.Addr) netip.AddrPort {
	if u, ok := a.(*net.UDPAddr); ok {
		return u.AddrPort()
	}
	return netip.AddrPort{}
}

// maxAddrs is the largest number of cached addresses; a full cache is cleared.
const maxAddrs = 1 << 16

func (c *Conn) udpAddr(to netip.AddrPort) *net.UDPAddr {
	a := c.addrs[to]
	if a == nil {
		if len(c.addrs) >= maxAddrs {
			clear(c.addrs)
		}
		a = net.UDPAddrFromAddrPort(to)
		c.addrs[to] = a
	}
	return a
}

// Queue queues a datagram for the next Flush, until when b must not be modified. A full
// queue is flushed first.
func (c *Conn) Queue(to netip.AddrPort, b []byte) {
	if c.queued == len(c.out) {
		c.Flush()
	}
	m := &c.out[c.queued]
	m.Buffers[0] = b
	m.Addr = c.udpAddr(to)
	c.queued++
}

// Discard drops the queued datagrams without sending them.
func (c *Conn) Discard() {
	c.queued = 0
}

// Flush sends the queued datagrams. Those that can't be sent are dropped, as the network
// may drop them too; failed is their number.
func (c *Conn) Flush() (failed int) {
	for sent := 0; sent < c.queued; {
		n, err := c.packet.WriteBatch(c.out[sent:c.queued], 0)
		sent += max(n, 0)
		if err != nil {
			sent++
			failed++
		}
	}
	c.queued = 0
	return failed
}

// Close closes the socket. A blocked Read returns an error.
func (c *Conn) Close() error {
	return c.conn.Close()
}
