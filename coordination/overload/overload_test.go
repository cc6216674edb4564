package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/coordination/overload"
)

const ms = int64(time.Millisecond)

func TestGauge(t *testing.T) {
	type read struct {
		left bool
		at   int64
	}
	tests := []struct {
		name  string
		reads []read
		want  bool
	}{
		{"no queue", []read{{false, 0}, {false, 900 * ms}}, false},
		{"a queue for a moment", []read{{true, 1 * ms}, {true, 300 * ms}, {true, 400 * ms}}, false},
		{"a queue that stays", []read{{true, 1 * ms}, {true, 300 * ms}, {true, 600 * ms}}, true},
		{"a queue that is gone", []read{{true, 1 * ms}, {true, 600 * ms}, {false, 650 * ms}}, false},
		{"a queue that came back", []read{{true, 1 * ms}, {false, 400 * ms}, {true, 500 * ms}, {true, 700 * ms}}, false},
		{"what has gathered while the process stood still", []read{{false, 1 * ms}, {true, 4000 * ms}, {true, 4010 * ms}}, false},
		{"a standstill with a queue", []read{{true, 1 * ms}, {true, 4000 * ms}, {true, 4010 * ms}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g overload.Detector
			got := false
			for _, r := range tt.reads {
				got = g.ObserveRead(r.left, r.at)
			}
			require.Equal(t, tt.want, got)
		})
	}
}
