package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// splitter forwards the calls between core machines. While it is split, nothing passes between the
// halves, silently: bytes wait until the split ends, as new connections do. Entry instances, hosts and
// the operator reach both halves.
type splitter struct {
	w  *world
	mu sync.Mutex
	// half holds the half of each core machine.
	half map[*node]int
	// fronts are the entry machines.
	fronts []*node
	// healed is closed when the split ends; nil while there is none.
	healed chan struct{}
}

// serve forwards the connections to a core machine.
func (s *splitter) serve(to *node) error {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", to.ip, s.w.internal))
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.forward(c, to)
		}
	}()
	return nil
}

// blocked returns a channel that is closed when bytes may pass between the machines, or nil if they
// may now.
func (s *splitter) blocked(a, b *node) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.healed == nil || a == nil || b == nil || s.half[a] == s.half[b] {
		return nil
	}
	return s.healed
}

func (s *splitter) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.log("the core is split into halves")
	s.healed = make(chan struct{})
}

func (s *splitter) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.log("the split has ended")
	close(s.healed)
	s.healed = nil
}

func (s *splitter) forward(c net.Conn, to *node) {
	defer c.Close()
	from, ok := s.caller(c)
	if !ok {
		return
	}
	if ch := s.blocked(from, to); ch != nil {
		<-ch
	}
	up, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", to.listen, s.w.internal), time.Second)
	if err != nil {
		return
	}
	defer up.Close()
	var g sync.WaitGroup
	g.Go(func() { s.copy(up, c, from, to) })
	g.Go(func() { s.copy(c, up, from, to) })
	g.Wait()
}

// copy passes bytes on until either end closes.
func (s *splitter) copy(dst, src net.Conn, from, to *node) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if ch := s.blocked(from, to); ch != nil {
			<-ch
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	src.Close()
	dst.Close()
}

// caller returns the core machine whose process made a connection, or nil for an entry machine: it owns
// the socket at the connection's far end. ok is false if the caller has closed it already.
func (s *splitter) caller(c net.Conn) (from *node, ok bool) {
	remote, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return nil, false
	}
	s.mu.Lock()
	list := append([]*node(nil), s.fronts...)
	for n := range s.half {
		list = append(list, n)
	}
	s.mu.Unlock()
	// The list of sockets may miss some while it changes.
	for range 20 {
		if inode := socketInode(remote); inode != "" {
			for _, n := range list {
				if !n.owns(inode) {
					continue
				}
				if n.class == "core" {
					return n, true
				}
				return nil, true
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, false
}

// socketInode returns the inode of the socket that is bound to the address.
func socketInode(a *net.TCPAddr) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	ip := a.IP.To4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 9 && fields[1] == want {
			return fields[9]
		}
	}
	return ""
}

// owns reports whether the process has the socket open.
func (n *node) owns(inode string) bool {
	n.w.mu.Lock()
	pid := 0
	if n.cmd != nil && n.cmd.Process != nil {
		pid = n.cmd.Process.Pid
	}
	n.w.mu.Unlock()
	dir, err := os.Open(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return false
	}
	defer dir.Close()
	for {
		names, err := dir.Readdirnames(100)
		for _, name := range names {
			link, linkErr := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, name))
			if linkErr == nil && link == "socket:["+inode+"]" {
				return true
			}
		}
		if err == io.EOF || err != nil {
			return false
		}
	}
}

// splitCase plays a planned exchange of the core machines while the core is split into halves.
func splitCase(record string, trouble bool) (*world, verdict) {
	zones := []string{"malvern", "dovedale", "church-stretton", "ashby"}
	w, err := newWorld(record, zones, bounds{
		heartbeat: 1200 * time.Millisecond, contact: 4 * time.Second, drain: 3 * time.Second, configApply: 3 * time.Second,
		recovery: 12 * time.Second, grace: 6, addrReuse: 2, catchUp: 4, machines: 1,
	})
	if err != nil {
		return failed(w, err)
	}
	s := &splitter{w: w, half: map[*node]int{}}
	add := func(z string, n int, first bool) (*node, error) {
		nd := w.addNode("core", z, 2*n, first)
		nd.listen = w.ip(z, 101+2*n)
		s.mu.Lock()
		s.half[nd] = (w.zoneNumber(z) - 1) / 2
		s.mu.Unlock()
		return nd, s.serve(nd)
	}
	var old, fresh []*node
	for _, z := range zones {
		n, err := add(z, 0, true)
		if err != nil {
			return failed(w, err)
		}
		old = append(old, n)
		s.fronts = append(s.fronts, w.addNode("front", z, 1, true))
	}
	for _, n := range old[:3] {
		w.seeds = append(w.seeds, n.ip)
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return failed(w, err)
		}
	}
	var mu sync.Mutex
	serving := append([]*node(nil), old...)
	list := func() (addrs []string) {
		mu.Lock()
		defer mu.Unlock()
		for _, n := range serving {
			addrs = append(addrs, fmt.Sprintf("%s:%d", n.listen, w.control))
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
	time.Sleep(8 * time.Second)
	for _, z := range zones {
		n, err := add(z, 1, false)
		if err != nil {
			return failed(w, err)
		}
		if err := n.start(); err != nil {
			return failed(w, err)
		}
		fresh = append(fresh, n)
	}
	mu.Lock()
	serving = append(serving, fresh...)
	mu.Unlock()
	time.Sleep(2 * time.Duration(w.bounds.catchUp) * time.Second)
	if !op.put(8, w.config(8, []string{"rota-desk", "batch-archive"}), 10*time.Second) {
		return failed(w, fmt.Errorf("the second config is not acknowledged"))
	}
	mu.Lock()
	serving = fresh
	mu.Unlock()
	var split sync.WaitGroup
	if trouble {
		s.begin()
		split.Go(func() {
			time.Sleep(splitTime)
			s.end()
		})
	}
	time.Sleep(stopsAfter)
	stopInTurn(old)
	split.Wait()
	w.log("the exchange is over")
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
	return w, verdict{broken, fmt.Sprintf("CONFIG is broken: config 8 was acknowledged; the newest read back is %d (last answer: %s), from %s after the split ended on; no disk was lost", newest, last, w.bounds.recovery)}
}

// splitTime is that of core_cut in the site file, stopsAfter the time from its beginning to the first
// stop, and stopGap the pause between two stops.
const (
	stopsAfter = time.Second
	splitTime  = 5500 * time.Millisecond
	stopGap    = time.Second
)

// stopInTurn stops the machines for good with SIGTERM, and kills those that run longer than grace_s.
func stopInTurn(list []*node) {
	var g sync.WaitGroup
	for _, n := range list {
		n.signal(syscall.SIGTERM)
		g.Go(func() {
			select {
			case <-n.done:
			case <-time.After(time.Duration(n.w.bounds.grace) * time.Second):
				n.kill()
			}
			n.wipe()
		})
		time.Sleep(stopGap)
	}
	g.Wait()
}
