package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/coordination/overload"
)

const ms = int64(time.Millisecond)

func TestDetector(t *testing.T) {
	type read struct {
		queued bool
		at     int64
	}
	tests := []struct {
		name  string
		reads []read
		want  bool
	}{
		{"no queue", []read{{false, 0}, {false, 900 * ms}}, false},
		{"short queue", []read{{true, 1 * ms}, {true, 300 * ms}, {true, 400 * ms}}, false},
		{"lasting queue", []read{{true, 1 * ms}, {true, 300 * ms}, {true, 600 * ms}}, true},
		{"queue drained", []read{{true, 1 * ms}, {true, 600 * ms}, {false, 650 * ms}}, false},
		{"queue drained and back", []read{{true, 1 * ms}, {false, 400 * ms}, {true, 500 * ms}, {true, 700 * ms}}, false},
		{"queue after a stall", []read{{false, 1 * ms}, {true, 4000 * ms}, {true, 4010 * ms}}, false},
		{"queue before and after a stall", []read{{true, 1 * ms}, {true, 4000 * ms}, {true, 4010 * ms}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var d overload.Detector
			got := false
			for _, r := range tt.reads {
				got = d.ObserveRead(r.queued, r.at)
			}
			require.Equal(t, tt.want, got)
		})
	}
}
