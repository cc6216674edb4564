package follow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/core"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/fake"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/journal"
	"catkinrail.example/catkinrail/transport/clock"
)

// startCore starts a control instance that is the only one.
func startCore(t *testing.T) *core.Core {
	t.Helper()
	j, stored, err := journal.Open(fake.NewDisk())
	require.NoError(t, err)
	self := quorum.Peer{Name: "control-1", Addr: "127.0.0.1:1", Features: quorum.AllFeatures}
	stored.Snapshot.Members = quorum.Members{Nodes: map[quorum.NodeID]quorum.Peer{1: self}}
	require.NoError(t, j.SaveSnapshot(&stored.Snapshot, nil))
	c, err := core.New(core.Config{
		ID: 1, Name: "control-1", Timing: quorum.DefaultTiming, Lease: time.Second, Clock: clock.New(), Log: logs.Discard(),
		Journal: j, Stored: stored, Send: func([]quorum.Message, *quorum.Members) {},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	c.Start(ctx, &g)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, g.Wait())
	})
	return c
}

// TestEvacuationsPrecedeState checks that an entry instance can't become ready before it has the
// evacuations in force: no update that says that the control instance is in contact with its
// leader comes before them, in new streams and in those that resume.
func TestEvacuationsPrecedeState(t *testing.T) {
	c := startCore(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	order := func(zone catkinrail.Zone) {
		for c.Evacuate(ctx, &plan.EvacuationOrder{Zone: zone, Evacuated: true, Since: 1 << 40}) != nil {
			require.NoError(t, ctx.Err())
		}
	}
	order("a")
	s := New(c, newDirectory(), clock.New(), logs.Discard())
	s.dir.Report(incarnation(1, 1, false))
	tests := []struct {
		name   string
		resume message.ResumePoint
		// next is evacuated once the entry instance is ready.
		next catkinrail.Zone
		want []catkinrail.Zone
	}{
		{"new stream", message.ResumePoint{}, "b", []catkinrail.Zone{"a"}},
		{"stream that resumes", message.ResumePoint{Process: s.process, Revision: s.dirRevision()}, "c", []catkinrail.Zone{"a", "b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, stop := context.WithCancel(ctx)
			defer stop()
			var zones []catkinrail.Zone
			ready := false
			err := s.Serve(ctx, &message.FollowRequest{Name: "entry-1", Zone: "a", Document: 9, Resume: tt.resume}, func(body []byte) error {
				u := decode(t, body)
				if u.Evacuations != nil {
					zones = u.Evacuations.Zones
				}
				switch {
				case u.Current && !ready:
					require.Equal(t, tt.want, zones)
					require.Equal(t, c.Published().Evacuations.Revision, s.Followers()[0].Evacuations)
					ready = true
					order(tt.next)
				case ready && u.Evacuations != nil:
					stop()
				}
				return nil
			})
			require.NoError(t, err)
			require.Equal(t, append(tt.want, tt.next), zones, "later orders follow")
		})
	}
}

// TestPeers guards against entry instances that follow a learner of their zone, which lends them nothing.
func TestPeers(t *testing.T) {
	list, passive := peers(&quorum.Members{
		Nodes: map[quorum.NodeID]quorum.Peer{1: {Name: "c1", Addr: "a:1"}, 2: {Name: "c2", Addr: "a:2"}}, Learners: map[quorum.NodeID]bool{1: true},
	})
	require.Len(t, list, 2)
	require.Equal(t, []string{"a:1"}, passive)
}

// TestLargeDocumentInParts guards against documents that don't arrive on slow links: no message may
// take long, changes of the directory come between the parts, and nothing says that the entry
// instance has everything before it has the document. Entry instances of older builds get it whole.
func TestLargeDocumentInParts(t *testing.T) {
	c := startCore(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d := &catkinrail.Document{Version: 7}
	for i := range 6000 {
		d.Routes = append(d.Routes, catkinrail.Route{Name: fmt.Sprintf("r-%x", xxh3.HashString(fmt.Sprint(i)))})
	}
	for c.PutDocument(ctx, d) != nil {
		require.NoError(t, ctx.Err())
	}
	tests := []struct {
		name  string
		parts bool
	}{{"parts", true}, {"an older entry instance", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := New(c, newDirectory(), clock.New(), logs.Discard())
			ctx, stop := context.WithCancel(ctx)
			defer stop()
			var body []byte
			var got *catkinrail.Document
			messages, between := 0, 0
			err := s.Serve(ctx, &message.FollowRequest{Name: "entry-1", Zone: "a", Parts: tt.parts}, func(b []byte) error {
				if tt.parts {
					require.Less(t, len(b), maxPart+100)
				}
				messages++
				u := decode(t, b)
				if len(u.Part) > 0 {
					require.Equal(t, message.DocumentPart, u.PartOf)
					if body = append(body, u.Part...); u.Last {
						u = decode(t, body)
					} else {
						s.dir.Report(incarnation(1, uint64(messages), messages%2 == 0))
					}
				}
				switch {
				case u.Document != nil:
					got = u.Document
				case len(u.Backends) > 0 && got == nil:
					between++
				case u.State && got == nil:
					require.False(t, u.Complete)
				case u.State:
					stop()
				}
				return nil
			})
			require.NoError(t, err)
			require.Equal(t, d.Routes, got.Routes)
			if tt.parts {
				require.Greater(t, between, 2)
			}
		})
	}
}

// dirRevision returns the revision of the directory.
func (s *Server) dirRevision() uint64 {
	_, at, _ := s.dir.Since(0)
	return at
}
