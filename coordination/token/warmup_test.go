package token_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/token"
)

const warmupTime = 10 * time.Second

// limited returns the document with a warm-up limit of its service.
func limited(rate float64) *catkinrail.Document {
	d := document(2)
	d.Limits = map[string]catkinrail.ServiceLimits{"logbook": {WarmupTime: warmupTime, WarmupRate: rate}}
	return d
}

func coldBackend() token.FollowedBackend {
	b := backend("a", 1)
	b.Warmup = warmupTime
	return b
}

func loan(b token.FollowedBackend, flows int) []message.Loan {
	return []message.Loan{{Token: b.Token(), StartedAt: b.StartedAt, Flows: flows}}
}

// lend makes the engine, to which nothing was lent yet, ask for loans and apply a reply with
// the given ones at the given time.
func lend(t *testing.T, e *token.Engine, loans []message.Loan, at int64) {
	t.Helper()
	var r message.LoadReport
	// Flows that are refused for want of a loan make the engine ask for some.
	e.LoadReport(&r, at-500*ms)
	e.Decide(opening(60_000, 1), at-300*ms)
	e.LoadReport(&r, at-250*ms)
	e.Decide(opening(60_000, 1), at-10*ms)
	if !e.LoadReport(&r, at) {
		require.Empty(t, loans)
		return
	}
	e.ApplyLoad(&message.LoadReply{Sequence: r.Sequence, Whole: true, Loans: loans}, at)
}

// TestColdBackends guards against opening packets that reach a cold backend server without
// a loan, and against refusals while a warm one takes flows.
func TestColdBackends(t *testing.T) {
	cold, warm := coldBackend(), backend("b", 2)
	remote := backend("c", 3)
	remote.Zone = "z"
	tests := []struct {
		name     string
		backends []token.FollowedBackend
		loans    []message.Loan
		p        *catkinrail.TokenPacket
		at       int64
		action   token.Action
		reason   token.Reason
		backend  string
	}{
		{"without a loan it is refused", []token.FollowedBackend{cold}, nil, opening(1, 0), 0, token.Refuse, token.ReasonCold, ""},
		{"a copy without a loan is dropped", []token.FollowedBackend{cold}, nil, opening(1, 1), 0, token.Drop, token.ReasonCold, ""},
		{"with a loan it is placed", []token.FollowedBackend{cold}, loan(cold, 1), opening(1, 0), 0, token.Forward, token.ReasonPlaced, "a"},
		{"a loan ends", []token.FollowedBackend{cold}, loan(cold, 1), opening(1, 0), 200 * ms, token.Refuse, token.ReasonCold, ""},
		{"a warm one takes the flow", []token.FollowedBackend{cold, warm}, nil, opening(1, 0), 0, token.Forward, token.ReasonPlaced, "b"},
		{"one of another zone takes the flow", []token.FollowedBackend{cold, remote}, nil, opening(1, 0), 0, token.Forward, token.ReasonPlaced, "c"},
		{"once it is warm there is no limit", []token.FollowedBackend{cold}, nil, opening(1, 0), 10_000 * ms, token.Forward, token.ReasonPlaced, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(tt.backends...)
			e.SetDocument(limited(20))
			lend(t, e, tt.loans, 0)
			e.RecordContact(tt.at)
			v := e.Decide(tt.p, tt.at)
			require.Equal(t, tt.action, v.Action)
			require.Equal(t, tt.reason, v.Reason)
			if tt.backend != "" {
				require.Equal(t, tt.backend, v.Backend.Name)
			}
		})
	}
}

// TestCopiesToColdBackends guards against copies of opening packets that the limit doesn't
// count.
func TestCopiesToColdBackends(t *testing.T) {
	cold := coldBackend()
	e := newEngine(cold)
	e.SetDocument(limited(20))
	lend(t, e, loan(cold, 2), 0)
	require.Equal(t, token.ReasonPlaced, e.Decide(opening(1, 0), 0).Reason)
	require.Equal(t, token.ReasonCopy, e.Decide(opening(1, 1), 5*ms).Reason)
	v := e.Decide(opening(1, 2), 180*ms)
	require.Equal(t, token.Drop, v.Action)
	require.Equal(t, token.ReasonCold, v.Reason)
	// The flow is tracked all the same.
	require.Equal(t, token.ReasonToken, e.Decide(data(1, 1, 2, 100, 0), 190*ms).Reason)
}

