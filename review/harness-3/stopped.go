package main

import (
	"errors"
	"os"
	"syscall"
	"time"
)

const (
	// frozenFor is how long a machine is frozen.
	frozenFor = 4 * time.Second
	// stopAfter is the time between the start of the freeze and the SIGTERM to another machine.
	stopAfter = 800 * time.Millisecond
	// stopWithin is grace_s.
	stopWithin = 6 * time.Second
)

// stoppedCore replaces a core machine by plan, the new one first, while another one is frozen. Once the old one has
// ended, the leader loses its disk right after an acknowledgement. With SKIP=freeze no machine is frozen. With CORES=4
// there are four core machines and two are frozen.
func stoppedCore(w *world, trouble bool) error {
	if os.Getenv("CORES") == "4" {
		zones = append(zones, "zone-d")
	}
	list, err := w.startCore()
	if err != nil {
		return err
	}
	leader, err := w.leading(list)
	if err != nil {
		return err
	}
	var followers []int
	for z, c := range list {
		if c != leader {
			followers = append(followers, z)
		}
	}
	removed := list[followers[0]]
	var frozen []*core
	if trouble && os.Getenv("SKIP") != "freeze" {
		for _, z := range followers[1:] {
			frozen = append(frozen, list[z])
		}
	}
	successor, err := w.successor(followers[0])
	if err != nil {
		return err
	}
	if err := w.start(successor.process); err != nil {
		return err
	}
	list = append(list, successor)
	w.sleep(catchUp + 500*time.Millisecond)
	froze := time.Now()
	for _, c := range frozen {
		w.note("machine %s: is frozen", c.name)
		if err := c.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		c.ended = true // Asked for nothing meanwhile.
	}
	w.sleep(stopAfter)
	w.note("machine %s: SIGTERM, for good", removed.name)
	if err := removed.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-removed.done:
	case <-time.After(stopWithin):
		return errors.New("the process that got SIGTERM didn't end in time")
	}
	removed.ended = true
	nodes, err := w.loseAfterAck(list, trouble)
	if err != nil {
		return err
	}
	if len(frozen) > 0 {
		w.sleep(time.Until(froze.Add(frozenFor)))
	}
	for _, c := range frozen {
		w.note("machine %s: goes on after %d ms", c.name, time.Since(froze).Milliseconds())
		if err := c.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		nodes = append(nodes, c.addr)
	}
	w.note("all core machines run from now on")
	w.sleep(recovery)
	return w.readBack(nodes)
}
