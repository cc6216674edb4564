package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports and bounds of the deployment; the bounds are those of a small site.
const (
	packetPort  = 8172
	readyPort   = 8167
	controlPort = 8166
	hostPort    = 8400

	beat         = 1200 * time.Millisecond
	drain        = 3000 * time.Millisecond
	rollback     = 250 * time.Millisecond
	contact      = 4000 * time.Millisecond
	startTimeout = 20 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// world is a small deployment: in each zone a control instance, entry instances and hosts.
type world struct {
	ctx    context.Context
	cancel context.CancelFunc
	dir    string
	net    int
	held   net.Listener
	runs   map[string][]string
	begin  time.Time

	mu      sync.Mutex
	record  io.Writer
	procs   map[string]*process
	entries []entry
	ready   map[string][]netip.AddrPort
	wg      sync.WaitGroup
}

type process struct {
	name, role, file string
	cmd              *exec.Cmd
	done             chan struct{}
}

type entry struct {
	name, zone    string
	packets, http netip.AddrPort
}

// newWorld reads the commands from the deploy file and finds a free range of loopback addresses.
func newWorld(record io.Writer) (*world, error) {
	runs, err := readDeploy("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	w := &world{
		ctx: ctx, cancel: cancel, dir: dir, runs: runs, begin: time.Now(), record: record,
		procs: map[string]*process{}, ready: map[string][]netip.AddrPort{},
	}
	for range 50 {
		w.net = 20 + rand.IntN(200)
		if w.free() {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free range of loopback addresses")
}

// free reports whether nothing listens in the range of addresses yet. If so, it keeps a port of the range, so that no
// other script takes the range.
func (w *world) free() bool {
	held, err := net.Listen("tcp", w.addr(0, 250, controlPort).String())
	if err != nil {
		return false
	}
	w.held = held
	if w.unused() {
		return true
	}
	held.Close()
	return false
}

func (w *world) unused() bool {
	for z := range zones {
		l, err := net.Listen("tcp", w.addr(z, 100, controlPort).String())
		if err != nil {
			return false
		}
		l.Close()
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(w.addr(z, 1, packetPort)))
		if err != nil {
			return false
		}
		c.Close()
	}
	return true
}

func (w *world) addr(zone, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(w.net), byte(zone + 1), byte(n)}), port)
}

func readDeploy(name string) (map[string][]string, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	runs, role := map[string][]string{}, ""
	for line := range strings.Lines(string(b)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[roles.") {
			role = strings.TrimSuffix(strings.TrimPrefix(line, "[roles."), "]")
		}
		if v, ok := strings.CutPrefix(line, "run = "); ok && role != "" {
			runs[role] = strings.Fields(strings.Trim(v, `"`))
		}
	}
	if len(runs["entry"]) == 0 || len(runs["control"]) == 0 {
		return nil, fmt.Errorf("%s: no commands for entry and control", name)
	}
	return runs, nil
}

// note writes a line to the record, with the time since the start in milliseconds.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.1f %s\n", w.since(time.Now()), fmt.Sprintf(format, args...))
}

func (w *world) since(t time.Time) float64 {
	return float64(t.Sub(w.begin).Microseconds()) / 1000
}

// settings returns the settings file of a machine.
func (w *world) settings(name, role, class, zone string, z, n int, first bool) string {
	var b strings.Builder
	ip := w.addr(z, n, 0).Addr()
	fmt.Fprintf(&b, "node_name: %q\nrole: %q\nmachine_class: %q\nip: %q\nzone: %q\nregion: \"region-1\"\nzones:\n", name, role, class, ip, zone)
	for _, other := range zones {
		fmt.Fprintf(&b, "  %s: \"region-1\"\n", other)
	}
	if role == "entry" {
		fmt.Fprintf(&b, "serves:\n  - \"front\"\nlisten:\n  datagram_addr: \"%s:%d\"\n  readiness_addr: \"%s:%d\"\ndata_dir: null\n", ip, packetPort, ip, readyPort)
	} else {
		fmt.Fprintf(&b, "serves:\n  - \"control\"\nlisten:\n  control: \"%s:%d\"\ndata_dir: %q\n", ip, controlPort, filepath.Join(w.dir, "data-"+name))
	}
	fmt.Fprintf(&b, "internal_ports:\n  - 7720\n  - 7735\nseeds:\n")
	for i := range zones {
		fmt.Fprintf(&b, "  - %q\n", w.addr(i, 100, controlPort))
	}
	fmt.Fprintf(&b, "bootstrap: %t\nin_fault_budget: %t\n", first, role == "control")
	b.WriteString(`limits:
  cpu_share: 0.48
  cpu_cores: 1
  memory_mb: 280
  max_fds: 4096
  link_mbps: 700.0
  disk_mb: 128
discovery: "registration"
entry: "announcement"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "recover", "flows"]
fault_tolerance:
  machines: 1
  zones: 1
  regions: 0
bounds:
  seed_lag_s: 3
  addr_reuse_s: 2
  contact_ms: 4000
  ack_ms: 5000
  catch_up_s: 4
  drain_ms: 3000
  grace_s: 6
  loss_slack_ms: 200
  config_apply_ms: 3000
  rollback_slack_ms: 250
  max_stretch_ms: 12000
  recovery_s: 12
  flow_stray_ms: 2000
  max_flow_s: 60
config_mode: "highest"
hash: "mod"
forwarding_mode: "echo"
`)
	return b.String()
}

