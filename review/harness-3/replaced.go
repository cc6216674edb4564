package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	catchUp  = 4 * time.Second
	recovery = 12 * time.Second

	// successorDelay is the time between the removal of a machine and the start of its successor, and successorLead
	// the time between them if the successor starts first.
	successorDelay = 100 * time.Millisecond
	successorLead  = time.Second
	// killAt is the time after both at which the leader's process is killed, and killedFor how long it is down.
	killAt    = 1500 * time.Millisecond
	killedFor = 3 * time.Second
	// lossAt is the earliest time after both at which a disk is lost, and lostFor how long its machine is down.
	lossAt  = catchUp + 50*time.Millisecond
	lostFor = 600 * time.Millisecond
)

// core is a machine of the core.
type core struct {
	*process
	addr  netip.AddrPort
	ended bool
}

// leading returns the machine that leads by its metrics. It waits for some seconds until there is one.
func (w *world) leading(list []*core) (*core, error) {
	for range 100 {
		if c := w.leadingNow(list); c != nil {
			return c, nil
		}
		w.sleep(20 * time.Millisecond)
	}
	return nil, errors.New("no machine leads")
}

func (w *world) leadingNow(list []*core) *core {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	for _, c := range list {
		if c.ended {
			continue
		}
		resp, err := client.Get(fmt.Sprintf("http://%s:7735/metrics", c.addr.Addr()))
		if err != nil {
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if strings.Contains(string(b), "\ncatkinrail_control_leading 1\n") {
			return c
		}
	}
	return nil
}

// kill ends a machine's process and waits for its end.
func (w *world) kill(p *process, why string) {
	w.note("machine %s: %s", p.name, why)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// wipe removes a machine's disk and begins its settings anew, without bootstrap.
func (w *world) wipe(p *process) error {
	if err := os.RemoveAll(filepath.Join(w.dir, "data-"+p.name)); err != nil {
		return err
	}
	return w.laterStart(p)
}

// laterStart sets bootstrap to false in a machine's settings.
func (w *world) laterStart(p *process) error {
	b, err := os.ReadFile(p.file)
	if err != nil {
		return err
	}
	return os.WriteFile(p.file, []byte(strings.Replace(string(b), "bootstrap: true", "bootstrap: false", 1)), 0o640)
}

// killLeader kills the process of the machine that leads and starts it again.
func (w *world) killLeader(list []*core) error {
	c, err := w.leading(list)
	if err != nil {
		return err
	}
	w.kill(c.process, "the leader's process is killed")
	w.sleep(killedFor)
	return w.start(c.process)
}

// replacedCore replaces a core machine and kills the leader's process while the successor has its time. Then the
// leader loses its disk right after an acknowledgement. With SKIP=kill no process is killed. With SUCCESSOR=first the
// successor starts before the other machine is removed.
func replacedCore(w *world, trouble bool) error {
	list, err := w.startCore()
	if err != nil {
		return err
	}
	list, err = w.replaceFollower(list, trouble)
	if err != nil {
		return err
	}
	done := time.Now()
	w.sleep(killAt)
	if trouble && os.Getenv("SKIP") != "kill" {
		if err := w.killLeader(list); err != nil {
			return err
		}
	}
	w.sleep(time.Until(done.Add(lossAt)))
	nodes, err := w.loseAfterAck(list, trouble)
	if err != nil {
		return err
	}
	w.note("all core machines run from now on")
	w.sleep(recovery)
	return w.readBack(nodes)
}

// startCore starts the core machines, waits until all are in touch, and sends the first config.
func (w *world) startCore() ([]*core, error) {
	if err := w.startAll(0); err != nil {
		return nil, err
	}
	var list []*core
	for z, zone := range zones {
		list = append(list, &core{process: w.procs["core-"+zone], addr: w.addr(z, 100, controlPort)})
	}
	if _, err := w.put(1, config(1, route("r-logbook", logbookRoute, logbook))); err != nil {
		return nil, err
	}
	w.sleep(contact + time.Second)
	for _, c := range list {
		select {
		case <-c.done:
			return nil, fmt.Errorf("machine %s doesn't run", c.name)
		default:
		}
		if err := w.laterStart(c.process); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// successor returns a new core machine in a zone, not started yet.
func (w *world) successor(z int) (*core, error) {
	c := &core{addr: w.addr(z, 102, controlPort), process: &process{name: "core-" + zones[z] + "-2", role: "control"}}
	c.file = filepath.Join(w.dir, c.name+".yaml")
	return c, os.WriteFile(c.file, []byte(w.settings(c.name, "control", "core", zones[z], z, 102, false)), 0o640)
}

// replaceFollower removes a machine that doesn't lead and starts another one in its zone. It returns all machines.
func (w *world) replaceFollower(list []*core, trouble bool) ([]*core, error) {
	leader, err := w.leading(list)
	if err != nil {
		return nil, err
	}
	z := 0
	if list[z] == leader {
		z = 1
	}
	removed := list[z]
	successor, err := w.successor(z)
	if err != nil {
		return nil, err
	}
	remove := func() error {
		if trouble {
			w.kill(removed.process, "is removed for good, without SIGTERM")
			removed.ended = true
		}
		return nil
	}
	add := func() error { return w.start(successor.process) }
	steps, pause := []func() error{remove, add}, successorDelay
	if os.Getenv("SUCCESSOR") == "first" {
		steps, pause = []func() error{add, remove}, successorLead
	}
	for i, step := range steps {
		if i > 0 {
			w.sleep(pause)
		}
		if err := step(); err != nil {
			return nil, err
		}
	}
	return append(list, successor), nil
}

// loseAfterAck sends a config, takes the leader's disk right after its acknowledgement, and starts that machine again
// with an empty disk. It returns the addresses of all machines that run.
func (w *world) loseAfterAck(list []*core, trouble bool) ([]netip.AddrPort, error) {
	victim, err := w.leading(list)
	if err != nil {
		return nil, err
	}
	nodes := []netip.AddrPort{victim.addr}
	for _, c := range list {
		if !c.ended && c != victim {
			nodes = append(nodes, c.addr)
		}
	}
	if _, err := w.putAt(nodes, 2, config(2, route("r-logbook", logbookRoute, logbook))); err != nil {
		return nil, err
	}
	if !trouble {
		return nodes, nil
	}
	w.kill(victim.process, "the leader loses its disk")
	if err := w.wipe(victim.process); err != nil {
		return nil, err
	}
	w.sleep(lostFor)
	return nodes, w.start(victim.process)
}

// readBack reads the config at the machines in turn until one answers.
func (w *world) readBack(nodes []netip.AddrPort) error {
	client := &http.Client{Timeout: time.Second}
	reads := 0
	for end := time.Now().Add(contact + 10*time.Second); time.Now().Before(end); reads++ {
		addr := nodes[reads%len(nodes)]
		resp, err := client.Get("http://" + addr.String() + "/Config.Get")
		if err != nil {
			w.note("operator: reads the config at %s: %v", addr, err)
			w.sleep(200 * time.Millisecond)
			continue
		}
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			w.note("operator: reads the config at %s: %.14s", addr, b)
			if strings.HasPrefix(string(b), `{"version":2,`) {
				return nil
			}
			return fmt.Errorf("CONFIG: %w: an older version is read", errBroken)
		}
		w.note("operator: reads the config at %s: status %d %.120s", addr, resp.StatusCode, b)
		w.sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("CONFIG: %w: the acknowledged config doesn't come: %d reads without it, from %s after all core machines were back",
		errBroken, reads, recovery)
}
