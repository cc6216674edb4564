package metricspage_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/protocol/metricspage"
)

func TestHistogramLines(t *testing.T) {
	reg := metrics.NewRegistry()
	h := metricspage.Histogram("answer", reg)
	for i := range 100 {
		h.Update(int64(time.Duration(i+1) * time.Millisecond))
	}
	w := httptest.NewRecorder()
	metricspage.Handler("entry", reg, func() error { return nil }).
		ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	for _, line := range []string{
		"entry_answer_seconds_count 100", "entry_answer_seconds_max 0.1", `entry_answer_seconds{quantile="0.5"} 0.0505`,
	} {
		require.Contains(t, w.Body.String(), line+"\n")
	}
}

// TestLabels checks that the value of a label isn't changed as the name is.
func TestLabels(t *testing.T) {
	reg := metrics.NewRegistry()
	metrics.GetOrRegisterGauge(metricspage.Labeled("flows-open", "zone", "carreras-1"), reg).Update(3)
	w := httptest.NewRecorder()
	metricspage.Handler("entry", reg, func() error { return nil }).
		ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	require.Contains(t, w.Body.String(), "entry_flows_open{zone=\"carreras-1\"} 3\n")
}
