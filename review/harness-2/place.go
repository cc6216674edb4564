package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// placeCase plays a control machine that is removed for good and replaced, a kill of the leader before
// the vote of the removed one is given to its successor, and the loss of one disk.
func placeCase(record string, trouble bool) (*world, verdict) {
	zones := []string{"malvern", "dovedale", "church-stretton", "ashby"}
	w, err := newWorld(record, zones, bounds{
		heartbeat: 1200 * time.Millisecond, contact: 4 * time.Second, drain: 3 * time.Second, configApply: 3 * time.Second,
		recovery: 12 * time.Second, grace: 6, addrReuse: 2, catchUp: 4, machines: 1,
	})
	if err != nil {
		return failed(w, err)
	}
	var cores []*node
	for _, z := range zones {
		cores = append(cores, w.addNode("core", z, 0, true))
		w.addNode("front", z, 1, true)
	}
	for _, n := range cores[:3] {
		w.seeds = append(w.seeds, n.ip)
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return failed(w, err)
		}
	}
	var mu sync.Mutex
	serving := append([]*node(nil), cores...)
	list := func() (addrs []string) {
		mu.Lock()
		defer mu.Unlock()
		for _, n := range serving {
			addrs = append(addrs, fmt.Sprintf("%s:%d", n.ip, w.control))
		}
		return addrs
	}
	op := newOperator(w, list)
	if !op.put(3, w.config(3, []string{"rota-desk"}), 15*time.Second) {
		return failed(w, fmt.Errorf("the first config is not acknowledged"))
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return failed(w, err)
	}
	time.Sleep(12 * time.Second)
	var successorAt time.Time
	if trouble {
		leader := awaitLeader(cores, 2*time.Second)
		gone := 3
		if cores[gone] == leader {
			gone = 2
		}
		removed := cores[gone]
		removed.kill()
		removed.wipe()
		w.log("%s is removed for good", removed.name)
		time.Sleep(500 * time.Millisecond)
		successor := w.addNode("core", removed.zone, 1, false)
		if err := successor.start(); err != nil {
			return failed(w, err)
		}
		successorAt = time.Now()
		mu.Lock()
		serving[gone] = successor
		mu.Unlock()
		time.Sleep(2100 * time.Millisecond)
		if leader = awaitLeader(serving, time.Second); leader == nil {
			return failed(w, fmt.Errorf("no leader after the removal of one of four"))
		}
		// SKIP=kill leaves the kill out, to show that it is needed.
		if os.Getenv("SKIP") != "kill" {
			leader.kill()
			time.Sleep(300 * time.Millisecond)
			if err := leader.start(); err != nil {
				return failed(w, err)
			}
		}
		time.Sleep(time.Until(successorAt.Add(time.Duration(w.bounds.catchUp)*time.Second + 200*time.Millisecond)))
	}
	if !op.put(8, w.config(8, []string{"rota-desk", "batch-archive"}), 10*time.Second) {
		return failed(w, fmt.Errorf("the second config is not acknowledged"))
	}
	if trouble {
		leader := awaitLeader(serving, time.Second)
		if leader == nil {
			return failed(w, fmt.Errorf("no leader after the acknowledgement"))
		}
		w.log("%.1f s after the successor's start", time.Since(successorAt).Seconds())
		leader.kill()
		leader.wipe()
		time.Sleep(600 * time.Millisecond)
		if err := leader.start(); err != nil {
			return failed(w, err)
		}
		w.log("all machines are back")
	}
	time.Sleep(w.bounds.recovery)
	newest, last := 0, ""
	until := time.Now().Add(w.bounds.contact + 10*time.Second)
	for newest != 8 && time.Now().Before(until) {
		for _, addr := range list() {
			v, detail := op.get(addr)
			w.log("read at %s: version %d, %s", addr, v, detail)
			newest, last = max(newest, v), detail
		}
		time.Sleep(500 * time.Millisecond)
	}
	if newest == 8 {
		return w, verdict{held, "CONFIG holds: the newest acknowledged config is read back"}
	}
	return w, verdict{broken, fmt.Sprintf("CONFIG is broken: config 8 was acknowledged; the newest read back is %d (last answer: %s), from %s after all machines were back on", newest, last, w.bounds.recovery)}
}

// awaitLeader returns the machine whose metrics say that it leads.
func awaitLeader(list []*node, limit time.Duration) *node {
	client := &http.Client{Timeout: 200 * time.Millisecond}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, n := range list {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", n.ip, n.w.internal+15))
			if err != nil {
				continue
			}
			b, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && strings.Contains(string(b), "catkinrail_control_leading 1\n") {
				n.w.log("%s leads", n.name)
				return n
			}
		}
	}
	return nil
}
