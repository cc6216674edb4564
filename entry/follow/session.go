package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"storj.io/drpc"

	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/rpc"
)

// session is one stream from a control instance.
type session struct {
	client *Client
	// addrs are the addresses to try; addr is the one that answered, empty if none did.
	addrs []string
	addr  string
	// received is set after the first update.
	received bool
	// stateUpdates counts the updates that carry the sender's state.
	stateUpdates int
	// lastContact is the time of the last update that the control instance sent while
	// in contact with its leader; at first, the time of the connection.
	lastContact time.Time
	// hadContact is set after the first such update.
	hadContact bool
	// peers are the control instances that were received while the sender was out of contact, and
	// may be those of the past; passive are the addresses of those that lend no flows.
	peers   []quorum.Peer
	passive []string
	// parts holds what has been received of updates that are sent in parts.
	parts map[message.PartOf][]byte
	// switched is set if the stream was closed to follow another control instance.
	switched bool
}

func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(s.nextUpdateTimeout(), cancel)
	defer timer.Stop()
	cl, err := rpc.Connect(ctx, s.addrs, s.client.creds)
	if err != nil {
		return err
	}
	defer cl.Close()
	s.addr = cl.Addr()
	s.lastContact = s.client.clock.Now()
	return cl.Call(ctx, "follow", streamTimeout, func(ctx context.Context, conn drpc.Conn) error {
		var version uint64
		s.client.router.Do(func(e *token.Engine, _ int64) { version = e.Version() })
		body, err := cluster.Encode(&message.FollowRequest{Name: s.client.name, Zone: s.client.zone, Document: version, Resume: s.client.resumePoint(s.addr), Parts: true})
		if err != nil {
			return err
		}
		stream, err := control.NewDRPCControlClient(conn).Follow(ctx, &control.Frame{Body: body})
		if err != nil {
			return err
		}
		for {
			f, err := stream.Recv()
			if err != nil {
				return err
			}
			u, err := s.decode(f.GetBody())
			if err != nil {
				return err
			}
			s.apply(u)
			timer.Reset(s.nextUpdateTimeout())
			if u.State && s.shouldSwitch() {
				cancel()
				return nil
			}
		}
	})
}

// decode returns the update in a message: an empty one if the message is part of an update
// of which more parts follow.
func (s *session) decode(body []byte) (*message.FollowUpdate, error) {
	u := &message.FollowUpdate{}
	if err := cluster.DecodeCompressed(body, u); err != nil || len(u.Part) == 0 {
		return u, err
	}
	if s.parts == nil {
		s.parts = map[message.PartOf][]byte{}
	}
	s.parts[u.PartOf] = append(s.parts[u.PartOf], u.Part...)
	if !u.Last {
		return &message.FollowUpdate{}, nil
	}
	whole := s.parts[u.PartOf]
	delete(s.parts, u.PartOf)
	u = &message.FollowUpdate{}
	return u, cluster.DecodeCompressed(whole, u)
}

// nextUpdateTimeout returns the limit on the wait for the next update.
func (s *session) nextUpdateTimeout() time.Duration {
	switch {
	case !s.client.Ready():
		return updateTimeout
	case !s.received:
		return s.client.firstUpdateTimeout()
	case s.stateUpdates > 0 && !s.hadContact:
		return s.client.firstContactTimeout()
	}
	return updateTimeout
}

// shouldSwitch reports whether to follow another control instance.
func (s *session) shouldSwitch() bool {
	now := s.client.clock.Now()
	timeout := contactTimeout
	if !s.client.Ready() || !s.hadContact {
		timeout = s.client.firstContactTimeout()
	}
	if now.Sub(s.lastContact) > timeout {
		s.client.log.Info().Str("control", s.addr).Dur("age", now.Sub(s.lastContact)).Msg("control instance is out of touch")
		s.switched = true
		return true
	}
	if s.client.shouldReturn(s.addr) {
		s.switched = true
		return true
	}
	return false
}

// apply records an update and passes it to the engine.
func (s *session) apply(u *message.FollowUpdate) {
	c := s.client
	s.received = true
	if u.State {
		s.stateUpdates++
	}
	s.recordPeers(u)
	c.recordProgress(s.addr, u)
	if u.Current {
		s.lastContact, s.hadContact = c.clock.Now(), true
	}
	list := make([]token.FollowedBackend, 0, len(u.Backends))
	for i := range u.Backends {
		b := &u.Backends[i]
		if b.Readable() {
			list = append(list, token.FollowedBackend{Incarnation: b.Incarnation, Silent: b.Silent, Superseded: b.Superseded})
		}
	}
	var changed []*token.Backend
	var version uint64
	backends := 0
	newer, evacuations := false, false
	c.router.Do(func(e *token.Engine, now int64) {
		changed = e.Update(list, now)
		if u.Document != nil {
			newer = e.SetDocument(u.Document)
		}
		if u.Evacuations != nil {
			evacuations = e.SetEvacuations(u.Evacuations)
		}
		version, backends = e.Version(), e.NumBackends()
		if u.Current && u.Complete {
			e.RecordContact(now)
		}
	})
	if newer {
		c.log.Info().Uint64("version", version).Str("control", s.addr).Msg("document in force")
	}
	if evacuations {
		c.log.Info().Uint64("revision", u.Evacuations.Revision).Interface("zones", u.Evacuations.Zones).Str("control", s.addr).
			Msg("evacuations in force")
	}
	s.logChanged(changed)
	if u.State && s.stateUpdates == 1 {
		c.log.Info().Str("control", s.addr).Bool("current", u.Current).Uint64("version", version).Msg("following control instance")
	}
	if version > 0 && u.Current && u.Complete && !c.synced.Swap(true) {
		c.delayReturn(minReturnDelay + rand.N(returnDelay-minReturnDelay))
		c.log.Info().Uint64("version", version).Int("backends", backends).Msg("ready")
	}
}

// recordPeers records the control instances in an update. They replace the known ones only if the
// sender is in contact with its leader: one that was removed while it was out of contact has the
// members of that time, which may all have gone.
func (s *session) recordPeers(u *message.FollowUpdate) {
	if len(u.Peers) > 0 {
		s.peers, s.passive = u.Peers, u.Passive
		s.client.addPeers(u.Peers)
	}
	if u.Current && len(s.peers) > 0 {
		s.client.setPeers(s.peers)
		s.client.setPassive(s.passive)
		s.peers = nil
	}
}

// logChanged logs the backend servers that changed. Before readiness, when the whole
// directory is new, it leaves out those that are available: control logs each of them.
func (s *session) logChanged(changed []*token.Backend) {
	c := s.client
	for _, b := range changed {
		if !c.Ready() && !b.Draining && !b.Ended() && !b.Silent() {
			continue
		}
		c.log.Info().Str("backend", b.Name).Str("service", b.Service).Stringer("address", b.Addr).Int64("born", b.StartedAt).
			Uint64("sequence", b.Sequence).Bool("draining", b.Draining).Bool("gone", b.Ended()).Bool("silent", b.Silent()).
			Str("control", s.addr).Msg("backend server changed")
	}
}