// TestColdByDocument guards against the limit's being passed over because reports say
// nothing of the warm-up, and against cold backend servers at the start of a whole system.
func TestColdByDocument(t *testing.T) {
	at := int64(time.Hour)
	started := backend("b", 2)
	started.StartedAt = (at - int64(time.Second)) / ms
	tests := []struct {
		name   string
		others []token.FollowedBackend
		before bool
		start  int64
		cold   bool
	}{
		{"started with the whole system", nil, false, started.StartedAt, false},
		{"another one is much older", []token.FollowedBackend{backend("old", 3)}, false, started.StartedAt, true},
		{"flows were placed before", []token.FollowedBackend{backend("old", 3)}, true, started.StartedAt, true},
		{"started longer ago than the warm-up time", []token.FollowedBackend{backend("old", 3)}, true, started.StartedAt - 10_000, false},
		{"a start in the future", []token.FollowedBackend{backend("old", 3)}, true, started.StartedAt + 100_000, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngine(tt.others...)
			e.SetDocument(limited(20))
			if tt.before {
				e.Decide(opening(1, 0), at-5000*ms)
			}
			for i := range tt.others {
				tt.others[i].Gone = true
			}
			e.Update(append(tt.others, withStart(started, tt.start)), at)
			e.RecordContact(at)
			require.Equal(t, tt.cold, e.Decide(opening(2, 0), at).Reason == token.ReasonCold)
			require.NotEqual(t, token.ReasonCold, e.Decide(opening(4, 0), at+int64(warmupTime)+1).Reason)
		})
	}
}

func withStart(b token.FollowedBackend, startedAt int64) token.FollowedBackend {
	b.StartedAt = startedAt
	return b
}

// TestLastLoansAreForHigherPriority guards against requests of low priority that take the
// loans that those of a higher one need.
func TestLastLoansAreForHigherPriority(t *testing.T) {
	cold := coldBackend()
	e := newEngine(cold)
	d := limited(20)
	d.Routes[0].Priority = 2
	high := d.Routes[0]
	high.Priority = 1
	high.Listen = netipPort(listen, 444)
	d.Routes = append(d.Routes, high)
	e.SetDocument(d)
	now := int64(0)
	port := uint16(0)
	send := func(dst uint16) token.Reason {
		port++
		p := opening(port, 0)
		p.Flow.DstPort = dst
		return e.Decide(p, now).Reason
	}
	var report message.LoadReport
	for range 8 {
		now += 250 * ms
		e.RecordContact(now)
		e.LoadReport(&report, now)
		for range 4 {
			send(443)
		}
		send(444)
	}
	now += 250 * ms
	require.True(t, e.LoadReport(&report, now))
	require.Equal(t, map[string]int{"logbook": 5}, report.Wants)
	e.ApplyLoad(&message.LoadReply{Sequence: report.Sequence, Whole: true, Loans: loan(cold, 3)}, now)
	require.Equal(t, token.ReasonPlaced, send(443))
	require.Equal(t, token.ReasonPlaced, send(443))
	require.Equal(t, token.ReasonCold, send(443), "the last loan is kept")
	require.Equal(t, token.ReasonPlaced, send(444))
	require.Equal(t, token.ReasonCold, send(444))
}

