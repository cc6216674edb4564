package token_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/token"
)

// TestNothingRefusedOnAssumedWork guards against an instance that, right after its start, refuses
// flows for want of room although a backend server would answer in time: three requests that once
// took long filled a server of one slot, whose work was assumed and not learned.
func TestNothingRefusedOnAssumedWork(t *testing.T) {
	for _, tt := range []struct {
		name string
		// earlier is the number of requests that were answered before, after took.
		earlier int
		took    int64
		reason  token.Reason
	}{
		{"right after the start", 0, 0, token.ReasonPlaced},
		{"after too few requests", 10, 30 * ms, token.ReasonPlaced},
		{"short work", 30, ms, token.ReasonPlaced},
		{"work that fills the server", 30, 30 * ms, token.ReasonRoom},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list := inZones(1, "a", "b")
			list[0].Slots, list[1].Slots = 1, 1
			e := newEngine(list...)
			d := byWork()
			d.Routes[0].LatencyTarget = 150 * time.Millisecond
			e.SetDocument(d)
			e.RecordContact(0)
			now, port := ms, uint16(0)
			request := func() {
				port++
				b := e.Decide(opening(port, 0), now).Backend
				require.Equal(t, list[0].Identity, b.Identity)
				e.Decide(data(port, b.Token(), uint32(port)+1, 100, 0), now+ms)
				e.Decide(data(port, b.Token(), uint32(port)+1, 100, 90), now+ms)
			}
			for range tt.earlier {
				request()
				now += ms + ms/10 + tt.took
				p := data(port, catkinrail.Token(list[0].Identity), uint32(port)+91, 1100, 0)
				p.Closing = true
				e.Decide(p, now)
			}
			// The earlier answers no longer count in the latency.
			now += 6000 * ms
			e.RecordContact(now)
			// The callers' process stands still: three requests have no answer for 90 ms.
			for range 3 {
				request()
			}
			now += 90 * ms
			shareLoads(t, e, nil, []message.ZoneLoad{{Zone: "b", Service: "logbook", Slots: 1, Pending: 1, Latency: time.Second}}, now)
			require.Equal(t, tt.reason, e.Decide(opening(port+1, 0), now+5*ms).Reason)
			// The next view doesn't change what is told of the refusal.
			shareLoads(t, e, []message.ServerLoad{{Server: message.NewServerKey(1, 100), Pending: 9, Flows: 9}}, nil, now+250*ms)
			crowding := e.TakeCrowding(nil)
			require.Equal(t, tt.reason == token.ReasonRoom, len(crowding) == 1)
			for _, c := range crowding {
				require.Equal(t, 1, c.Refused)
				require.Equal(t, 3, c.Zone.Pending)
			}
		})
	}
}
