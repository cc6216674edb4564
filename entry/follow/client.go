// Package follow keeps an entry instance's document and backend servers up to date
// over a stream from one control instance, preferably in its own availability zone.
package follow

import (
	"cmp"
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
	// updateTimeout is the time without an update after which the stream is closed.
	// Control instances send one at least every 400 ms.
	updateTimeout = time.Second
	// firstUpdateTimeout limits the wait for the first update of a stream once this
	// instance is ready. Two streams in a row without one must leave time to apply
	// the draining of a backend server within its limit of 3 s. Before readiness,
	// when many instances connect at once, updateTimeout applies instead.
	firstUpdateTimeout = 500 * time.Millisecond
	// contactTimeout is how long a control instance may be out of contact with its
	// leader before another one is tried. It allows for one or two elections.
	contactTimeout = 1200 * time.Millisecond
	// minFirstContactTimeout is the initial value of the timeout that replaces
	// contactTimeout before this instance is ready, and for a control instance that
	// has not been in contact with a leader since the stream began. Another one
	// probably is, and several in a row that are not must leave time to apply a change
	// within its limit of 3 s.
	minFirstContactTimeout = 200 * time.Millisecond
	// maxFirstContactTimeout limits how far that timeout grows while no control
	// instance is in contact with a leader. It is below the time for which an instance
	// must be connected before the limits on changes apply to it again.
	maxFirstContactTimeout = 1600 * time.Millisecond
	// returnDelay is the time after the end of the last stream from this zone before a
	// stream from another control instance is closed to return to this zone's. One that
	// has stalled must not be retried every second.
	returnDelay = 5 * time.Second
	// maxReturnDelay limits the delay, which doubles with each stream from this zone without an
	// update: an instance that has gone may stay a member, and one that is back must lend flows
	// on this zone's cold backend servers before long.
	maxReturnDelay = 4 * returnDelay
	// minReturnDelay is the least delay after this instance has become ready. It is random
	// up to returnDelay, since many instances become ready together.
	minReturnDelay = time.Second
	// minBackoff and maxBackoff limit the mean delay after a failed attempt; jitter
	// changes it by up to half. They are short because service depends on this delay
	// after all instances have failed.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 160 * time.Millisecond
	// streamTimeout limits the duration of a stream.
	streamTimeout = 24 * time.Hour
)

// maxDoublings is above the number after which every delay that doubles has reached its limit.
const maxDoublings = 10

// Client follows one control instance at a time and passes its updates to the
// token engine.
type Client struct {
	name   string
	zone   catkinrail.Zone
	creds  *rpc.Credentials
	clock  catkinrail.Clock
	router *packet.Router
	log    *logs.Logger
	synced atomic.Bool
	// control is the address of the control instance that is followed.
	control atomic.Pointer[string]

	mu    sync.Mutex
	seeds []string
	peers []quorum.Peer
	// passive holds the addresses of the peers that lend no flows.
	passive []string
	// attempt counts the attempts outside this instance's zone since the last stream in contact
	// with a leader, which was from followed; it selects the next address. start is the random
	// index of the first one among the other peers.
	attempt, start int
	followed       string
	// returnAt is the time from which to return to this zone's control instance.
	returnAt time.Time
	// lost is the number of consecutive streams without an update from this zone's control
	// instance at lostAddr, and retryAt the time from which to return to it.
	lost     int
	lostAddr string
	retryAt  time.Time
	// resume is the point that the last stream reached; resumeAddr is the address of
	// that stream's control instance.
	resume     message.ResumePoint
	resumeAddr string
	// withoutContact is the number of consecutive streams whose control instance was
	// never in contact with a leader. Streams without the sender's state don't count.
	withoutContact int
	// unanswered is the number of consecutive streams without any update.
	unanswered int
}

// New returns a client that finds the control instances through the seeds, which
// are addresses of some of them.
func New(name string, zone catkinrail.Zone, seeds []string, creds *rpc.Credentials, clock catkinrail.Clock, r *packet.Router, log *logs.Logger) *Client {
	return &Client{name: name, zone: zone, seeds: seeds, creds: creds, clock: clock, router: r, log: log, attempt: rand.IntN(max(1, len(seeds)))}
}

// SetSeeds replaces the seed addresses.
func (c *Client) SetSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// Ready reports whether the instance has received a current document and a complete
// directory since it started.
func (c *Client) Ready() bool {
	return c.synced.Load()
}

// Control returns the address of the control instance that this instance follows, or an
// empty string while none has sent an update.
func (c *Client) Control() string {
	if addr := c.control.Load(); addr != nil {
		return *addr
	}
	return ""
}

// Run follows control instances until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	backoff := minBackoff
	own := false
	for ctx.Err() == nil {
		// After a stream from this zone's control instance, for whatever reason it
		// ended, the others are tried before it.
		s := &session{client: c, addrs: c.chooseAddrs(own)}
		err := s.run(ctx)
		c.control.Store(nil)
		c.recordEnd(s)
		own = c.recordOwnEnd(s)
		if s.stateUpdates > 0 {
			backoff = minBackoff
		}
		if ctx.Err() != nil || s.switched {
			continue
		}
		if s.stateUpdates > 0 {
			c.log.Warn(err).Str("control", s.addr).Int("updates", s.stateUpdates).Msg("control instance lost")
		}
		clock.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// recordEnd updates the numbers of consecutive streams without an update and without
// contact with a leader.
func (c *Client) recordEnd(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered++
	if s.received {
		c.unanswered = 0
	}
	switch {
	case s.hadContact:
		c.withoutContact = 0
		c.attempt, c.start, c.followed = 0, rand.Int(), s.addr
	case s.stateUpdates > 0:
		c.withoutContact++
	}
}

// firstUpdateTimeout returns the limit on the wait for a stream's first update. It is
// longer after as many unanswered streams as there are known control instances,
// because then the link of this instance may be slow.
func (c *Client) firstUpdateTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered >= max(len(c.peers), len(c.seeds)) {
		return updateTimeout
	}
	return firstUpdateTimeout
}

