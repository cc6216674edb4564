package fabric

import (
	"context"
	"net/netip"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/route"
	"catkinrail.example/catkinrail/protocol/relay"
	"catkinrail.example/catkinrail/transport/udp"
)

// tickInterval is the interval between calls of the engine's Tick.
const tickInterval = 50 * time.Millisecond

// RunTicks calls the engine's Tick every tickInterval and sends the resulting
// messages from its own socket, until ctx ends.
func RunTicks(ctx context.Context, e *route.Engine, clock NanoClock, key relay.Key, addr netip.Addr) error {
	conn, err := udp.Listen(ctx, netip.AddrPortFrom(addr, 0))
	if err != nil {
		return catkinrail.At(err, "open relay socket", "")
	}
	defer conn.Close()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, s := range e.Tick(clock.Nanos()) {
			conn.Queue(s.Addr, key.Append(nil, &s.Message, s.Payload))
		}
		conn.Flush()
	}
}
