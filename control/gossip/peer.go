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
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// peer is another control instance.
type peer struct {
	addr   string
	public string
	zone   string
	// member is set once the log names it.
	member bool
	// reached is set while calls succeed.
	reached bool
	cancel  context.CancelFunc

	// sent is the revision up to which the peer has heard everything.
	sent uint64
	// full is set if the whole directory must be exchanged.
	full bool
	// differs counts comparisons in a row that failed.
	differs  int
	compared int64
}

// maxDiffers is the number of failed comparisons in a row that calls for an
// exchange of the whole directory: one may fail while reports are under way.
const maxDiffers = 2

// manage starts and ends the exchange with each control instance that is known.
func (d *Directory) manage(ctx context.Context) error {
	t := time.NewTicker(manageInterval)
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
	d.managed = true
	for addr, p := range d.peers {
		if _, ok := want[addr]; !ok {
			p.cancel()
			delete(d.peers, addr)
		}
	}
	for addr, w := range want {
		p := d.peers[addr]
		if p == nil {
			p = d.startPeer(ctx, addr)
		}
		p.member = members[addr]
		if w.Zone != "" {
			p.zone, p.public = w.Zone, w.Public
		}
	}
}

func (d *Directory) startPeer(ctx context.Context, addr string) *peer {
	ctx, cancel := context.WithCancel(ctx)
	p := &peer{addr: addr, cancel: cancel, full: true}
	d.peers[addr] = p
	d.cfg.Group.Go(func() error { return d.exchange(ctx, p) })
	return p
}

// exchange tells a peer what changes, until ctx ends.
func (d *Directory) exchange(ctx context.Context, p *peer) error {
	client := rpc.NewClient(p.addr, d.cfg.Creds)
	defer client.Close()
	wait := time.NewTimer(0)
	defer wait.Stop()
	for ctx.Err() == nil {
		g, at, changed := d.compose(p)
		if g != nil {
			d.settle(p, at, d.call(ctx, client, p, g))
		}
		wait.Reset(pulseInterval)
		select {
		case <-ctx.Done():
		case <-wait.C:
		case <-changed:
			clock.Sleep(ctx, settleTime)
		}
	}
	return nil
}

// compose returns what the peer hasn't heard, or nil, and the revision that it
// has heard after that.
func (d *Directory) compose(p *peer) (*message.Gossip, uint64, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	g := &message.Gossip{}
	if p.full {
		g.Full, g.Changed = true, d.dir.All(now)
	} else {
		changed, renewed := d.dir.LocalSince(p.sent, now)
		g.Changed = changed
		for i := range renewed {
			r := &renewed[i]
			g.Renewals = append(g.Renewals, message.Renewal{Name: r.Name, StartedAt: r.StartedAt, Sequence: r.Sequence, Draining: r.Draining})
		}
	}
	if now-p.compared > int64(digestInterval) {
		p.compared = now
		g.Digest = d.dir.Digest()
	}
	if !g.Full && len(g.Changed) == 0 && len(g.Renewals) == 0 && g.Digest == 0 && p.reached {
		return nil, 0, d.changed
	}
	return g, d.dir.Revision(), d.changed
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
	d.take(p, g, &reply)
	return nil
}

// take learns from the answer to a message.
func (d *Directory) take(p *peer, g *message.Gossip, reply *message.GossipReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.merge(reply.All, p.addr, d.now())
	switch {
	case g.Full:
		p.full, p.differs = false, 0
		d.exchangedWhole()
	case reply.Differs:
		p.differs++
		p.full = p.differs >= maxDiffers
	case g.Digest != 0:
		p.differs = 0
	}
}

// settle notes whether the peer was reached.
func (d *Directory) settle(p *peer, at uint64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		p.sent = at
		if !p.reached {
			d.cfg.Log.Info().Str("peer", p.addr).Str("zone", p.zone).Msg("control instance reached")
		}
		p.reached = true
		return
	}
	p.full = true
	if p.reached {
		d.cfg.Log.Warn(err).Str("zone", p.zone).Msg("control instance lost")
	}
	p.reached = false
}
