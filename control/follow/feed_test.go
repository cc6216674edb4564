package follow

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/clock"
)

func newDirectory() *gossip.Directory {
	return gossip.New(gossip.Config{Clock: clock.New(), Log: logs.Discard(), SilentAfter: time.Hour})
}

func incarnation(n int, sequence uint64, draining bool) *catkinrail.Incarnation {
	return &catkinrail.Incarnation{
		Name: "i-" + string(rune('a'+n)), Identity: uint64(n + 1), StartedAt: 1, Sequence: sequence, Service: "logbook", Slots: 2, Zone: "a",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80), Draining: draining,
	}
}

func decode(t require.TestingT, body []byte) *message.FollowUpdate {
	var u message.FollowUpdate
	require.NoError(t, cluster.DecodeCompressed(body, &u))
	return &u
}

// TestStreamsShareFrames lets streams catch up at different times. In the end all
// entry instances must have the same state, and the streams share further frames.
func TestStreamsShareFrames(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDirectory()
		f := newFeed(d)
		engines := []*token.Engine{token.New("a", 1), token.New("a", 1), token.New("a", 1)}
		revisions := make([]uint64, len(engines))
		now := int64(0)
		catchUp := func(i int) *frame {
			var last *frame
			for {
				fr, _, err := f.next(revisions[i], now)
				require.NoError(t, err)
				if fr == nil {
					return last
				}
				var list []token.FollowedBackend
				for _, b := range decode(t, fr.body).Backends {
					list = append(list, token.FollowedBackend{Incarnation: b.Incarnation, Silent: b.Silent})
				}
				engines[i].Update(list, now)
				revisions[i], last = fr.to, fr
			}
		}
		sequence := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 400).Draw(t, "millis")) * int64(time.Millisecond)
			sequence++
			n := rapid.IntRange(0, 5).Draw(t, "backend")
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				d.Leave(incarnation(n, 0, false).Name, 1)
			default:
				d.Report(incarnation(n, sequence, rapid.Bool().Draw(t, "draining")))
			}
			if i := rapid.IntRange(0, len(engines)).Draw(t, "stream"); i < len(engines) {
				catchUp(i)
			}
		}
		for i := range engines {
			catchUp(i)
		}
		for _, e := range engines[1:] {
			require.Equal(t, engines[0].Backends(), e.Backends())
		}
		d.Report(incarnation(7, 1, false))
		first := catchUp(0)
		for i := range engines[1:] {
			require.Same(t, first, catchUp(i+1))
		}
	})
}

func TestDocumentIsEncodedOnceWithoutSource(t *testing.T) {
	f := newFeed(newDirectory())
	d := &catkinrail.Document{Version: 3, Source: []byte("as sent")}
	first, err := f.encodeDocument(d)
	require.NoError(t, err)
	again, err := f.encodeDocument(d)
	require.NoError(t, err)
	require.Same(t, &first[0], &again[0])
	require.Empty(t, decode(t, first).Document.Source)
	require.Equal(t, "as sent", string(d.Source))
	next, err := f.encodeDocument(&catkinrail.Document{Version: 4})
	require.NoError(t, err)
	require.Equal(t, uint64(4), decode(t, next).Document.Version)
}

// TestResume checks that a stream that resumes gets only what has changed since,
// unless the control instance's process has been restarted.
func TestResume(t *testing.T) {
	d := newDirectory()
	s := New(nil, d, clock.New(), logs.Discard())
	d.Report(incarnation(0, 1, false))
	d.Report(incarnation(1, 1, false))
	first, _, err := s.feed.next(0, 0)
	require.NoError(t, err)
	require.Len(t, decode(t, first.body).Backends, 2)
	d.Report(incarnation(1, 2, true))
	again, _, err := s.feed.next(s.resumeRevision(message.ResumePoint{Process: s.process, Revision: first.to}), 1)
	require.NoError(t, err)
	changed := decode(t, again.body).Backends
	require.Len(t, changed, 1)
	require.True(t, changed[0].Draining)
	require.Zero(t, s.resumeRevision(message.ResumePoint{Process: s.process + 1, Revision: first.to}))
	require.Zero(t, s.resumeRevision(message.ResumePoint{}))
}

// A stream waits for further changes only if the entry instance can serve meanwhile.
func TestAwaitedUpdates(t *testing.T) {
	tests := []struct {
		name     string
		document uint64
		current  bool
		want     bool
	}{
		{"a new entry instance", 0, true, true},
		{"after a restart of all control instances", 7, false, true},
		{"in service", 7, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			st := &stream{Follower: Follower{Document: tt.document}, current: tt.current}
			require.Equal(t, tt.want, st.awaited())
		})
	}
}