// start starts a machine's process, with the settings file that it has from an earlier start
// if there is one.
func (w *world) start(p *process) error {
	args := w.runs[p.role]
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Env = []string{"CATKINRAIL_NODE_FILE=" + p.file, "PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C"}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done = cmd, make(chan struct{})
	w.procs[p.name] = p
	w.note("machine %s: process started", p.name)
	done := p.done
	go func() {
		err := cmd.Wait()
		if w.ctx.Err() == nil {
			w.note("machine %s: process ended: %v", p.name, err)
		}
		close(done)
	}()
	return nil
}

// startAll starts a control instance and a number of entry instances in each zone.
func (w *world) startAll(entries int) error {
	for z, zone := range zones {
		p := &process{name: "core-" + zone, role: "control", file: filepath.Join(w.dir, "core-"+zone+".yaml")}
		if err := os.WriteFile(p.file, []byte(w.settings(p.name, "control", "core", zone, z, 100, true)), 0o640); err != nil {
			return err
		}
		if err := w.start(p); err != nil {
			return err
		}
		for n := 1; n <= entries; n++ {
			p := &process{name: fmt.Sprintf("front-%s-%d", zone, n), role: "entry"}
			p.file = filepath.Join(w.dir, p.name+".yaml")
			if err := os.WriteFile(p.file, []byte(w.settings(p.name, "entry", "front", zone, z, n, true)), 0o640); err != nil {
				return err
			}
			if err := w.start(p); err != nil {
				return err
			}
			w.entries = append(w.entries, entry{name: p.name, zone: zone, packets: w.addr(z, n, packetPort), http: w.addr(z, n, readyPort)})
		}
	}
	w.wg.Add(1)
	go w.checkReadiness()
	return nil
}

// checkReadiness asks the entry instances twice a second whether they are ready, as the provider
// does: after two misses, an instance is out of rotation.
func (w *world) checkReadiness() {
	defer w.wg.Done()
	missed := map[string]int{}
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for w.sleep(500 * time.Millisecond) {
		lists, all := map[string][]netip.AddrPort{}, map[string][]netip.AddrPort{}
		for _, e := range w.entries {
			missed[e.name]++
			if resp, err := client.Get("http://" + e.http.String() + "/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					missed[e.name] = 0
				}
			}
			all[e.zone] = append(all[e.zone], e.packets)
			if missed[e.name] < 2 {
				lists[e.zone] = append(lists[e.zone], e.packets)
			}
		}
		w.mu.Lock()
		for _, zone := range zones {
			w.ready[zone] = lists[zone]
			if 2*len(lists[zone]) < len(all[zone]) {
				w.ready[zone] = all[zone]
			}
		}
		w.mu.Unlock()
	}
}

// awaitReady waits until all entry instances answer readiness checks.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		n := 0
		for _, e := range w.entries {
			if resp, err := client.Get("http://" + e.http.String() + "/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					n++
				}
			}
		}
		if n == len(w.entries) {
			w.note("all entry instances are ready")
			return nil
		}
		if !w.sleep(100 * time.Millisecond) {
			break
		}
	}
	return fmt.Errorf("the entry instances didn't get ready in time")
}

// pick returns the entry instance in a zone that the provider's routers send a flow's packets to.
func (w *world) pick(zone string, src, dst netip.AddrPort) (netip.AddrPort, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.ready[zone]
	if len(list) == 0 {
		return netip.AddrPort{}, false
	}
	s, d := src.Addr().As4(), dst.Addr().As4()
	h := uint32(2166136261)
	for _, b := range append(append(s[:], d[:]...), byte(src.Port()), byte(src.Port()>>8), byte(dst.Port()), byte(dst.Port()>>8)) {
		h = (h ^ uint32(b)) * 16777619
	}
	return list[int(h>>8)%len(list)], true
}

func (w *world) sleep(d time.Duration) bool {
	select {
	case <-w.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (w *world) controls() []netip.AddrPort {
	var list []netip.AddrPort
	for z := range zones {
		list = append(list, w.addr(z, 100, controlPort))
	}
	return list
}

var httpClient = &http.Client{Timeout: time.Second}

// post sends a body and returns the status and the reply, or an error if there was none within a second.
func post(url string, body []byte) (int, []byte, error) {
	resp, err := httpClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	return resp.StatusCode, b, err
}

// put sends a config to the control instances in turn until one acknowledges it.
func (w *world) put(version int, config string) (time.Time, error) {
	return w.putAt(w.controls(), version, config)
}

func (w *world) putAt(nodes []netip.AddrPort, version int, config string) (time.Time, error) {
	w.note("operator: sends version %d", version)
	for i := 0; i < 60; i++ {
		addr := nodes[i%len(nodes)]
		status, _, err := post("http://"+addr.String()+"/Config.Put", []byte(config))
		if err == nil && status == http.StatusOK {
			at := time.Now()
			w.note("operator: %s acknowledges version %d", addr, version)
			return at, nil
		}
		if !w.sleep(200 * time.Millisecond) {
			break
		}
	}
	return time.Time{}, fmt.Errorf("version %d was not acknowledged", version)
}

// close ends all processes.
func (w *world) close() {
	w.cancel()
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range procs {
		select {
		case <-p.done:
		case <-time.After(5 * time.Second):
		}
	}
	w.wg.Wait()
	w.held.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}