// TestWithoutLimitDecisionsAreUnchanged guards against decisions that differ although the
// document has no warm-up limit: a document without limits and one whose limits are zero
// must give the same verdicts packet by packet.
func TestWithoutLimitDecisionsAreUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zero := document(2)
		zero.Limits = map[string]catkinrail.ServiceLimits{"logbook": {WarmupTime: warmupTime}}
		engines := [2]*token.Engine{newEngine(), newEngine()}
		engines[0].SetDocument(document(2))
		engines[1].SetDocument(zero)
		now := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 300).Draw(t, "gap") * ms
			id := rapid.Uint64Range(1, 4).Draw(t, "backend")
			port := rapid.Uint16Range(1, 6).Draw(t, "port")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				b := backend(string(rune('a'+id)), id)
				b.Sequence = uint64(now/ms) + 2
				b.StartedAt = 100 + rapid.Int64Range(0, 1).Draw(t, "start")*40_000
				b.Warmup = time.Duration(rapid.Int64Range(0, 3).Draw(t, "warmup")) * time.Second
				b.Draining = rapid.Bool().Draw(t, "draining")
				for _, e := range engines {
					e.Update([]token.FollowedBackend{b}, now)
					e.RecordContact(now)
				}
			case 1:
				for _, e := range engines {
					var r message.LoadReport
					require.False(t, e.LoadReport(&r, now))
				}
				engines[1].CheckClock(now, now+rapid.Int64Range(0, 1).Draw(t, "jump")*int64(time.Hour))
				engines[1].ApplyLoad(&message.LoadReply{Sequence: 1, Loans: []message.Loan{{Token: catkinrail.Token(id), StartedAt: 100, Flows: 1}}}, now)
			case 2:
				p := data(port, catkinrail.Token(id), uint32(now/ms)+2, uint32(now/ms), 10)
				requireSameVerdict(t, engines[0].Decide(p, now), engines[1].Decide(p, now))
			default:
				p := opening(port, rapid.Uint32Range(0, 2).Draw(t, "copy"))
				requireSameVerdict(t, engines[0].Decide(p, now), engines[1].Decide(p, now))
			}
		}
	})
}

func requireSameVerdict(t *rapid.T, a, b token.Verdict) {
	require.Equal(t, a.Action, b.Action)
	require.Equal(t, a.Reason, b.Reason)
	require.Equal(t, a.Class, b.Class)
	require.Equal(t, a.Backend == nil, b.Backend == nil)
	if a.Backend != nil {
		require.Equal(t, a.Backend.Name, b.Backend.Name)
	}
}

func netipPort(ap netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(ap.Addr(), port)
}

// TestPlacingWithLoansDoesNotAllocate guards the packet path of a service with a limit.
func TestPlacingWithLoansDoesNotAllocate(t *testing.T) {
	cold := coldBackend()
	e := newEngine(cold)
	e.SetDocument(limited(1000))
	lend(t, e, loan(cold, 1<<20), 0)
	p := opening(1, 0)
	e.Decide(p, 0)
	p.Copy = 1
	require.Zero(t, testing.AllocsPerRun(100, func() {
		require.Equal(t, token.Forward, e.Decide(p, 0).Action)
	}))
	missing := opening(2, 0)
	require.Zero(t, testing.AllocsPerRun(100, func() { e.Decide(missing, int64(time.Second)) }))
}

// TestAsksForLoansWithoutFlows guards against an instance that refuses all flows for want of
// a loan and, having no flows, never asks for one.
func TestAsksForLoansWithoutFlows(t *testing.T) {
	e := newEngine(coldBackend())
	e.SetDocument(limited(20))
	var r message.LoadReport
	e.LoadReport(&r, ms)
	require.Equal(t, token.ReasonCold, e.Decide(opening(1, 0), 100*ms).Reason)
	require.True(t, e.LoadReport(&r, 251*ms))
	require.Equal(t, map[string]int{"logbook": 1}, r.Wants)
	sequence := r.Sequence
	e.ApplyLoad(&message.LoadReply{Sequence: sequence, Loans: loan(coldBackend(), 2)}, 260*ms)
	require.Equal(t, token.ReasonPlaced, e.Decide(opening(2, 0), 270*ms).Reason)
	// What is left over is returned with the next report.
	require.True(t, e.LoadReport(&r, 501*ms))
	require.Equal(t, []message.LoanReturn{{Sequence: sequence, Token: 1, StartedAt: 100, Flows: 1, Idle: 231 * time.Millisecond}}, r.Returned)
	require.Equal(t, uint64(1), e.LoanStats().Used)
	// The reply to a report that wasn't sent by this process brings nothing.
	e.ApplyLoad(&message.LoadReply{Sequence: r.Sequence + 1, Loans: loan(coldBackend(), 2)}, 510*ms)
	require.Equal(t, token.ReasonCold, e.Decide(opening(3, 0), 510*ms).Reason)
}
