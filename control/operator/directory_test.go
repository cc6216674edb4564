package operator

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/state/directory"
)

func TestDescribeReporting(t *testing.T) {
	tests := []struct {
		name string
		view directory.View
		want string
	}{
		{"reports", directory.View{}, "ready"},
		{"drains", directory.View{Incarnation: catkinrail.Incarnation{Draining: true}}, "draining"},
		{"drains and fell silent", directory.View{Incarnation: catkinrail.Incarnation{Draining: true}, Silent: true}, "silent"},
		{"has ended", directory.View{Incarnation: catkinrail.Incarnation{Gone: true}, Silent: true}, "gone"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			tt.view.Addr = netip.MustParseAddrPort("10.0.0.9:80")
			tt.view.LastReport = now.Add(-340 * time.Millisecond).UnixNano()
			got := describeReporting(&tt.view, now)
			require.Equal(t, tt.want, got.GetState())
			require.Equal(t, int64(340), got.GetAgeMs())
			require.Equal(t, "10.0.0.9:80", got.GetAddress())
		})
	}
}
