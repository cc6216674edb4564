package catkinrail_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
)

// TestSharesLoads guards against sharing where the configuration doesn't call for it.
func TestSharesLoads(t *testing.T) {
	to := func(weight int, service string) []catkinrail.Target {
		return []catkinrail.Target{{Service: service, Weight: weight}}
	}
	tests := []struct {
		name   string
		routes []catkinrail.Route
		want   bool
	}{
		{"no routes", nil, false},
		{"one priority", []catkinrail.Route{{Priority: 1, Targets: to(1, "s")}, {Priority: 1, Targets: to(1, "s")}}, false},
		{"priorities of different services", []catkinrail.Route{{Priority: 1, Targets: to(1, "s")}, {Priority: 2, Targets: to(1, "u")}}, false},
		{"priorities of one service", []catkinrail.Route{{Priority: 1, Targets: to(1, "s")}, {Priority: 2, Targets: to(1, "s")}}, true},
		{"a route without a share", []catkinrail.Route{{Priority: 1, Targets: to(1, "s")}, {Priority: 2, Targets: to(0, "s")}}, false},
		{"a latency target", []catkinrail.Route{{LatencyTarget: time.Second, Targets: to(1, "s")}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, (&catkinrail.Document{Routes: tt.routes}).SharesLoads())
		})
	}
}
