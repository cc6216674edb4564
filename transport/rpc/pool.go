package rpc

import "sync"

// Pool keeps one client for each peer address. It is safe for concurrent use.
type Pool struct {
	creds *Credentials

	mu      sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool whose clients use creds.
func NewPool(creds *Credentials) *Pool {
	return &Pool{creds: creds, clients: map[string]*Client{}}
}

// Get returns the client for the peer at addr and creates it on first use.
func (p *Pool) Get(addr string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		c = NewClient(addr, p.creds)
		p.clients[addr] = c
	}
	return c
}
