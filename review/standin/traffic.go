package main

import (
	"fmt"
	"sync"
	"time"
)

// startTraffic starts a control machine, an entry machine and a host in each of four zones,
// puts the first config and waits until all machines are in touch.
func (w *world) startTraffic(kind string) (entries []*node, hosts []*host, err error) {
	if _, err := w.startControl(4); err != nil {
		return nil, nil, err
	}
	for i := 1; i <= 4; i++ {
		n := w.add(fmt.Sprintf("front-%d", i), "entry", i, 10)
		entries = append(entries, n)
		if err := w.start(n); err != nil {
			return nil, nil, err
		}
	}
	for i := 1; i <= 4; i++ {
		h, err := w.startHost(i, 150)
		if err != nil {
			return nil, nil, err
		}
		hosts = append(hosts, h)
	}
	if err := w.put(newConfig(1, kind), 10*time.Second); err != nil {
		return nil, nil, err
	}
	w.first = false
	time.Sleep(8 * time.Second)
	return entries, hosts, nil
}

// foreignReport sends one status report of another writer, for a service that isn't named,
// while clients hold open flows.
func foreignReport(w *world) (bool, error) {
	entries, hosts, err := w.startTraffic("unsafe")
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	r := w.startRouter(entries, stop)
	time.Sleep(600 * time.Millisecond)
	c, err := w.startClient(r, 1, 200)
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	reset := 0
	for i := range 24 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f := c.open()
			if f == nil {
				w.logf("flow %d did not open", i)
				return
			}
			for n := 0; ; n++ {
				select {
				case <-stop:
					f.close()
					return
				case <-time.After(250 * time.Millisecond):
				}
				id := fmt.Sprintf("%s-%d-%d", requestID(), i, n)
				w.logf("client sends %s on flow %s", id, f.p.src)
				if f.request(id, 2*time.Second) {
					continue
				}
				if f.closed && f.system {
					w.logf("open flow %s: the system resets it during request %s", f.p.src, id)
					mu.Lock()
					reset++
					mu.Unlock()
				} else {
					w.logf("open flow %s: no answer to request %s", f.p.src, id)
				}
				return
			}
		}()
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		for _, n := range w.controls()[:1] {
			// The service isn't named in the config, and version and warmup_left_ms are missing.
			body := map[string]any{
				"service": "node-agent", "address": hosts[0].addr(), "zone": hosts[0].zone, "slots": 1, "state": "ready",
				"sequence": 1, "born": time.Now().UnixMilli(),
			}
			status, _, err := post("http://"+w.addr(n.ip, controlOffset)+"/Instances.Heartbeat/a-00000017", body)
			w.logf("another writer reports service node-agent at %s to %s: status %d, %v", hosts[0].addr(), n.name, status, err)
		}
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	c.close()
	own := 0
	for _, h := range hosts {
		h.close()
		own += len(h.resets)
		w.logf("host %s ran %d requests and sent %d resets", h.id, h.runs, len(h.resets))
	}
	w.logf("open flows that the system reset: %d; by their hosts: %d", reset, own)
	return reset > 0, nil
}