// firstContactTimeout returns how long a control instance may take to get in contact
// with its leader after the stream began. It doubles each time that all control
// instances have been tried twice without contact: this instance is then probably
// partitioned together with those it reaches, and frequent new streams only load them.
func (c *Client) firstContactTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	rounds := c.withoutContact / max(1, 2*(len(c.peers)+len(c.seeds)))
	return min(minFirstContactTimeout<<min(rounds, maxDoublings), maxFirstContactTimeout)
}

// resumePoint returns the point from which a stream from the address can resume.
func (c *Client) resumePoint(addr string) message.ResumePoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.resumeAddr {
		return message.ResumePoint{}
	}
	return c.resume
}

// recordProgress records the point that a stream has reached. The observations of one
// control instance replace those of another, so only the last stream can resume.
func (c *Client) recordProgress(addr string, u *message.FollowUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.resumeAddr && (u.State || len(u.Backends) > 0) {
		c.resumeAddr, c.resume = addr, message.ResumePoint{}
	}
	if u.State {
		c.resume = u.Resume
		c.control.Store(&addr)
	}
}

// chooseAddrs returns the addresses of the control instances to try, in order. Once this
// instance is ready, that is only one: the one in this zone, or, if there is none or it is
// to be avoided, one of the others in turn, and seeds that aren't members last. Before, any
// will do, whichever answers first.
func (c *Client) chooseAddrs(avoidOwn bool) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.ownZoneAddr()
	others, n := c.addrsExcept(own)
	if len(others) == 0 || (own != "" && !avoidOwn && c.Ready()) {
		return []string{own}
	}
	if i := slices.Index(others[:n], c.followed); i >= 0 {
		others = slices.Concat(others[i+1:n], others[:i+1], others[n:])
		n--
	}
	if n > 0 {
		first := c.start % n
		others = slices.Concat(others[first:n], others[:first], others[n:])
	}
	first := c.attempt % len(others)
	c.attempt++
	if c.Ready() {
		return others[first : first+1]
	}
	list := slices.Concat(others[first:], others[:first])
	if own != "" && !avoidOwn {
		list = slices.Insert(list, 0, own)
	}
	return list
}

// addrsExcept returns the known addresses of control instances other than the given one: n of peers,
// and then those of the other seeds, which may have gone. The caller holds mu.
func (c *Client) addrsExcept(own string) (list []string, n int) {
	add := func(addr string) {
		if addr != own && !slices.Contains(list, addr) {
			list = append(list, addr)
		}
	}
	for _, p := range c.peers {
		add(p.Addr)
	}
	n = len(list)
	for _, seed := range c.seeds {
		add(seed)
	}
	return list, n
}

// inOwnZone reports whether the address is that of the control instance in this zone.
func (c *Client) inOwnZone(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return addr != "" && addr == c.ownZoneAddr()
}

// ownZoneAddr returns the address of the first control instance in this zone by name, or an
// empty string. That is the one that lends flows on the zone's cold backend servers; those that lend
// none come last. The caller holds mu.
func (c *Client) ownZoneAddr() string {
	var own *quorum.Peer
	for i := range c.peers {
		if p := &c.peers[i]; p.Zone == string(c.zone) && (own == nil || c.precedes(p, own)) {
			own = p
		}
	}
	if own == nil {
		return ""
	}
	return own.Addr
}

// precedes reports whether to follow p rather than q. The caller holds mu.
func (c *Client) precedes(p, q *quorum.Peer) bool {
	if passive := slices.Contains(c.passive, p.Addr); passive != slices.Contains(c.passive, q.Addr) {
		return !passive
	}
	return p.Name < q.Name
}

// setPeers replaces the known control instances.
func (c *Client) setPeers(peers []quorum.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers = peers
}

// setPassive replaces the addresses of the control instances that lend no flows.
func (c *Client) setPassive(list []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.passive = list
}

// addPeers adds control instances at addresses that aren't known yet.
func (c *Client) addPeers(peers []quorum.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := slices.Clone(c.peers)
	for _, p := range peers {
		if !slices.ContainsFunc(list, func(q quorum.Peer) bool { return q.Addr == p.Addr }) {
			list = append(list, p)
		}
	}
	c.peers = list
}

// delayReturn sets the time before which not to return to this zone's control instance.
func (c *Client) delayReturn(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returnAt = c.clock.Now().Add(d)
}

// recordOwnEnd reports whether a stream was one from this zone's control instance, and if so sets the
// time before which not to return to it.
func (c *Client) recordOwnEnd(s *session) bool {
	addr := cmp.Or(s.addr, s.addrs[0])
	if !c.inOwnZone(addr) {
		return false
	}
	c.delayReturn(returnDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.received || addr != c.lostAddr {
		c.lost = 0
	}
	c.lostAddr, c.retryAt = addr, c.returnAt
	if s.received {
		return true
	}
	c.retryAt = c.clock.Now().Add(min(returnDelay<<min(c.lost, maxDoublings), maxReturnDelay))
	c.lost++
	return true
}

// shouldReturn reports whether to switch from the address to this zone's control
// instance: it is another one, this instance is ready, since another stream would begin
// with the whole directory again, and the delay is over.
func (c *Client) shouldReturn(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.ownZoneAddr()
	now := c.clock.Now()
	return c.Ready() && own != "" && own != addr && now.After(c.returnAt) && (own != c.lostAddr || now.After(c.retryAt))
}
