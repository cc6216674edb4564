package main

import (
	"fmt"
	"time"
)

// startControl starts control machines, one in each zone; the first three are the seeds.
func (w *world) startControl(numCores int) ([]*node, error) {
	for i := 1; i <= 3; i++ {
		w.seeds = append(w.seeds, w.addr(w.ip(i, 100), controlOffset))
	}
	var cores []*node
	for i := 1; i <= numCores; i++ {
		n := w.add(fmt.Sprintf("core-%d", i), "control", i, 100)
		cores = append(cores, n)
		if err := w.start(n); err != nil {
			return nil, err
		}
	}
	return cores, nil
}

// replacedThenWiped replaces a control machine by an empty one at another address. Once the
// new one has had catch_up_s, two of the others lose their disks right after an
// acknowledgement and start again.
func replacedThenWiped(w *world) (bool, error) {
	cores, err := w.startControl(5)
	if err != nil {
		return false, err
	}
	if err := w.put(newConfig(1, "safe"), 10*time.Second); err != nil {
		return false, err
	}
	w.first = false
	time.Sleep(contact + time.Second)
	if err := w.put(newConfig(2, "safe"), 5*time.Second); err != nil {
		return false, err
	}
	if w.trouble {
		w.kill(cores[4])
		delete(w.nodes, cores[4].name)
		w.logf("%s is gone for good", cores[4].name)
	}
	time.Sleep(time.Second)
	if w.trouble {
		if err := w.start(w.add("core-6", "control", 5, 101)); err != nil {
			return false, err
		}
	}
	time.Sleep(catchUp + 500*time.Millisecond)
	if err := w.put(newConfig(3, "safe"), 5*time.Second); err != nil {
		return false, err
	}
	return w.loseDisks(cores[:2], nil, 3)
}

// evictedThenWiped stops two control machines for 14 s, which keep their disks. Right after
// an acknowledgement, and before the two are back, two others lose their disks. Then all
// four start again.
func evictedThenWiped(w *world) (bool, error) {
	cores, err := w.startControl(5)
	if err != nil {
		return false, err
	}
	if err := w.put(newConfig(1, "safe"), 10*time.Second); err != nil {
		return false, err
	}
	w.first = false
	time.Sleep(contact + time.Second)
	if w.trouble {
		w.kill(cores[3])
		w.kill(cores[4])
	}
	time.Sleep(14 * time.Second)
	if err := w.put(newConfig(2, "safe"), 5*time.Second); err != nil {
		return false, err
	}
	return w.loseDisks(cores[:2], cores[3:], 2)
}

// loseDisks kills the machines and removes their disks. A second later they start again,
// with those that are down. It reports whether the acknowledged config doesn't come back, or
// an older one does, when recovery_s is over.
func (w *world) loseDisks(lost, down []*node, acked int) (bool, error) {
	if w.trouble {
		for _, n := range lost {
			w.kill(n)
		}
		for _, n := range lost {
			if err := w.wipe(n); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Second)
		for _, n := range append(down, lost...) {
			if err := w.start(n); err != nil {
				return false, err
			}
		}
	}
	w.logf("all control machines run; recovery_s begins")
	time.Sleep(recovery)
	older, answered := w.readBack(acked, 2*contact)
	if err := w.put(newConfig(acked+1, "safe"), 10*time.Second); err != nil {
		w.logf("%v", err)
	}
	w.logf("older config read: %t; config came: %t", older, answered)
	return older || !answered, nil
}
