package egress_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/egress"
)

const ms = int64(time.Millisecond)

func packet(port uint16, seq uint32, c egress.Class, size int) *egress.Packet {
	return &egress.Packet{Flow: catkinrail.FlowKey{SrcPort: port}, Seq: seq, Class: c, Data: make([]byte, size)}
}

// A link whose rate is absent or makes no sense, also after a reload, holds nothing back.
func TestUnlimitedLink(t *testing.T) {
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		q := egress.New()
		q.SetLink(1.4e6)
		for q.Admit(1200, 0) {
			continue
		}
		require.Equal(t, egress.Queued, q.Push(packet(1, 1, egress.ClassBulk, 1200), 0))
		q.SetLink(rate)
		_, _, ok := q.Pop(0)
		require.True(t, ok, "%v", rate)
		for range 1000 {
			require.True(t, q.Admit(1200, 0), "%v", rate)
		}
	}
}

// A burst on a link of 700 Mbit/s leaves at once.
func TestFastLinkHoldsNothingBack(t *testing.T) {
	q := egress.New()
	q.SetLink(700e6)
	for range 256 {
		require.True(t, q.Admit(1247, 0))
	}
}

func TestOrder(t *testing.T) {
	q := egress.New()
	q.SetLink(1.4e6)
	for q.Admit(1200, 0) {
		continue
	}
	for seq := range uint32(3) {
		q.Push(packet(1, seq, egress.ClassBulk, 1200), 0)
	}
	q.Push(packet(2, 10, egress.ClassBulk, 1200), 0)
	q.Push(packet(3, 20, egress.ClassOpening, 40), 0)
	q.Push(packet(4, 30, egress.ClassShort, 300), 0)
	var got []uint32
	for now := int64(0); !q.Empty(); now += ms {
		if p, _, ok := q.Pop(now); ok {
			got = append(got, p.Seq)
		}
		q.Release()
	}
	require.Equal(t, []uint32{30, 20, 0, 1, 2, 10}, got)
}

// A very long body doesn't hold up the others until its end.
func TestLongBodiesTakeTurns(t *testing.T) {
	q := egress.New()
	q.SetLink(1.4e6)
	for q.Admit(1200, 0) {
		continue
	}
	for seq := range uint32(100) {
		q.Push(packet(1, seq, egress.ClassBulk, 1200), 0)
	}
	q.Push(packet(2, 1000, egress.ClassBulk, 1200), 0)
	sent := 0
	for now := int64(0); !q.Empty(); now += ms {
		p, _, ok := q.Pop(now)
		if ok && p.Seq == 1000 {
			break
		}
		if ok {
			sent++
		}
		q.Release()
	}
	require.Equal(t, 55, sent)
}

func TestRetransmissionOfWaitingPacketIsDropped(t *testing.T) {
	q := egress.New()
	q.SetLink(1.4e6)
	for q.Admit(1200, 0) {
		continue
	}
	require.Equal(t, egress.Queued, q.Push(packet(1, 7, egress.ClassBulk, 1200), 0))
	require.Equal(t, egress.Duplicate, q.Push(packet(1, 7, egress.ClassBulk, 1200), 200*ms))
	require.Equal(t, egress.Queued, q.Push(packet(1, 8, egress.ClassBulk, 1200), 200*ms))
	require.Equal(t, egress.Queued, q.Push(packet(2, 7, egress.ClassBulk, 1200), 200*ms))
}

// When too much waits, the longest body gives way, also to packets of other bodies.
func TestFullQueueDropsFromLongestBody(t *testing.T) {
	q := egress.New()
	q.SetLink(1.4e6)
	for q.Admit(1200, 0) {
		continue
	}
	seq := uint32(0)
	for q.Push(packet(1, seq, egress.ClassBulk, 1200), 0) == egress.Queued {
		seq++
	}
	require.Equal(t, uint64(1), q.Drops(egress.ClassBulk))
	require.Equal(t, egress.Queued, q.Push(packet(2, 0, egress.ClassBulk, 1200), 0))
	require.Equal(t, egress.Queued, q.Push(packet(3, 0, egress.ClassShort, 300), 0))
	require.Equal(t, egress.Queued, q.Push(packet(4, 0, egress.ClassOpening, 40), 0))
	require.Zero(t, q.Drops(egress.ClassShort)+q.Drops(egress.ClassOpening))
}

// What leaves never exceeds the rate of the link by more than a burst, waiting bytes stay
// bounded, and every packet is sent once, dropped, or waits.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mbps := rapid.Float64Range(0.2, 20).Draw(t, "mbps")
		q := egress.New()
		q.SetLink(mbps * 1e6)
		now, sentBytes, offered, sent, duplicates := int64(0), 0, 0, 0, 0
		most := int(mbps*1e6/8*2) + 64<<10
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 20_000).Draw(t, "us")) * 1000
			for range rapid.IntRange(0, 24).Draw(t, "packets") {
				c := egress.Class(rapid.IntRange(0, 2).Draw(t, "class"))
				p := packet(uint16(rapid.IntRange(1, 5).Draw(t, "flow")), uint32(rapid.IntRange(0, 50).Draw(t, "seq")), c, rapid.IntRange(31, 1247).Draw(t, "size"))
				offered++
				if q.Admit(len(p.Data), now) {
					sent++
					sentBytes += len(p.Data)
				} else if q.Push(p, now) == egress.Duplicate {
					duplicates++
				}
			}
			for {
				p, _, ok := q.Pop(now)
				if !ok {
					break
				}
				sent++
				sentBytes += len(p.Data)
			}
			q.Release()
			require.LessOrEqual(t, q.Bytes(), most)
			require.LessOrEqual(t, float64(sentBytes), mbps*1e6/8*(float64(now)/1e9+0.008)+1247)
		}
		drops := q.Drops(egress.ClassShort) + q.Drops(egress.ClassOpening) + q.Drops(egress.ClassBulk)
		if q.Empty() {
			require.Equal(t, offered, sent+duplicates+int(drops))
		}
	})
}

// The queue allocates nothing once its buffers have grown.
func TestQueueDoesNotAllocate(t *testing.T) {
	q := egress.New()
	q.SetLink(1.4e6)
	now := int64(0)
	p := packet(1, 0, egress.ClassBulk, 1247)
	round := func() {
		for i := range uint32(16) {
			p.Seq = i
			if !q.Admit(len(p.Data), now) {
				q.Push(p, now)
			}
		}
		now += 200 * ms
		for {
			if _, _, ok := q.Pop(now); !ok {
				break
			}
			now += 8 * ms
		}
		q.Release()
	}
	round()
	require.Zero(t, testing.AllocsPerRun(100, round))
}
