package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator puts and reads configurations at the machines that serve control.
type operator struct {
	w      *world
	client *http.Client
	// list returns the addresses of the machines that it picks from.
	list func() []string
	next int
}

func newOperator(w *world, list func() []string) *operator {
	return &operator{w: w, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, list: list}
}

// config returns a valid configuration with routes to the services, each at a port of its own.
func (w *world) config(version int, services []string) []byte {
	var routes, list []map[string]any
	for i, s := range services {
		routes = append(routes, map[string]any{
			"name": "r-" + s, "hostname": w.routeIP(), "path_prefix": fmt.Sprintf("/%d/", 8400+i), "kind": "safe", "timeout_ms": 2500,
			"target_latency_ms": 150, "priority": 1, "service": s, "max_attempts": 2,
		})
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_flows": 4222, "protocol": "h1", "tls": false})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return b
}

// routeIP is the address in the routes' host names; no socket is bound to it.
func (w *world) routeIP() string { return fmt.Sprintf("127.%d.250.1", w.octet) }

// put sends the configuration to one machine after the other until it is acknowledged.
func (o *operator) put(version int, body []byte, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	pause := 100 * time.Millisecond
	for time.Now().Before(deadline) {
		list := o.list()
		addr := list[o.next%len(list)]
		status, _, err := o.call(http.MethodPost, addr, "/Config.Put", body)
		if status == http.StatusOK {
			o.w.log("config %d acknowledged by %s", version, addr)
			return true
		}
		o.w.log("config %d not acknowledged by %s: status %d, %v", version, addr, status, err)
		o.next++
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return false
}

// get reads the configuration at one machine. The version is 0 if it doesn't answer with one.
func (o *operator) get(addr string) (version int, detail string) {
	status, body, err := o.call(http.MethodGet, addr, "/Config.Get", nil)
	if err != nil {
		return 0, err.Error()
	}
	var d struct {
		Version int `json:"version"`
	}
	if status != http.StatusOK {
		return 0, fmt.Sprintf("status %d", status)
	}
	if err := json.Unmarshal(body, &d); err != nil {
		return 0, err.Error()
	}
	return d.Version, "status 200"
}

func (o *operator) call(method, addr, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}
