package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bounds are those of a site's sheet.
type bounds struct {
	heartbeat, contact, drain, configApply, recovery time.Duration
	grace, addrReuse, catchUp                        int
	machines                                         int
}

// world is a deployment on loopback addresses: machines differ by IP address, ports are the same.
type world struct {
	octet    int
	zones    []string
	bounds   bounds
	dir      string
	root     string
	packets  int
	ready    int
	control  int
	internal int
	host     int
	seeds    []string
	began    time.Time

	mu     sync.Mutex
	record *os.File
	nodes  []*node
}

// node is a machine of the system with one process.
type node struct {
	w                 *world
	name, class, zone string
	ip, file, data    string
	// listen is the address on which a core machine listens if calls to ip go through a proxy.
	listen             string
	bootstrap          bool
	cmd                *exec.Cmd
	done               chan struct{}
	stopped, wasKilled bool
}

// newWorld picks an unused loopback network and ports, and a temporary folder.
func newWorld(recordFile string, zones []string, b bounds) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{zones: zones, bounds: b, dir: dir, root: root, record: f, began: time.Now()}
	for range 50 {
		w.octet = 2 + rand.IntN(250)
		base := 21000 + 50*rand.IntN(200)
		w.packets, w.ready, w.control, w.host, w.internal = base, base+1, base+2, base+3, base+10
		if w.free() {
			w.log("network 127.%d.0.0/16, ports %d to %d", w.octet, base, base+25)
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (w *world) free() bool {
	for _, port := range []int{w.packets, w.ready, w.control, w.host, w.internal, w.internal + 15} {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.1.1:%d", w.octet, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// log writes a line with the time in seconds to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

// zoneNumber counts from 1.
func (w *world) zoneNumber(zone string) int {
	for i, z := range w.zones {
		if z == zone {
			return i + 1
		}
	}
	return 0
}

func (w *world) ip(zone string, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.octet, w.zoneNumber(zone), n)
}

// addNode adds a machine of a class ("core" or "front") with the number n in its zone.
func (w *world) addNode(class, zone string, n int, bootstrap bool) *node {
	nd := &node{w: w, name: fmt.Sprintf("%s-%s-%d", class, zone, n), class: class, zone: zone, bootstrap: bootstrap}
	if class == "core" {
		nd.ip = w.ip(zone, 100+n)
		nd.data = filepath.Join(w.dir, nd.name+"-data")
	} else {
		nd.ip = w.ip(zone, n)
	}
	nd.file = filepath.Join(w.dir, nd.name+".yaml")
	w.nodes = append(w.nodes, nd)
	return nd
}

// writeSettings writes the settings file in the form that DEPLOY.md shows.
func (n *node) writeSettings() error {
	w, b := n.w, n.w.bounds
	var s strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&s, format+"\n", args...) }
	serves := "front"
	if n.class == "core" {
		serves = "control"
	}
	line("node_name: %q\nrole: %q\nmachine_class: %q\nserves:\n  - %q\nip: %q\nzone: %q\nregion: \"region-1\"\nzones:", n.name, serves, n.class, serves, n.ip, n.zone)
	for _, z := range w.zones {
		line("  %s: \"region-1\"", z)
	}
	line("listen:")
	if n.class == "core" {
		line("  control: \"%s:%d\"", n.callAddr(), w.control)
	} else {
		line("  datagram_addr: \"%s:%d\"\n  readiness_addr: \"%s:%d\"", n.ip, w.packets, n.ip, w.ready)
	}
	line("internal_ports:\n  - %d\n  - %d\nseeds:", w.internal, w.internal+15)
	for _, s := range w.seeds {
		line("  - \"%s:%d\"", s, w.control)
	}
	line("bootstrap: %t\nin_fault_budget: %t", n.bootstrap, n.class == "core")
	line("limits:\n  cpu_share: 0.5\n  cpu_cores: 1\n  memory_mb: 280\n  max_fds: 2870\n  link_mbps: 700.0\n  disk_mb: 128")
	if n.class == "core" {
		line("data_dir: %q", n.data)
	} else {
		line("data_dir: null")
	}
	line("discovery: \"registration\"\nentry: \"announcement\"\nheartbeat_ms: %d", b.heartbeat.Milliseconds())
	line("contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"flows\"")
	line("fault_tolerance:\n  machines: %d\n  zones: 1\n  regions: 0", b.machines)
	line("bounds:\n  seed_lag_s: 3\n  addr_reuse_s: %d\n  contact_ms: %d\n  ack_ms: 6000\n  catch_up_s: %d\n  drain_ms: %d\n  grace_s: %d", b.addrReuse, b.contact.Milliseconds(), b.catchUp, b.drain.Milliseconds(), b.grace)
	line("  loss_slack_ms: 200\n  config_apply_ms: %d\n  rollback_slack_ms: 250\n  recovery_s: %d\n  flow_stray_ms: 2000\n  max_flow_s: 60", b.configApply.Milliseconds(), int(b.recovery.Seconds()))
	line("config_mode: \"highest\"\nhash: \"mod\"\nforwarding_mode: \"echo\"")
	return os.WriteFile(n.file, []byte(s.String()), 0o600)
}

// callAddr is the IP address at which hosts and the operator call a core machine.
func (n *node) callAddr() string {
	if n.listen != "" {
		return n.listen
	}
	return n.ip
}

// start starts the process with the command of the deploy file. Later starts are not the first.
func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	program := "target/catkinrail-entry"
	if n.class == "core" {
		program = "target/catkinrail-control"
		if err := os.MkdirAll(n.data, 0o700); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, "--platform")
	cmd.Dir = n.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CATKINRAIL_NODE_FILE=" + n.file}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.w.log("start %s at %s, bootstrap %t", n.name, n.ip, n.bootstrap)
	n.bootstrap = false
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	n.w.mu.Lock()
	n.wasKilled = false
	n.w.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.w.mu.Lock()
		killed := n.wasKilled
		n.w.mu.Unlock()
		n.w.log("end %s: %v, killed by this script: %t", n.name, err, killed)
		if !killed {
			n.logPanic()
		}
		close(done)
	}()
	return nil
}

// logPanic writes the last panic in the process's output to the record.
func (n *node) logPanic() {
	b, err := os.ReadFile(filepath.Join(n.w.dir, n.name+".log"))
	if err != nil {
		return
	}
	if i := strings.LastIndex(string(b), "panic: "); i >= 0 {
		line, _, _ := strings.Cut(string(b[i:]), "\n")
		n.w.log("%s: %s", n.name, line)
	}
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.w.log("signal %s to %s", s, n.name)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.w.mu.Lock()
		n.wasKilled = true
		n.w.mu.Unlock()
	}
	_ = n.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.done
}

// wipe removes the data folder.
func (n *node) wipe() {
	n.w.log("disk of %s is lost", n.name)
	_ = os.RemoveAll(n.data)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.cmd == nil {
			continue
		}
		select {
		case <-n.done:
		default:
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			n.kill()
		}
	}
	w.mu.Lock()
	w.record.Close()
	w.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// awaitReady waits until all entry instances are ready.
func (w *world) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	deadline := time.Now().Add(limit)
	for _, n := range w.nodes {
		if n.class != "front" {
			continue
		}
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", n.ip, w.ready))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s did not become ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
