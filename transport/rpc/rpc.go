package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"catkinrail.example/catkinrail"
)

// Limits of connections.
const (
	// idleTimeout closes a connection that has carried no call for that long.
	idleTimeout = 2 * time.Minute
	// maxMessage is the size limit of a message in bytes. It leaves room for a
	// snapshot at the planned size.
	maxMessage = 64 << 20
	// maxIdle is the number of idle connections that a client keeps to its peer.
	maxIdle = 4
)

// ErrInsecure reports a listener or a connection without TLS at an address that isn't
// loopback, where the network isn't declared as trusted.
var ErrInsecure = errors.New("TLS is off and the address is not loopback")

// Listen opens a TCP listener for calls, with TLS unless the settings turn it off. It
// returns ErrInsecure if creds is nil and addr is not a loopback address.
func Listen(ctx context.Context, addr string, creds *Credentials) (net.Listener, error) {
	if creds == nil && !loopback(addr) {
		return nil, catkinrail.At(ErrInsecure, "listen", addr)
	}
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, catkinrail.At(err, "listen", addr)
	}
	if creds.plaintext() {
		return l, nil
	}
	return tls.NewListener(l, creds.serverConfig()), nil
}

func loopback(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Addr().IsLoopback()
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
		InactivityTimeout: idleTimeout,
	}
}

// Serve handles calls on l until ctx ends, and then returns nil.
func Serve(ctx context.Context, l net.Listener, h drpc.Handler) error {
	s := drpcserver.NewWithOptions(h, drpcserver.Options{Manager: managerOptions()})
	err := s.Serve(ctx, l)
	if ctx.Err() != nil {
		return nil
	}
	return catkinrail.At(err, "serve", l.Addr().String())
}

// Client makes calls to one peer. It keeps connections for later calls, but not one
// that has been closed or on which a call timed out or was cancelled. A connection
// that no longer delivers anything is thus replaced by the next call.
type Client struct {
	addr  string
	creds *Credentials

	sent, received atomic.Int64

	mu     sync.Mutex
	idle   []*drpcconn.Conn
	closed bool
}

// Bytes returns the number of bytes sent to and received from the peer.
func (c *Client) Bytes() (sent, received int64) {
	return c.sent.Load(), c.received.Load()
}

// countingConn adds the bytes of a connection to its client's counters.
type countingConn struct {
	net.Conn
	client *Client
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.client.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.client.sent.Add(int64(n))
	return n, err
}

// NewClient returns a client for the peer at addr, which connects on its first call.
// With nil creds it only connects to loopback addresses; Call returns ErrInsecure for
// others.
func NewClient(addr string, creds *Credentials) *Client {
	return &Client{addr: addr, creds: creds}
}

// Addr returns the peer's address.
func (c *Client) Addr() string {
	return c.addr
}

// Call runs f with a connection to the peer and a context that ends after timeout.
// Errors carry the step and the peer's address.
func (c *Client) Call(ctx context.Context, step string, timeout time.Duration, f func(context.Context, drpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.take(ctx)
	if err != nil {
		return catkinrail.At(err, step, c.addr)
	}
	err = f(ctx, conn)
	if broken(ctx, conn) {
		conn.Close()
	} else {
		c.put(conn)
	}
	return catkinrail.At(err, step, c.addr)
}

// broken reports whether a connection must not be reused.
func broken(ctx context.Context, conn *drpcconn.Conn) bool {
	if ctx.Err() != nil {
		return true
	}
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

func (c *Client) take(ctx context.Context) (*drpcconn.Conn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if !broken(ctx, conn) {
			c.mu.Unlock()
			return conn, nil
		}
	}
	c.mu.Unlock()
	return c.dial(ctx)
}

func (c *Client) dial(ctx context.Context) (*drpcconn.Conn, error) {
	if c.creds == nil && !loopback(c.addr) {
		return nil, ErrInsecure
	}
	nc, err := dialTCP(ctx, c.addr)
	if err != nil {
		return nil, err
	}
	nc = &countingConn{Conn: nc, client: c}
	if !c.creds.plaintext() {
		cfg, err := c.creds.clientConfig()
		if err != nil {
			nc.Close()
			return nil, err
		}
		tc := tls.Client(nc, cfg)
		if err := tc.HandshakeContext(ctx); err != nil {
			nc.Close()
			return nil, fmt.Errorf("handshake: %w", err)
		}
		nc = tc
	}
	return drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()}), nil
}

func (c *Client) put(conn *drpcconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle) == maxIdle {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// Close closes the idle connections. Those in use are closed when their call ends.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}
