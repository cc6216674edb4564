package backend_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/entry/backend"
)

type manualClock struct {
	now time.Time
}

func (m *manualClock) Now() time.Time { return m.now }

func newRegistry() (*backend.Registry, *manualClock) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	return backend.New(clock, "kochi", func(name string) bool { return name == "logbook" }), clock
}

func post(r *backend.Registry, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body)))
	return w
}

const good = `{"service":"logbook","name":"host-1","slots":["127.0.0.1:6080"],"incarnation":5}`

func TestAnnouncements(t *testing.T) {
	tests := []struct {
		name, body string
		status     int
		text       string
	}{
		{"valid", good, http.StatusOK, `"ttl-seconds":10`},
		{"not JSON", "{", http.StatusBadRequest, "EOF"},
		{"unknown key", `{"servce":"logbook"}`, http.StatusBadRequest, "servce"},
		{"unknown service", strings.Replace(good, "logbook", "logbok", 1), http.StatusNotFound, "logbok"},
		{"no slots", strings.Replace(good, `"127.0.0.1:6080"`, "", 1), http.StatusBadRequest, `"field":"slots"`},
		{"bad slot", strings.Replace(good, "6080", "0", 1), http.StatusBadRequest, `"field":"slots[0]"`},
		{"another zone", strings.Replace(good, `"name"`, `"zone":"kollam","name"`, 1), http.StatusBadRequest, `"field":"zone"`},
		{"no incarnation", strings.Replace(good, ":5", ":0", 1), http.StatusBadRequest, `"field":"incarnation"`},
		{"too large", `{"service":"` + strings.Repeat("x", 1<<17) + `"}`, http.StatusBadRequest, "too large"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, _ := newRegistry()
			w := post(r, tt.body)
			require.Equal(t, tt.status, w.Code)
			require.Contains(t, w.Body.String(), tt.text)
		})
	}
}

func TestOldIncarnationIsRefused(t *testing.T) {
	r, _ := newRegistry()
	require.Equal(t, http.StatusOK, post(r, good).Code)
	w := post(r, strings.Replace(good, ":5", ":4", 1))
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.Contains(t, w.Body.String(), "incarnation")
}

func TestDelivery(t *testing.T) {
	r, clock := newRegistry()
	post(r, good)
	due := r.Due()
	require.Len(t, due, 1)
	require.Len(t, r.Due(), 1, "it stays due until it is delivered")
	r.MarkDelivered(due)
	require.Empty(t, r.Due())
	clock.now = clock.now.Add(time.Second)
	post(r, strings.Replace(good, "}", `,"draining":true}`, 1))
	require.Len(t, r.Due(), 1, "a change is due at once")
	clock.now = clock.now.Add(11 * time.Second)
	require.Empty(t, r.Due(), "an announcement expires after its TTL")
}
