package follow

import (
	"context"
	"time"

	"storj.io/drpc"

	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/rpc"
)

// session is one stream.
type session struct {
	client *Client
	addr   string
	own    bool
	// heard is set once anything came.
	heard bool
	// updates counts the updates that tell the sender's state.
	updates int
	// current is the time of the last update of an instance in touch with its
	// leader.
	current time.Time
	// touched is set once the instance was in touch.
	touched bool
	// moved is set if the stream was ended for a better one.
	moved bool
}

func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(s.patience(), cancel)
	defer silent.Stop()
	s.current = s.client.clock.Now()
	cl := rpc.NewClient(s.addr, s.client.creds)
	defer cl.Close()
	return cl.Call(ctx, "follow", streamTimeout, func(ctx context.Context, conn drpc.Conn) error {
		var have uint64
		s.client.router.Do(func(e *token.Engine, _ int64) { have = e.Version() })
		body, err := cluster.Encode(&message.FollowRequest{Name: s.client.name, Zone: s.client.zone, Document: have, Resume: s.client.resumeAt(s.addr)})
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
			var u message.FollowUpdate
			if err := cluster.DecodeCompressed(f.GetBody(), &u); err != nil {
				return err
			}
			s.take(&u)
			silent.Reset(s.patience())
			if u.State && s.leave() {
				cancel()
				return nil
			}
		}
	})
}

// patience is how long the next update may take.
func (s *session) patience() time.Duration {
	switch {
	case !s.client.Ready():
		return silentAfter
	case !s.heard:
		return s.client.helloAfter()
	case s.updates > 0 && !s.touched:
		return s.client.staleFirst()
	}
	return silentAfter
}

// leave reports whether another control instance should be followed.
func (s *session) leave() bool {
	now := s.client.clock.Now()
	patience := staleAfter
	if !s.client.Ready() || !s.touched {
		patience = s.client.staleFirst()
	}
	if now.Sub(s.current) > patience {
		s.client.log.Info().Str("control", s.addr).Dur("age", now.Sub(s.current)).Msg("control instance is out of touch")
		s.moved = true
		return true
	}
	if s.client.better(s.addr) {
		s.moved = true
		return true
	}
	return false
}

// take hands an update to the engine.
func (s *session) take(u *message.FollowUpdate) {
	c := s.client
	s.heard = true
	if u.State {
		s.updates++
	}
	c.setPeers(u.Peers)
	c.told(s.addr, u)
	if u.Current {
		s.current, s.touched = c.clock.Now(), true
	}
	list := make([]token.FollowedBackend, len(u.Backends))
	for i := range u.Backends {
		list[i] = token.FollowedBackend{Incarnation: u.Backends[i].Incarnation, Silent: u.Backends[i].Silent}
	}
	var changed []*token.Backend
	var version uint64
	newer := false
	c.router.Do(func(e *token.Engine, now int64) {
		changed = e.Update(list, now)
		if u.Document != nil {
			newer = e.SetDocument(u.Document)
		}
		version = e.Version()
		if u.Current && u.Complete {
			e.RecordContact(now)
		}
	})
	if newer {
		c.log.Info().Uint64("version", version).Str("control", s.addr).Msg("document in force")
	}
	for _, b := range changed {
		c.log.Info().Str("backend", b.Name).Str("service", b.Service).Stringer("address", b.Addr).Int64("born", b.StartedAt).
			Uint64("sequence", b.Sequence).Bool("draining", b.Draining).Bool("gone", b.Gone).Bool("silent", b.Silent()).
			Str("control", s.addr).Msg("backend server changed")
	}
	if u.State && s.updates == 1 {
		c.log.Info().Str("control", s.addr).Bool("current", u.Current).Uint64("version", version).Msg("following control instance")
	}
	if version > 0 && u.Current && u.Complete && !c.synced.Swap(true) {
		c.log.Info().Uint64("version", version).Int("backends", len(list)).Msg("ready")
	}
}
