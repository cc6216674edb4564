package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

const logbook = "logbook"

var logbookRoute = netip.MustParseAddrPort("198.18.0.1:443")

func config(version int, routes string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"logbook","health_path":"/health","max_flows":4000,"protocol":"h1","tls":false},{"name":"drawvault","health_path":"/health","max_flows":4000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version, routes)
}

func route(name string, to netip.AddrPort, service string) string {
	return fmt.Sprintf(`{"name":%q,"hostname":%q,"path_prefix":"/%d/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":150,"priority":1,"service":%q,"max_attempts":2}`,
		name, to.Addr(), to.Port(), service)
}

// load sends requests to a route from a client in each zone until the returned function is called.
func (w *world) load(to netip.AddrPort, pause time.Duration) (stop func() map[string]int, err error) {
	var clients []*client
	for z := range zones {
		c, err := w.startClient(z, 60)
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	counts := map[string]int{}
	end := make(chan struct{})
	for _, c := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for w.sleep(pause) {
				select {
				case <-end:
					return
				default:
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					o := c.request(to, netip.AddrPort{})
					mu.Lock()
					counts[c.zone+" "+o.text+" "+o.host]++
					mu.Unlock()
				}()
			}
		}()
	}
	return func() map[string]int {
		close(end)
		wg.Wait()
		for name, n := range counts {
			w.note("clients: %s: %d requests", name, n)
		}
		return counts
	}, nil
}

// unreadableID lets another writer send status reports under an identifier whose bytes can't be read as text, for a
// service that no config names. Then a host drains.
func unreadableID(w *world, trouble bool) error {
	if err := w.startAll(2); err != nil {
		return err
	}
	var hosts []*host
	for z := range zones {
		h, err := w.startHost(logbook, z, 30)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	if _, err := w.put(1, config(1, route("r-logbook", logbookRoute, logbook))); err != nil {
		return err
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	stop, err := w.load(logbookRoute, 50*time.Millisecond)
	if err != nil {
		return err
	}
	// From here on all machines have run undisturbed for longer than contact_ms.
	w.sleep(contact + 2*time.Second)
	for i := range 2 * len(zones) {
		if trouble {
			w.strangeReport(i)
		}
		w.sleep(beat / 2)
	}
	leaving := hosts[0]
	leaving.drain()
	for leaving.drainedAt().IsZero() {
		if !w.sleep(20 * time.Millisecond) {
			return fmt.Errorf("the host's report was not acknowledged")
		}
	}
	// It serves for drain_ms and many seconds longer.
	w.sleep(time.Until(leaving.drainedAt().Add(drain + 9*time.Second)))
	counts := stop()
	served := 0
	for name, n := range counts {
		if len(name) > 7 && name[7:13] == "served" {
			served += n
		}
	}
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	late := 0
	for _, f := range leaving.takenFlows() {
		after := f.synAt.Sub(leaving.drainedAt())
		if after <= drain {
			continue
		}
		if late++; late <= 20 {
			w.note("host %s: took the opening packet of %s through %s %d ms after the acknowledgement and ran its request", leaving.id, f.client, f.via, after.Milliseconds())
		}
	}
	w.note("host %s: ran %d requests whose opening packet reached it later than %d ms after the acknowledgement that it is draining", leaving.id, late, drain.Milliseconds())
	if late > 0 {
		return fmt.Errorf("DRAIN: %w: %d requests", errBroken, late)
	}
	return nil
}

// strangeReport sends the other writer's report to one of the control instances.
func (w *world) strangeReport(i int) {
	addr := w.controls()[i%len(zones)]
	body := fmt.Sprintf(`{"service":"ledger","address":"%s","zone":"zone-a","version":"0.1","slots":1,"state":"ready","warmup_left_ms":0,"sequence":%d,"born":%d}`,
		w.addr(0, 90, hostPort), i+1, w.begin.UnixMilli())
	status, _, err := post("http://"+addr.String()+"/Instances.Heartbeat/%E9t%E9-0a", []byte(body))
	w.note("another writer: sends a report under an identifier that isn't UTF-8, for the service \"ledger\", to %s: status %d, error %v", addr, status, err)
}
