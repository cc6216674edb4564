package token_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/token"
)

// inZone returns a backend server in a zone.
func inZone(zone catkinrail.Zone, name string, identity uint64) token.FollowedBackend {
	b := backend(name, identity)
	b.Zone = zone
	return b
}

func evacuations(revision uint64, zones ...catkinrail.Zone) *catkinrail.Evacuations {
	return &catkinrail.Evacuations{Revision: revision, Zones: zones}
}

// TestEvacuatedZoneGetsNoNewFlows covers the packets that could still open a flow in an
// evacuated zone, or lose one that is open there.
func TestEvacuatedZoneGetsNoNewFlows(t *testing.T) {
	a := inZone("a", "a", 1)
	only, both := []token.FollowedBackend{a}, []token.FollowedBackend{a, inZone("b", "b", 2)}
	inA, inBoth := []catkinrail.Zone{"a"}, []catkinrail.Zone{"a", "b"}
	tests := []struct {
		name string
		list []token.FollowedBackend
		// open is set if the caller completes the handshake of the first packet, which is
		// placed in zone a, before the evacuation.
		open   bool
		zones  []catkinrail.Zone
		p      *catkinrail.TokenPacket
		at     int64
		action token.Action
		reason token.Reason
		zone   catkinrail.Zone
	}{
		{"another flow goes to the other zone", both, false, inA, opening(2, 0), 5 * ms, token.Forward, token.ReasonPlaced, "b"},
		{"a copy of a first packet that went to the zone", both, false, inA, opening(1, 1), 200 * ms, token.Forward, token.ReasonNext, "b"},
		{"a copy that was queued here with the first packet", both, false, inA, opening(1, 1), 5 * ms, token.Forward, token.ReasonNext, "b"},
		{"a copy of an open flow's first packet", both, true, inA, opening(1, 1), 200 * ms, token.Forward, token.ReasonCopy, "a"},
		{"a copy without another backend server is dropped", only, false, inA, opening(1, 1), 200 * ms, token.Drop, token.ReasonEvacuated, ""},
		{"a packet of an open flow", both, true, inA, data(1, 1, 2, 100, 50), 200 * ms, token.Forward, token.ReasonToken, "a"},
		{"all zones are evacuated", both, false, inBoth, opening(2, 0), 5 * ms, token.Refuse, token.ReasonEvacuated, ""},
		{"all zones are evacuated, a copy", both, false, inBoth, opening(2, 1), 5 * ms, token.Drop, token.ReasonEvacuated, ""},
		{"all zones are evacuated as far as is known", both, false, inBoth, opening(2, 0), 2000 * ms, token.Drop, token.ReasonStale, ""},
		{"a zone without backend servers", both, false, []catkinrail.Zone{"c"}, opening(2, 0), 5 * ms, token.Forward, token.ReasonPlaced, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(tt.list...)
			require.Equal(t, catkinrail.Zone("a"), e.Decide(opening(1, 0), 0).Backend.Zone)
			if tt.open {
				e.Decide(data(1, 1, 2, 100, 0), 2*ms)
			}
			require.True(t, e.SetEvacuations(evacuations(7, tt.zones...)))
			v := e.Decide(tt.p, tt.at)
			require.Equal(t, tt.action.String(), v.Action.String())
			require.Equal(t, tt.reason.String(), v.Reason.String())
			if tt.zone != "" {
				require.Equal(t, tt.zone, v.Backend.Zone)
			}
		})
	}
}

// TestOpenFlowsByZone checks the number by which an operator sees that a zone is empty: pending
// handshakes and flows that have closed must not count.
func TestOpenFlowsByZone(t *testing.T) {
	e := newEngine(inZone("a", "a", 1), inZone("b", "b", 2))
	count := func() map[catkinrail.Zone]int {
		m := map[catkinrail.Zone]int{}
		e.OpenFlows(m)
		return m
	}
	require.Equal(t, catkinrail.Zone("a"), e.Decide(opening(1, 0), 0).Backend.Zone)
	require.Equal(t, map[catkinrail.Zone]int{"a": 0, "b": 0}, count())
	e.Decide(data(1, 1, 2, 100, 0), 2*ms)
	e.SetEvacuations(evacuations(7, "a"))
	e.Decide(opening(2, 0), 3*ms)
	e.Decide(data(2, 2, 3, 100, 0), 4*ms)
	require.Equal(t, map[catkinrail.Zone]int{"a": 1, "b": 1}, count())
	closing := data(1, 1, 2, 100, 0)
	closing.Closing = true
	e.Decide(closing, 5*ms)
	require.Equal(t, map[catkinrail.Zone]int{"a": 0, "b": 1}, count())
	e.Tick(int64(time.Minute))
	require.Equal(t, map[catkinrail.Zone]int{"a": 0, "b": 0}, count())
}

// TestNoOlderEvacuations moves an entry instance to a control instance that is behind: it must
// keep what it has, and follow a newer revision.
func TestNoOlderEvacuations(t *testing.T) {
	e := newEngine(inZone("a", "a", 1), inZone("b", "b", 2))
	require.True(t, e.SetEvacuations(evacuations(7, "a")))
	require.False(t, e.SetEvacuations(evacuations(5)))
	require.False(t, e.SetEvacuations(evacuations(7)))
	require.Equal(t, catkinrail.Zone("b"), e.Decide(opening(1, 0), 0).Backend.Zone)
	require.True(t, e.SetEvacuations(evacuations(8)))
	require.Equal(t, catkinrail.Zone("a"), e.Decide(opening(2, 0), 0).Backend.Zone, "the zone is back in use")
}

// TestNoOpeningPacketIntoEvacuatedZone checks, under any sequence of packets, backend servers
// and orders, that no opening packet goes to a zone while its evacuation is in force, except
// copies of a flow that is open there.
func TestNoOpeningPacketIntoEvacuatedZone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := newEngine(inZone("a", "a", 1))
		evacuated := map[catkinrail.Zone]bool{}
		opened := map[uint16]bool{}
		copies := map[uint16]uint32{}
		now, revision := int64(0), uint64(0)
		zone := rapid.SampledFrom([]catkinrail.Zone{"a", "b", "c"})
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += rapid.Int64Range(0, 300*ms).Draw(rt, "wait")
			port := rapid.Uint16Range(1, 4).Draw(rt, "port")
			switch rapid.SampledFrom([]string{"order", "backend", "open", "open", "answer", "tick"}).Draw(rt, "step") {
			case "order":
				z := zone.Draw(rt, "zone")
				evacuated[z] = !evacuated[z]
				revision++
				ev := evacuations(revision)
				for z, on := range evacuated {
					if on {
						ev.Zones = append(ev.Zones, z)
					}
				}
				e.SetEvacuations(ev)
			case "backend":
				z := zone.Draw(rt, "zone")
				b := inZone(z, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "name"), rapid.Uint64Range(1, 3).Draw(rt, "identity"))
				b.StartedAt = 100 + now
				e.Update([]token.FollowedBackend{b}, now)
				e.RecordContact(now)
			case "open":
				v := e.Decide(opening(port, copies[port]), now)
				copies[port]++
				if v.Action == token.Forward && evacuated[v.Backend.Zone] {
					require.True(rt, opened[port], "opening packet into zone %s", v.Backend.Zone)
				}
			case "answer":
				v := e.Decide(data(port, catkinrail.Token(rapid.Uint64Range(1, 3).Draw(rt, "token")), 2, 100, 0), now)
				opened[port] = opened[port] || v.Action == token.Forward
			case "tick":
				now += int64(time.Second)
				e.Tick(now)
			}
		}
	})
}
