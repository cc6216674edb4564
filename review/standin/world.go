package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the time after which a process that was killed or ended runs again.
const restartDelay = 500 * time.Millisecond

// world holds the processes of a case and the record of what was sent, answered and run.
type world struct {
	trouble bool
	dir     string
	began   time.Time
	// octet is the second octet of all addresses; port is the first of the ports, which
	// are the same on all machines.
	octet int
	port  int
	// command holds the words of the deploy file's run line, by role.
	command map[string][]string
	// seeds are the addresses of three control machines.
	seeds []string
	// first is set until the whole system has started for the first time.
	first bool

	mu     sync.Mutex
	record *os.File
	nodes  map[string]*node
	err    error
}

// node is a machine with one process.
type node struct {
	name, role, zone, ip string
	cmd                  *exec.Cmd
	// down is set while the process is not to run.
	down bool
	// done is closed when the process has ended.
	done chan struct{}
}

// Offsets of the ports of a machine.
const (
	controlOffset  = 0
	packetOffset   = 1
	readyOffset    = 2
	hostOffset     = 3
	internalOffset = 4
	numInternal    = 16
)

func newWorld(record string, trouble bool) (*world, error) {
	w := &world{trouble: trouble, began: time.Now(), nodes: map[string]*node{}, command: map[string][]string{}, first: true}
	if err := w.readCommands(); err != nil {
		return nil, err
	}
	for range 50 {
		w.octet, w.port = 2+rand.IntN(250), 20000+rand.IntN(10000)
		if w.portsFree() {
			break
		}
	}
	if !w.portsFree() {
		return nil, errors.New("no free ports")
	}
	var err error
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.record, err = os.Create(record); err != nil {
		return nil, errors.Join(err, os.RemoveAll(w.dir))
	}
	return w, nil
}

// readCommands reads the run lines of the deploy file.
func (w *world) readCommands() error {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	role := ""
	for _, line := range strings.Split(string(b), "\n") {
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(strings.TrimSpace(name), "]")
		}
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			w.command[role] = strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
		}
	}
	for _, role := range []string{"control", "entry"} {
		if len(w.command[role]) == 0 {
			return fmt.Errorf("the deploy file has no role %q", role)
		}
	}
	return nil
}

// portsFree reports whether the ports are free on one of the addresses.
func (w *world) portsFree() bool {
	for i := range internalOffset + numInternal {
		addr := fmt.Sprintf("%s:%d", w.ip(1, 100), w.port+i)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return false
		}
		l.Close()
		c, err := net.ListenPacket("udp", addr)
		if err != nil {
			return false
		}
		c.Close()
	}
	return true
}

// ip returns the address of a machine in a zone.
func (w *world) ip(zone, machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.octet, zone, machine)
}

func (w *world) addr(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, w.port+offset)
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record != nil {
		fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = errors.Join(w.err, err)
}

func (w *world) failure() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

func (w *world) dataDir(n *node) string { return filepath.Join(w.dir, "data-"+n.name) }

// add adds a machine without starting it. The role is control or entry.
func (w *world) add(name, role string, zone, machine int) *node {
	n := &node{name: name, role: role, zone: fmt.Sprintf("zone-%d", zone), ip: w.ip(zone, machine)}
	w.nodes[name] = n
	return n
}

// settings returns the settings file of a machine as the platform writes it.
func (w *world) settings(n *node) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	class, serves := "front", "front"
	if n.role == "control" {
		class, serves = "core", "control"
	}
	line("node_name: %q\nrole: %q\nmachine_class: %q\nserves:\n  - %q", n.name, n.role, class, serves)
	line("ip: %q\nzone: %q\nregion: \"region-1\"\nzones:", n.ip, n.zone)
	for i := 1; i <= 5; i++ {
		line("  zone-%d: \"region-1\"", i)
	}
	line("listen:")
	if n.role == "control" {
		line("  control: %q", w.addr(n.ip, controlOffset))
	} else {
		line("  datagram_addr: %q\n  readiness_addr: %q", w.addr(n.ip, packetOffset), w.addr(n.ip, readyOffset))
	}
	line("internal_ports:\n  - %d\n  - %d\nseeds:", w.port+internalOffset, w.port+internalOffset+numInternal-1)
	for _, s := range w.seeds {
		line("  - %q", s)
	}
	line("bootstrap: %t\nin_fault_budget: %t", w.first, n.role == "control")
	if n.role == "control" {
		line("limits:\n  cpu_share: 0.24\n  cpu_cores: 1\n  memory_mb: 280\n  max_fds: 4096\n  link_mbps: 170.0\n  disk_mb: 128")
		line("data_dir: %q", w.dataDir(n))
	} else {
		line("limits:\n  cpu_share: 0.134\n  cpu_cores: 1\n  memory_mb: 93\n  max_fds: 2870\n  link_mbps: 700.0\n  disk_mb: 0\ndata_dir: null")
	}
	line("discovery: \"registration\"\nentry: \"announcement\"\nheartbeat_ms: %d", heartbeat.Milliseconds())
	line("fault_tolerance:\n  machines: 2\n  zones: 1\n  regions: 0")
	line("bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  contact_ms: %d\n  ack_ms: 6000\n  catch_up_s: %d", contact.Milliseconds(), int(catchUp.Seconds()))
	line("  drain_ms: 4000\n  grace_s: 6\n  config_apply_ms: 4000\n  rollback_slack_ms: 250\n  max_stretch_ms: 15000")
	line("  recovery_s: %d\n  flow_stray_ms: 2000\n  max_flow_s: 60", int(recovery.Seconds()))
	line("config_mode: \"highest\"\nhash: \"mod\"\nforwarding_mode: \"echo\"")
	return b.String()
}

// start writes the settings of a machine and starts its process.
func (w *world) start(n *node) error {
	file := filepath.Join(w.dir, n.name+".yaml")
	if err := os.WriteFile(file, []byte(w.settings(n)), 0o600); err != nil {
		return err
	}
	if n.role == "control" {
		if err := os.MkdirAll(w.dataDir(n), 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	words := w.command[n.role]
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", "CATKINRAIL_NODE_FILE=" + file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.name, err)
	}
	done := make(chan struct{})
	w.mu.Lock()
	n.cmd, n.done, n.down = cmd, done, false
	w.mu.Unlock()
	w.logf("%s started at %s, bootstrap %t", n.name, n.ip, w.first)
	go func() {
		_ = cmd.Wait()
		close(done)
		w.mu.Lock()
		own := !n.down && w.record != nil
		w.mu.Unlock()
		if own {
			w.fail(fmt.Errorf("%s ended by itself", n.name))
		}
	}()
	return nil
}

// kill ends the process of a machine with SIGKILL.
func (w *world) kill(n *node) {
	w.mu.Lock()
	cmd, done := n.cmd, n.done
	n.down = true
	w.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
	w.logf("%s killed", n.name)
}

// wipe removes the disk of a machine whose process doesn't run.
func (w *world) wipe(n *node) error {
	w.logf("the disk of %s is lost", n.name)
	return os.RemoveAll(w.dataDir(n))
}

// close ends all processes.
func (w *world) close() {
	for _, n := range w.nodes {
		w.mu.Lock()
		running := n.cmd != nil && !n.down
		w.mu.Unlock()
		if running {
			w.kill(n)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Close()
	w.record = nil
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}
