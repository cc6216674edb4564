package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Bounds of the users' pages.
const (
	heartbeat = 1200 * time.Millisecond
	contact   = 5 * time.Second
	catchUp   = 6 * time.Second
	recovery  = 15 * time.Second
	// callTimeout is the time after which a caller of control tries another machine.
	callTimeout = time.Second
)

// caller is the HTTP client of the operator and the hosts.
var caller = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func post(url string, body any) (int, []byte, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	resp, err := caller.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

// config is what the operator sends.
type config struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
}

// service is the name of the only service, whose route is at 198.18.0.1:8443.
const service = "logbook"

// newConfig returns a valid config with one route.
func newConfig(version int, kind string) *config {
	return &config{
		Version: version,
		Routes: []map[string]any{{
			"name": "r-1", "hostname": "198.18.0.1", "path_prefix": "/8443/", "kind": kind, "timeout_ms": 2000,
			"target_latency_ms": 250, "priority": 1, "service": service, "max_attempts": 2,
		}},
		Services: []map[string]any{{"name": service, "health_path": "/health", "max_flows": 3000, "protocol": "h1", "tls": false}},
		Limits:   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// controls returns the control machines that the operator knows, in random order.
func (w *world) controls() []*node {
	var list []*node
	for _, n := range w.nodes {
		if n.role == "control" {
			list = append(list, n)
		}
	}
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list
}

// put sends a config to one machine after the other until it is acknowledged.
func (w *world) put(c *config, limit time.Duration) error {
	w.logf("operator sends config %d", c.Version)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, n := range w.controls() {
			status, body, err := post("http://"+w.addr(n.ip, controlOffset)+"/Config.Put", c)
			if err != nil || status != http.StatusOK {
				w.logf("config %d at %s: status %d, %v %.80s", c.Version, n.name, status, err, body)
				continue
			}
			w.logf("config %d acknowledged by %s", c.Version, n.name)
			return nil
		}
	}
	return fmt.Errorf("config %d was not acknowledged within %s", c.Version, limit)
}

// read reads the config from one machine and returns its version, or 0 if there is no answer.
func (w *world) read(n *node) int {
	resp, err := caller.Get("http://" + w.addr(n.ip, controlOffset) + "/Config.Get")
	if err != nil {
		w.logf("config read at %s: %v", n.name, err)
		return 0
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		w.logf("config read at %s: status %d %.120s", n.name, resp.StatusCode, b)
		return 0
	}
	var c config
	if err := json.Unmarshal(b, &c); err != nil {
		w.logf("config read at %s: %v", n.name, err)
		return 0
	}
	w.logf("config read at %s: version %d", n.name, c.Version)
	return c.Version
}

// readBack reads the config at all control machines for the given time. It reports whether
// an answer was older than the acknowledged version, and whether there was an answer.
func (w *world) readBack(acked int, span time.Duration) (older, answered bool) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, n := range w.controls() {
			if n.down {
				continue
			}
			switch v := w.read(n); {
			case v == 0:
			case v < acked:
				older, answered = true, true
			default:
				answered = true
			}
		}
	}
	return older, answered
}
