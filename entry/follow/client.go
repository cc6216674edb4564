// Package follow keeps an entry instance up to date with what control knows, by
// a stream from one control instance, of its own availability zone if it can.
package follow

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/entry/packet"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Timing of the stream.
const (
	// silentAfter is the time without an update after which the stream is given
	// up: control sends one each 400 ms.
	silentAfter = time.Second
	// helloAfter is the time within which a control instance must say anything at all,
	// once this instance has a document. Two that don't must leave room in the bound
	// on a draining backend server; at a start, when all come at once, there is more.
	helloAfter = 500 * time.Millisecond
	// staleAfter is how long a control instance may be out of touch with its
	// leader before another is tried: an election or two.
	staleAfter = 1200 * time.Millisecond
	// staleFirst is the same for a control instance that was not in touch since the
	// stream began, and before the first document: another one is likely to be, and
	// several that are not must not use up the bound on a change together.
	staleFirst = 200 * time.Millisecond
	// maxStaleFirst bounds staleFirst while no control instance is in touch: below the
	// time for which an instance must be connected until bounds hold for it again.
	maxStaleFirst = 1600 * time.Millisecond
	// returnAfter is the time after which the control instance of the own zone is
	// tried again.
	returnAfter = 5 * time.Second
	// minBackoff and maxBackoff bound the time between attempts that failed. They
	// are short: after a loss of everything, service waits for this.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
	// streamTimeout bounds a stream's life.
	streamTimeout = 24 * time.Hour
)

// Client follows control.
type Client struct {
	name   string
	zone   catkinrail.Zone
	creds  *rpc.Credentials
	clock  catkinrail.Clock
	router *packet.Router
	log    *logs.Logger
	synced atomic.Bool

	mu    sync.Mutex
	seeds []string
	peers []quorum.Peer
	// at is the number of the next attempt among all that are not of this zone.
	at int
	// ownLeft is the time at which the last stream from the own zone ended.
	ownLeft time.Time
	// resume is where the last stream ended, at the address that it came from.
	resume     message.ResumePoint
	resumeAddr string
	// untouched is the number of streams in a row from control instances that never
	// were in touch with a leader.
	untouched int
	// unheard is the number of streams in a row on which nothing came.
	unheard int
}

// New returns a client that finds control through the seeds.
func New(name string, zone catkinrail.Zone, seeds []string, creds *rpc.Credentials, clock catkinrail.Clock, r *packet.Router, log *logs.Logger) *Client {
	return &Client{name: name, zone: zone, seeds: seeds, creds: creds, clock: clock, router: r, log: log, at: rand.IntN(max(1, len(seeds)))}
}

// SetSeeds replaces the seeds.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Ready reports whether the instance has had a current document and a whole
// directory since its start.
func (c *Client) Ready() bool {
	return c.synced.Load()
}

// Run follows control until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	backoff := minBackoff
	own := false
	for ctx.Err() == nil {
		// Whatever ended a stream from the own zone, another instance is known to
		// be worth a try before it.
		var addr string
		addr, own = c.choose(own)
		s := &session{client: c, addr: addr, own: own}
		err := s.run(ctx)
		c.ended(s)
		if own {
			c.leftOwn()
		}
		if s.updates > 0 {
			backoff = minBackoff
		}
		if ctx.Err() != nil || s.moved {
			continue
		}
		if s.updates > 0 {
			c.log.Warn(err).Str("control", addr).Int("updates", s.updates).Msg("control instance lost")
		}
		clock.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// ended notes how a stream ended.
func (c *Client) ended(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unheard++
	if s.heard {
		c.unheard = 0
	}
	switch {
	case s.touched:
		c.untouched = 0
	case s.updates > 0:
		c.untouched++
	}
}

// helloAfter returns how long a control instance may say nothing at first. Once all
// have been tried, it may be the way there that is slow.
func (c *Client) helloAfter() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unheard >= max(len(c.peers), len(c.seeds)) {
		return silentAfter
	}
	return helloAfter
}

// staleFirst returns how long a control instance may be out of touch that was not in
// touch since the stream began. It grows once all have been tried twice: then this
// instance is cut off with those that it reaches, and streams that begin anew all the
// time would only keep them busy.
func (c *Client) staleFirst() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	const maxDoublings = 10
	rounds := c.untouched / max(1, 2*(len(c.peers)+len(c.seeds)))
	return min(staleFirst<<min(rounds, maxDoublings), maxStaleFirst)
}

// resumeAt returns where a stream from the address can go on.
func (c *Client) resumeAt(addr string) message.ResumePoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.resumeAddr {
		return message.ResumePoint{}
	}
	return c.resume
}

// told notes how far a stream has come. What one control instance has observed
// replaces what another has, so that only the last stream can go on.
func (c *Client) told(addr string, u *message.FollowUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.resumeAddr && (u.State || len(u.Backends) > 0) {
		c.resumeAddr, c.resume = addr, message.ResumePoint{}
	}
	if u.State {
		c.resume = u.Resume
	}
}

// choose returns the control instance to follow: that of the own zone, or one
// after the other if it is to be avoided.
func (c *Client) choose(avoidOwn bool) (addr string, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ownAddr := c.ownZone()
	if ownAddr != "" && !avoidOwn {
		return ownAddr, true
	}
	var list []string
	add := func(addr string) {
		if addr != ownAddr && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	for _, p := range c.peers {
		add(p.Addr)
	}
	for _, seed := range c.seeds {
		add(seed)
	}
	if len(list) == 0 {
		return ownAddr, true
	}
	c.at++
	return list[c.at%len(list)], false
}

// ownZone returns a control instance of the own zone, or an empty string. The
// caller holds mu.
func (c *Client) ownZone() string {
	for _, p := range c.peers {
		if p.Zone == string(c.zone) {
			return p.Addr
		}
	}
	return ""
}

func (c *Client) setPeers(peers []quorum.Peer) {
	if len(peers) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = peers
}

// leftOwn notes that a stream from the own zone has ended.
func (c *Client) leftOwn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownLeft = c.clock.Now()
}

// better reports whether the control instance of the own zone is another one,
// and its last stream ended long enough ago to try it again.
func (c *Client) better(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.ownZone()
	return own != "" && own != addr && c.clock.Now().Sub(c.ownLeft) > returnAfter
}
