package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/control/gossip"
	"catkinrail.example/catkinrail/control/voter"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/settings"
)

// TestJoinLog guards against an instance that can't join and doesn't say so, or says so all the
// time.
func TestJoinLog(t *testing.T) {
	var out bytes.Buffer
	l := &joinLog{log: logs.New(&out, logs.Settings{Level: "info"}, "test", "test")}
	var asked contacts
	asked.next(nil, []string{"a", "b", "c", "d", "e"})
	asked.record("a", "", catkinrail.At(fmt.Errorf("dial: %w", syscall.ECONNREFUSED), "join", "a"))
	asked.record("b", "", nil)
	asked.record("c", "d", nil)
	before, after := []string{"a"}, []string{"a", "b"}
	tests := []struct {
		second int
		role   string
		seeds  []string
		// want is the level of the line, empty for none.
		want   string
		waited float64
	}{
		{0, "", before, "", 0},
		{4, "", before, "", 0},
		{5, "", before, "warn", 5000},
		{14, "", after, "", 0},
		{15, "", after, "warn", 15000},
		{16, "learner", after, "info", 16000},
		{17, "learner", after, "", 0},
		{18, "voter", after, "info", 1000},
		{19, "voter", after, "", 0},
		{22, "", after, "", 0},
		{23, "voter", after, "", 0},
		{28, "", after, "warn", 5000},
		{29, "voter", after, "info", 6000},
	}
	for _, tt := range tests {
		out.Reset()
		l.update(time.Unix(int64(1000+tt.second), 0), tt.role, tt.seeds, &asked)
		if tt.want == "" {
			require.Empty(t, out.String(), "second %d", tt.second)
			continue
		}
		var line map[string]any
		require.NoError(t, json.Unmarshal(out.Bytes(), &line), "second %d", tt.second)
		require.Equal(t, tt.want, line["level"])
		require.InDelta(t, tt.waited, line["waited-ms"], 0)
		if tt.want == "warn" {
			require.Equal(t, tt.second == 15, line["seeds-changed"], "second %d", tt.second)
			require.Equal(t, []any{
				"a: connection refused", "b: knows no leader", "c: names leader d", "d: not answered yet", "e: not asked yet",
			}, line["asked"])
		}
	}
}

// TestChangedSeedsAreUsed guards against an instance that asks only the seeds that it was started
// with although its settings file has been replaced.
func TestChangedSeedsAreUsed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	p := &fakePeer{gossip: make(chan struct{}, 1)}
	seed, err := netip.ParseAddrPort(listen(ctx, t, &g, p))
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "node.yaml")
	write := func(seedIP string) []byte {
		text := fmt.Appendf(nil, "node_name: n\nzone: z\nip: 127.0.0.3\nlisten:\n  control: 127.0.0.3:80\n"+
			"internal_ports: [%d, %d]\nseeds: [\"%s:80\"]\ndata_dir: /nowhere\n", seed.Port(), seed.Port(), seedIP)
		require.NoError(t, os.WriteFile(file+".new", text, 0o600))
		require.NoError(t, os.Rename(file+".new", file))
		return text
	}
	content := write("127.0.0.2")
	d, c := newJoining(t, nil)
	require.NoError(t, d.reload(file, content))
	g.Go(func() error {
		settings.Watch(ctx, file, content, make(chan os.Signal), d.log, func(b []byte) error { return d.reload(file, b) })
		return nil
	})
	dir := gossip.New(gossip.Config{
		Self: quorum.Peer{Addr: d.cfg.Address}, Clock: d.clock, Log: d.log, Group: &g, Seeds: d.seeds, SilentAfter: time.Second,
		Document: func() *catkinrail.Document { return nil }, Members: func() *quorum.Members { return &quorum.Members{} },
	})
	dir.Start(ctx)
	v := voter.New(ctx, &g, nil, d.cfg.Address, d.log, d.clock)
	request := func() joinOutcome { return d.requestJoin(ctx, c, v, &message.JoinRequest{Node: 9}, 1) }
	require.Equal(t, joinFailed, request())
	write(seed.Addr().String())
	<-p.gossip
	require.Equal(t, joinDone, request())
	cancel()
	require.NoError(t, g.Wait())
}
