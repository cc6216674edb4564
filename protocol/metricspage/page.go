// Package metricspage serves a program's metrics, in the Prometheus text format, and
// its health and readiness over HTTP.
package metricspage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"catkinrail.example/catkinrail"
)

// Timeouts of the HTTP server.
const (
	headerTimeout   = 5 * time.Second
	shutdownTimeout = time.Second
)

// Handler serves /metrics, with names that start with prefix; /healthz, which replies
// with 200 while the process runs; and /readyz, which replies with 503 and the error
// while ready returns one.
func Handler(prefix string, reg metrics.Registry, ready func() error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		// ready must be called first, since it also updates the gauges in reg.
		up := 1
		if err := ready(); err != nil {
			up = 0
		}
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		fmt.Fprintf(w, "%s_ready %d\n", prefix, up)
		writeMetrics(w, prefix, reg)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	return mux
}

func writeMetrics(w io.Writer, prefix string, reg metrics.Registry) {
	var lines []string
	reg.Each(func(name string, v any) {
		base, labels, found := strings.Cut(name, "{")
		full := prefix + "_" + strings.ReplaceAll(base, "-", "_")
		if found {
			full += "{" + labels
		}
		switch m := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", full, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", full, m.Value()))
		case metrics.Histogram:
			lines = append(lines, summary(full, m.Snapshot())...)
		}
	})
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// Labeled returns the name of a counter or gauge with a label.
func Labeled(name, label, value string) string {
	return fmt.Sprintf("%s{%s=%q}", name, label, value)
}

// quantiles lists the quantiles in a histogram's lines.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// summary returns the lines of a histogram of durations, which are recorded in
// nanoseconds and shown in seconds.
func summary(name string, h metrics.Histogram) []string {
	lines := []string{
		fmt.Sprintf("%s_seconds_count %d", name, h.Count()),
		fmt.Sprintf("%s_seconds_max %g", name, time.Duration(h.Max()).Seconds()),
	}
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s_seconds{quantile=\"%g\"} %g", name, quantiles[i], time.Duration(v).Seconds()))
	}
	return lines
}

// sampleSize is the number of values that a histogram keeps, which take 8 KB.
const sampleSize = 1028

// sampleAlpha weights a histogram towards about the last five minutes, as go-metrics
// suggests.
const sampleAlpha = 0.015

// Histogram returns the histogram of durations, in nanoseconds, that is registered
// with reg under the name. It creates one if there is none.
func Histogram(name string, reg metrics.Registry) metrics.Histogram {
	return metrics.GetOrRegisterHistogram(name, reg, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// Serve serves Handler's pages at addr until ctx ends.
func Serve(ctx context.Context, addr, prefix string, reg metrics.Registry, ready func() error) error {
	return ServeHTTP(ctx, addr, Handler(prefix, reg, ready))
}

// ServeHTTP serves h at addr until ctx ends, and then returns nil. Requests in progress
// get up to shutdownTimeout to complete in the background.
func ServeHTTP(ctx context.Context, addr string, h http.Handler) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return catkinrail.At(err, "listen", addr)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := s.Shutdown(end); err != nil {
			s.Close()
		}
	})
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return catkinrail.At(err, "serve", addr)
	}
	return nil
}
