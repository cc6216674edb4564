package report_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/ctl/logfile"
	"catkinrail.example/catkinrail/ctl/report"
)

const log = `
{"program":"catkinrail-entry","instance":"front-1","flow":"100.64.0.7:1>198.18.0.1:443/6","action":"forward","reason":"placed","time":"2026-01-01T00:00:01.1Z","message":"flow"}
{"program":"catkinrail-entry","instance":"front-1","flow":"100.64.0.7:1>198.18.0.1:443/6","action":"forward","reason":"next","copy":1,"time":"2026-01-01T00:00:01.3Z","message":"flow"}
{"program":"catkinrail-entry","instance":"front-1","flow":"100.64.0.7:1>198.18.0.1:443/6","action":"forward","reason":"copy","copy":2,"time":"2026-01-01T00:00:01.7Z","message":"flow"}
{"program":"catkinrail-control","instance":"core-1","backends":["i-1"],"time":"2026-01-01T00:00:01.9Z","message":"backend servers silent"}
{"program":"catkinrail-entry","instance":"front-2","flow":"100.64.0.7:2>198.18.0.1:443/6","action":"forward","reason":"placed","time":"2026-01-01T00:00:02Z","skipped":7,"message":"flow"}
{"program":"catkinrail-entry","instance":"front-2","flow":"100.64.0.7:3>198.18.0.9:443/6","action":"refuse","reason":"no-backend","time":"2026-01-01T00:00:03Z","message":"flow"}
{"program":"catkinrail-entry","instance":"front-2","flow":"100.64.0.7:4>198.18.0.1:443/6","action":"refuse","reason":"no-backend","time":"2026-01-01T00:00:03Z","message":"flow"}
{"program":"catkinrail-entry","instance":"front-2","flow":"100.64.0.7:5>198.18.0.1:443/6","action":"drop","reason":"unknown-token","time":"2026-01-01T00:00:03Z","message":"flow"}
{"program":"catkinrail-entry","instance":"front-2","flow":"100.64.0.7:6>198.18.0.9:443/6","action":"refuse","reason":"no-route","time":"2026-01-01T00:00:04Z","message":"flow"}
`

func TestReport(t *testing.T) {
	lines, err := logfile.Read(strings.NewReader(log))
	require.NoError(t, err)
	r := report.New(lines, report.Objective{Refused: 1000, Repeated: 250000})
	require.Equal(t, report.Counts{
		Flows: 4, Repeated: 1, Refused: 2, NoRoute: 1, Dropped: 1, Skipped: 7,
		Reasons: map[string]uint64{"no-backend": 2, "unknown-token": 1},
	}, r.Total)
	require.InDelta(t, 500.0, r.RefusedBurn, 1e-9, "half of the flows, where one in a thousand is allowed")
	require.InDelta(t, 1.0, r.RepeatedBurn, 1e-9)
	require.Len(t, r.Seconds, 4)
	require.Equal(t, "backend servers silent", r.Seconds[0].Events[0].Message)
	worst := r.Worst(5)
	require.Len(t, worst, 2, "a second without bad flows or packets is not listed")
	require.Equal(t, time.Date(2026, 1, 1, 0, 0, 3, 0, time.UTC), worst[0].Time)
	require.Equal(t, "no-backend, unknown-token", worst[0].ReasonText())
}

func TestEmptyReport(t *testing.T) {
	r := report.New(nil, report.Objective{Refused: 1000})
	require.Zero(t, r.RefusedBurn)
	require.Empty(t, r.Worst(5))
}
