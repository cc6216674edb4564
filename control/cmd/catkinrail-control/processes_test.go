package main

import (
	"bufio"
	"context"
	"errors"
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
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"catkinrail.example/catkinrail/platform/standin"
)

// runVariable makes the test program run a control instance instead of tests.
const runVariable = "CATKINRAIL_TEST_RUN_CONTROL"

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

const (
	// stopTimeout is the time between SIGTERM and SIGKILL on the platform (grace_s).
	stopTimeout = 6 * time.Second
	// metricsPort is the last of the internal ports in the settings files of standin.
	metricsPort = 7735
	// pollInterval is the time between two reads of the metrics pages.
	pollInterval = 50 * time.Millisecond
	// firstNet and lastNet limit the loopback networks 127.x.0.0/16 of tests. The scripts use
	// networks below them.
	firstNet, lastNet = 64, 254
)

// deployment is a number of control instances that run as processes, with the platform's settings
// files, on a loopback network of their own.
type deployment struct {
	t     *testing.T
	dir   string
	net   byte
	began time.Time
	all   []*instance
}

// instance is a control instance. Its process is nil while it doesn't run.
type instance struct {
	standin.Node
	process *exec.Cmd
}

// newDeployment reserves a network. The processes end with the test.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.ArtifactDir(), began: time.Now()}
	for d.net == 0 {
		n := byte(firstNet + rand.IntN(lastNet-firstNet+1))
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:%d", n, standin.InternalPort))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
		d.net = n
	}
	t.Cleanup(func() {
		d.kill(d.running()...)
		if t.Failed() {
			d.logChanges()
		}
	})
	return d
}

// event logs a step of the test with the time.
func (d *deployment) event(format string, args ...any) {
	d.t.Helper()
	d.t.Logf("%6.2f s  %s", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// add starts n instances, one in each of the four zones in turn. The first ones of a deployment
// bootstrap it. The seeds are three of the instances that run, or of the new ones.
func (d *deployment) add(n int) {
	var added []*instance
	first := len(d.all) == 0
	for i := range n {
		zone, host := i%4, byte(len(d.all)+1)
		in := &instance{Node: standin.Node{
			Name: fmt.Sprintf("core-%c-%d", 'a'+zone, host), Zone: string(rune('a' + zone)),
			IP:         netip.AddrFrom4([4]byte{127, d.net, byte(zone + 1), host}),
			FirstStart: first,
		}}
		in.Data = filepath.Join(d.dir, in.Name)
		d.all = append(d.all, in)
		added = append(added, in)
	}
	seeds := d.running()
	if len(seeds) == 0 {
		seeds = added
	}
	for _, in := range added {
		in.Seeds = addrs(seeds[:3])
	}
	d.start(added...)
	d.event("%s start", names(added))
}

// start starts instances with settings files that are written anew.
func (d *deployment) start(list ...*instance) {
	program, err := os.Executable()
	require.NoError(d.t, err)
	for _, in := range list {
		file := in.Data + ".yaml"
		require.NoError(d.t, os.WriteFile(file, []byte(in.Settings()), 0o600))
		in.FirstStart = false
		log, err := os.OpenFile(in.Data+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		require.NoError(d.t, err)
		in.process = exec.Command(program, "--platform")
		in.process.Env = append(os.Environ(), runVariable+"=1", "CATKINRAIL_NODE_FILE="+file)
		in.process.Stdout, in.process.Stderr = log, log
		// A test that times out doesn't run its cleanups.
		in.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		require.NoError(d.t, in.process.Start())
		require.NoError(d.t, log.Close())
	}
}

// running returns the instances that run.
func (d *deployment) running() []*instance {
	var list []*instance
	for _, in := range d.all {
		if in.process != nil {
			list = append(list, in)
		}
	}
	return list
}

// kill ends instances with SIGKILL, all at once.
func (d *deployment) kill(list ...*instance) {
	for _, in := range list {
		_ = in.process.Process.Kill()
	}
	for _, in := range list {
		_ = in.process.Wait()
		in.process = nil
	}
}

// terminate sends an instance SIGTERM, and SIGKILL after stopTimeout. The returned channel is
// closed when it has ended.
func (d *deployment) terminate(in *instance) <-chan struct{} {
	d.event("%s gets SIGTERM", in.Name)
	p, ended := in.process, make(chan struct{})
	in.process = nil
	killer := time.AfterFunc(stopTimeout, func() { _ = p.Process.Kill() })
	_ = p.Process.Signal(syscall.SIGTERM)
	go func() {
		defer close(ended)
		_ = p.Wait()
		killer.Stop()
	}()
	return ended
}

// leader returns the instance that leads, once there is one.
func (d *deployment) leader(ctx context.Context) *instance {
	for {
		for _, in := range d.running() {
			if leads(ctx, in) {
				return in
			}
		}
		select {
		case <-ctx.Done():
			require.NoError(d.t, ctx.Err(), "no instance leads")
		case <-time.After(pollInterval):
		}
	}
}

// leads reports whether an instance's metrics page says that it leads.
func leads(ctx context.Context, in *instance) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/metrics", in.IP, metricsPort), nil)
	if err != nil {
		return false
	}
	r, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return err == nil && strings.Contains(string(b), "\ncatkinrail_control_leading 1\n")
}

// logChanges logs what the instances' logs say of their starts, members and leaders.
func (d *deployment) logChanges() {
	for _, in := range d.all {
		f, err := os.Open(in.Data + ".log")
		if err != nil {
			d.t.Log(err)
			continue
		}
		for s := bufio.NewScanner(f); s.Scan(); {
			for _, word := range []string{"leader changed", "members changed", `"message":"started"`, "DATA RACE"} {
				if strings.Contains(s.Text(), word) {
					d.t.Log(s.Text())
					break
				}
			}
		}
		f.Close()
	}
}

func names(list []*instance) string {
	var names []string
	for _, in := range list {
		names = append(names, in.Name)
	}
	return strings.Join(names, ", ")
}

func addrs(list []*instance) []netip.Addr {
	var addrs []netip.Addr
	for _, in := range list {
		addrs = append(addrs, in.IP)
	}
	return addrs
}

// operatorOf returns an operator that calls the instances in turn.
func operatorOf(list ...*instance) *standin.Operator {
	var addrs []string
	for _, in := range list {
		addrs = append(addrs, fmt.Sprintf("%s:%d", in.IP, standin.ControlPort))
	}
	return &standin.Operator{Control: func() []string { return addrs }}
}
