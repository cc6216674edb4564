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
// ended, the leader loses its disk right after an acknowledgement. With SKIP=freeze no machine is frozen.
func stoppedCore(w *world, trouble bool) error {
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
	removed, frozen := list[followers[0]], list[followers[1]]
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
	freezes := trouble && os.Getenv("SKIP") != "freeze"
	if freezes {
		w.note("machine %s: is frozen", frozen.name)
		if err := frozen.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
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
	if freezes {
		frozen.ended = true // Asked for nothing meanwhile.
	}
	nodes, err := w.loseAfterAck(list, trouble)
	if err != nil {
		return err
	}
	if freezes {
		w.sleep(time.Until(froze.Add(frozenFor)))
		w.note("machine %s: goes on after %d ms", frozen.name, time.Since(froze).Milliseconds())
		if err := frozen.cmd.Process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		nodes = append(nodes, frozen.addr)
	}
	w.note("all core machines run from now on")
	w.sleep(recovery)
	return w.readBack(nodes)
}
