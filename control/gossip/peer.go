package gossip

import (
	"context"
	"time"

	"storj.io/drpc"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/state/directory"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// peer is another control instance.
type peer struct {
	addr string
	// public is the address that backend servers reach it at.
	public string
	zone   string
	// member is set while it is among the known members.
	member bool
	// reached is set while calls succeed.
	reached bool
	// reachedAt is the time of the last call that succeeded, or from which the peer is known or a
	// member if that is later.
	reachedAt int64
	cancel    context.CancelFunc

	// sentRevision is the revision up to which the peer has received everything.
	sentRevision uint64
	// needFull is set if the next message must exchange the whole directories.
	needFull bool
	// mismatches counts the replies that reported a difference since the last
	// matching digest or exchange of the whole directories.
	mismatches int
	// lastLoad is the time of the last message with loads.
	lastLoad int64
	// lastDigest is the time of the last comparison of digests.
	lastDigest int64
}

// maxMismatches is the number of mismatches that leads to an exchange of the whole
// directories. A single one may be due to reports in transit.
const maxMismatches = 2

// managePeers starts and ends the exchange with other control instances as they
// become known and are removed, until ctx ends.
func (d *Directory) managePeers(ctx context.Context) error {
	t := time.NewTicker(peerRefreshInterval)
	defer t.Stop()
	for {
		d.refreshPeers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

func (d *Directory) refreshPeers(ctx context.Context) {
	want := map[string]quorum.Peer{}
	members := map[string]bool{}
	for _, addr := range d.cfg.Seeds() {
		want[addr] = quorum.Peer{Addr: addr}
	}
	for _, p := range d.cfg.Members().Nodes {
		want[p.Addr] = p
		members[p.Addr] = true
	}
	delete(want, d.cfg.Self.Addr)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peersKnown = true
	d.alone = len(members) == 1 && members[d.cfg.Self.Addr]
	now := d.now()
	for addr, p := range d.peers {
		if _, ok := want[addr]; !ok && !p.mayRun(now) {
			p.cancel()
			delete(d.peers, addr)
		}
	}
	for addr, w := range want {
		p := d.peers[addr]
		if p == nil {
			p = d.startPeer(ctx, addr)
		}
		if members[addr] && !p.member {
			p.reachedAt = now
		}
		p.member = members[addr] || p.mayRun(now)
		if w.Zone != "" {
			p.zone, p.public = w.Zone, w.Public
		}
	}
}

// mayRun reports whether a member can't be reached, and could be within goneAfter. It may take
// reports, also once it has lost its place among the members.
func (p *peer) mayRun(now int64) bool {
	return p.member && !p.reached && now-p.reachedAt < int64(goneAfter)
}

func (d *Directory) startPeer(ctx context.Context, addr string) *peer {
	ctx, cancel := context.WithCancel(ctx)
	p := &peer{addr: addr, cancel: cancel, needFull: true, reachedAt: d.now()}
	d.peers[addr] = p
	d.cfg.Group.Go(func() error { return d.exchange(ctx, p) })
	return p
}

// exchange sends changes and renewals to a peer, until ctx ends.
func (d *Directory) exchange(ctx context.Context, p *peer) error {
	client := rpc.NewClient(p.addr, d.cfg.Creds)
	defer client.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		changed, err := d.connect(ctx, client, p)
		if err == nil {
			changed = d.send(ctx, client, p)
		}
		timer.Reset(renewalInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
			clock.Sleep(ctx, batchDelay)
		}
	}
	return nil
}

// connect connects to a peer that the last call didn't reach, so that no message is composed for one
// that has gone. It returns a channel that is closed at the next change.
func (d *Directory) connect(ctx context.Context, client *rpc.Client, p *peer) (<-chan struct{}, error) {
	d.mu.Lock()
	reached, changed := p.reached, d.changed
	d.mu.Unlock()
	if reached {
		return changed, nil
	}
	err := client.Call(ctx, "gossip", callTimeout, func(context.Context, drpc.Conn) error { return nil })
	if err != nil {
		d.recordResult(p, 0, err)
	}
	return changed, err
}

// send sends the next message to a peer, if any. It returns a channel that is closed at the next
// change.
func (d *Directory) send(ctx context.Context, client *rpc.Client, p *peer) <-chan struct{} {
	g, revision, changed := d.nextMessage(p)
	if g != nil {
		d.recordResult(p, revision, d.call(ctx, client, p, g))
	}
	return changed
}

// nextMessage returns the next message to a peer, with the load if that is due, or nil if
// there is nothing to send, and the other results of composeMessage.
func (d *Directory) nextMessage(p *peer) (*message.Gossip, uint64, <-chan struct{}) {
	g, revision, changed := d.composeMessage(p)
	if l := d.shareLoad(p); l != nil {
		if g == nil {
			g = &message.Gossip{}
		}
		g.Load = l
	}
	return g, revision, changed
}

// composeMessage returns a message with what the peer hasn't received yet, or nil if
// there is nothing to send, the revision that the message brings the peer to, and a
// channel that is closed at the next change.
func (d *Directory) composeMessage(p *peer) (*message.Gossip, uint64, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	g := &message.Gossip{}
	if p.needFull {
		g.Full, g.Changed = true, d.dir.All(now)
	} else {
		changed, renewed := d.dir.LocalSince(p.sentRevision, now)
		g.Changed = changed
		for i := range renewed {
			r := &renewed[i]
			g.Renewals = append(g.Renewals, message.Renewal{Name: r.Name, StartedAt: r.StartedAt, Sequence: r.Sequence, Draining: r.Draining})
		}
	}
	if now-p.lastDigest > int64(digestInterval) {
		p.lastDigest = now
		g.Digest = d.dir.Digest()
	}
	if !g.Full && len(g.Changed) == 0 && len(g.Renewals) == 0 && g.Digest == 0 && p.reached {
		return nil, d.dir.Revision(), d.changed
	}
	return g, d.dir.Revision(), d.changed
}

// shareLoad returns the load to send to a peer, or nil if there is none or it isn't due:
// messages about changes of the directory may follow each other much faster.
func (d *Directory) shareLoad(p *peer) *message.LoadShare {
	if d.loads == nil {
		return nil
	}
	d.mu.Lock()
	now, zone := d.now(), p.zone
	due := now-p.lastLoad >= int64(renewalInterval-batchDelay)
	if due {
		p.lastLoad = now
	}
	d.mu.Unlock()
	if !due {
		return nil
	}
	return d.loads.Share(p.addr, zone)
}

func (d *Directory) call(ctx context.Context, client *rpc.Client, p *peer, g *message.Gossip) error {
	body, err := cluster.EncodeCompressed(g)
	if err != nil {
		return catkinrail.At(err, "gossip", p.addr)
	}
	var reply message.GossipReply
	err = client.Call(ctx, "gossip", callTimeout, func(ctx context.Context, conn drpc.Conn) error {
		f, err := control.NewDRPCControlClient(conn).Gossip(ctx, &control.Frame{Body: body})
		if err != nil {
			return err
		}
		return cluster.DecodeCompressed(f.GetBody(), &reply)
	})
	if err != nil {
		return err
	}
	d.applyReply(p, g, &reply)
	return nil
}

// applyReply applies the peer's reply to the message g.
func (d *Directory) applyReply(p *peer, g *message.Gossip, reply *message.GossipReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.merge(reply.All, directory.FromCopy, p.addr, d.now())
	switch {
	case g.Full:
		p.needFull, p.mismatches = false, 0
		d.markExchanged()
	case reply.Differs:
		p.mismatches++
		p.needFull = p.mismatches >= maxMismatches
	case g.Digest != 0:
		p.mismatches = 0
	}
}

// recordResult records whether a call reached the peer. After a failure, the whole
// directories are exchanged next.
func (d *Directory) recordResult(p *peer, revision uint64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		p.sentRevision = revision
		if !p.reached {
			d.cfg.Log.Info().Str("peer", p.addr).Str("zone", p.zone).Msg("control instance reached")
		}
		p.reached, p.reachedAt = true, d.now()
		return
	}
	p.needFull = true
	if p.reached {
		d.cfg.Log.Warn(err).Str("zone", p.zone).Msg("control instance lost")
	}
	p.reached = false
}
