package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimit is a control machine's memory_mb, in kB.
	memoryLimit = 280 << 10
	// watchInterval is the time between two looks at a process's memory.
	watchInterval = 50 * time.Millisecond
	// maxEnds is how often processes may end by themselves on half of the core before the
	// day counts 0.
	maxEnds = 3
	// usualRoutes is the number of routes that the site begins with; bigConfig is the number
	// by which one big_config of the site grows the config, of which there are two.
	usualRoutes = 243
	bigConfig   = 1400
	// numChanges stays within "hundreds of changes" of a day.
	numChanges  = 700
	changeEvery = 95 * time.Millisecond
	dayLimit    = 100 * time.Second
)

// rss returns the memory in use by a process, in kB.
func rss(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(b, []byte("VmRSS:"))
	if fields := strings.Fields(string(rest[:min(len(rest), 64)])); len(fields) > 0 {
		n, _ := strconv.Atoi(fields[0])
		return n
	}
	return 0
}

// enforceMemory kills the process of a machine whenever it uses more than the limit, and
// starts it again after a short delay, until stop is closed. It returns how often it did.
func (w *world) enforceMemory(n *node, stop chan struct{}) (ends, peak int) {
	for {
		select {
		case <-stop:
			return ends, peak
		case <-time.After(watchInterval):
		}
		kb := rss(n.cmd.Process.Pid)
		peak = max(peak, kb)
		if kb <= memoryLimit {
			continue
		}
		ends++
		w.logf("%s uses %d kB, more than its limit of %d kB: end %d", n.name, kb, memoryLimit, ends)
		w.kill(n)
		time.Sleep(restartDelay)
		if err := w.start(n); err != nil {
			w.fail(err)
			return ends, peak
		}
	}
}

// largeConfig returns a config with the given number of routes, one of which differs from
// version to version.
func largeConfig(version, routes int) *config {
	c := newConfig(version, "safe")
	for i := len(c.Routes); i < routes; i++ {
		timeout := 2000
		if i == version%routes {
			timeout += version
		}
		c.Routes = append(c.Routes, map[string]any{
			"name": fmt.Sprintf("r-%05x", i*7919), "hostname": fmt.Sprintf("198.18.%d.%d", 1+i/100, 1+i%100), "path_prefix": fmt.Sprintf("/%d/", 1024+i),
			"kind": "safe", "timeout_ms": timeout, "target_latency_ms": 250, "priority": 1, "service": service, "max_attempts": 2,
		})
	}
	return c
}

// manyConfigs puts hundreds of versions of a config that has grown by many routes.
func manyConfigs(w *world) (bool, error) {
	cores, err := w.startControl(5)
	if err != nil {
		return false, err
	}
	if err := w.put(largeConfig(1, usualRoutes), 10*time.Second); err != nil {
		return false, err
	}
	w.first = false
	time.Sleep(contact + time.Second)
	stop := make(chan struct{})
	type result struct {
		name       string
		ends, peak int
	}
	results := make(chan result)
	for _, n := range cores {
		go func() {
			ends, peak := w.enforceMemory(n, stop)
			results <- result{n.name, ends, peak}
		}()
	}
	routes := usualRoutes
	if w.trouble {
		routes += 2 * bigConfig
	}
	acked := 0
	for v, next := 2, time.Now(); v <= numChanges && time.Since(w.began) < dayLimit; v++ {
		if err := w.put(largeConfig(v, routes), 10*time.Second); err == nil {
			acked++
		}
		next = next.Add(changeEvery)
		time.Sleep(time.Until(next))
	}
	close(stop)
	machines := 0
	for range cores {
		r := <-results
		w.logf("%s: ended %d times, peak %d kB", r.name, r.ends, r.peak)
		if r.ends >= maxEnds {
			machines++
		}
	}
	w.logf("%d changes of %d routes acknowledged; %d of %d control machines ended %d times or more", acked, routes, machines, len(cores), maxEnds)
	return 2*machines >= len(cores), nil
}
