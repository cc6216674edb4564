package explain_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/ctl/explain"
	"catkinrail.example/catkinrail/ctl/logfile"
)

const log = `
  1.0 front-1 {"level":"info","instance":"front-1","version":7,"control":"10.0.0.1:7720","time":"2026-01-01T00:00:01Z","message":"document in force"}
{"instance":"core-1","backend":"i-1","draining":true,"time":"2026-01-01T00:00:02Z","message":"backend server changed"}
{"instance":"core-1","backend":"i-2","draining":true,"time":"2026-01-01T00:00:02Z","message":"backend server changed"}
{"instance":"front-1","flow":"100.64.0.7:40001>198.18.0.1:443/6","action":"forward","reason":"placed","backend":"i-1","document":7,"time":"2026-01-01T00:00:03Z","message":"flow"}
{"instance":"front-2","flow":"100.64.0.7:40002>198.18.0.1:443/6","action":"forward","reason":"placed","backend":"i-1","time":"2026-01-01T00:00:03Z","message":"flow"}
not a line
{"program":"catkinrail-entry","instance":"front-9","backend":"i-1","gone":true,"time":"2026-01-01T00:00:03Z","message":"backend server changed"}
{"cut
{"instance":"core-1","backends":["i-3","i-1"],"time":"2026-01-01T00:00:04Z","message":"backend servers silent"}
{"instance":"core-1","backend":"i-1","gone":true,"time":"2026-01-01T00:05:00Z","message":"backend server changed"}
`

func TestExplain(t *testing.T) {
	lines, err := logfile.Read(strings.NewReader(log))
	require.NoError(t, err)
	require.Len(t, lines, 8)
	tests := []struct {
		name, caller string
		want         []string
		err          error
	}{
		{"one instance", "100.64.0.7:40001", []string{"document in force", "backend server changed", "flow", "backend servers silent"}, nil},
		{"another instance", "100.64.0.7:40002", []string{"backend server changed", "flow", "backend servers silent"}, nil},
		{"prefix of a port", "100.64.0.7:4000", nil, explain.ErrNoFlow},
		{"unknown caller", "100.64.0.8:1", nil, explain.ErrNoFlow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			found, err := explain.Explain(lines, tt.caller, 10*time.Second)
			require.ErrorIs(t, err, tt.err)
			var got []string
			for _, l := range found {
				got = append(got, l.Message)
			}
			require.Equal(t, tt.want, got)
		})
	}
	found, err := explain.Explain(lines, "100.64.0.7:40001", time.Second)
	require.NoError(t, err)
	require.Equal(t, "backend=i-1 draining=true", found[0].Text)
}
