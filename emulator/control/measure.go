package control

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/protocol/api"
	"catkinrail.example/catkinrail/transport/clock"
)

// Config describes a measurement.
type Config struct {
	// Peers are the addresses of the control instances.
	Peers []string
	// Entries, Services and Servers are the numbers of stand-in entry instances,
	// services and backend servers.
	Entries  int
	Services int
	Servers  int
	// Changes is the number of changes to measure; it must be positive.
	Changes int
	// PIDs are the control instances' processes.
	PIDs []int
}

// Result holds the measurements.
type Result struct {
	Entries, Services, Servers int
	// InForceMax and InForceMedian are times from the reply to an operator until
	// every entry instance had the change.
	InForceMax, InForceMedian time.Duration
	// EntryCorePercent is the CPU time of an entry instance's control work, in
	// percent of a core, without changes.
	EntryCorePercent float64
	// EntryMegabytes is the heap, in MiB, that an entry instance's state takes.
	EntryMegabytes float64
	// EntryBytes is the bytes per second that an entry instance exchanges with
	// control without changes, and ChangeBytes the bytes that one change adds.
	EntryBytes, ChangeBytes float64
	// ControlCorePercent and ControlMegabytes are the maximum CPU time and resident
	// memory of the control instances' processes: usually the leader's.
	ControlCorePercent, ControlMegabytes float64
}

// Timing of the measurement.
const (
	settleTime     = 4 * time.Second
	idleTime       = 6 * time.Second
	changeTimeout  = 20 * time.Second
	changeInterval = 150 * time.Millisecond
	bytesPerMB     = 1 << 20
)

// Measure runs stand-in entry instances against running control instances, creates
// the services, measures without and with changes, and deletes the services.
func Measure(ctx context.Context, cfg Config) (Result, error) {
	r := Result{Entries: cfg.Entries, Services: cfg.Services, Servers: cfg.Servers}
	clk := clock.New()
	op := newOperator(cfg.Peers)
	heapBefore := heapBytes()
	f := startFleet(ctx, cfg.Entries, cfg.Peers, clk)
	names, err := createServices(ctx, op, &cfg)
	if err != nil {
		return r, err
	}
	clock.Sleep(ctx, settleTime)
	announceAll(f, names, &cfg)
	clock.Sleep(ctx, settleTime)
	r.EntryMegabytes = (heapBytes() - heapBefore) / float64(cfg.Entries) / bytesPerMB
	measureIdle(ctx, f, &cfg, &r)
	if err := measureChanges(ctx, op, f, names, &cfg, &r); err != nil {
		return r, err
	}
	for _, name := range names {
		if _, err := op.change(ctx, deleteService(name)); err != nil {
			return r, err
		}
	}
	return r, f.leave(ctx)
}

// heapBytes returns the size of the live heap in bytes.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// operatorCall is a call that makes a change.
type operatorCall = func(context.Context, api.DRPCOperatorClient, *api.Change) (*api.ChangeReply, error)

func deleteService(name string) operatorCall {
	return func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
		return c.DeleteService(ctx, &api.NameRequest{Change: change, Name: name})
	}
}

// setDraining drains or readmits a backend server.
func setDraining(service, name string, on bool) operatorCall {
	return func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
		req := &api.BackendServerRequest{Change: change, Service: service, Name: name}
		if on {
			return c.DrainBackendServer(ctx, req)
		}
		return c.ReadmitBackendServer(ctx, req)
	}
}

// bucketsPerServer is the minimum number of buckets for each backend server.
const bucketsPerServer = 128

// createServices creates the services and returns their names.
func createServices(ctx context.Context, op *operator, cfg *Config) ([]string, error) {
	var names []string
	buckets := uint32(catkinrail.MinBuckets)
	for int(buckets) < bucketsPerServer*cfg.Servers/cfg.Services {
		buckets *= 2
	}
	for i := range cfg.Services {
		name := fmt.Sprintf("service-%d-%d-%d", cfg.Entries, cfg.Servers, i)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), uint16(1000+cfg.Entries))
		_, err := op.change(ctx, func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
			return c.CreateService(ctx, &api.ServiceRequest{Change: change, Service: &api.Service{
				Name: name, Address: addr.String(), Buckets: buckets, IdleTimeout: 60,
			}})
		})
		if err != nil {
			return nil, err
		}
		names = append(names, name)
	}
	return names, nil
}

// announceAll announces all backend servers through the stand-ins, permanently.
func announceAll(f *fleet, names []string, cfg *Config) {
	for i := range cfg.Servers {
		s := f.instances[i%len(f.instances)]
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 4, byte(i >> 8), byte(i)}), 6080)
		s.reg.AddPermanent(&plan.Announcement{
			Service: names[i%len(names)], Name: serverName(i),
			Zone:  catkinrail.Zone(fmt.Sprintf("zone-%d", i%len(f.instances)%numZones)),
			Slots: []netip.AddrPort{addr, netip.AddrPortFrom(addr.Addr(), 6081)}, Incarnation: 1,
		})
	}
}

func serverName(i int) string {
	return fmt.Sprintf("server-%d", i)
}

// measureIdle measures the cost of heartbeats and announcements without changes.
func measureIdle(ctx context.Context, f *fleet, cfg *Config, r *Result) {
	bytesBefore, ownBefore, cpuBefore := f.controlBytes(), selfCPUTime(), cpuTimes(cfg.PIDs)
	began := time.Now()
	clock.Sleep(ctx, idleTime)
	elapsed := time.Since(began).Seconds()
	n := float64(cfg.Entries)
	r.EntryBytes = float64(f.controlBytes()-bytesBefore) / elapsed / n
	r.EntryCorePercent = 100 * (selfCPUTime() - ownBefore).Seconds() / elapsed / n
	for i, used := range cpuTimes(cfg.PIDs) {
		r.ControlCorePercent = max(r.ControlCorePercent, 100*(used-cpuBefore[i]).Seconds()/elapsed)
	}
	for _, pid := range cfg.PIDs {
		r.ControlMegabytes = max(r.ControlMegabytes, ResidentMB(pid))
	}
}

// measureChanges measures changes that drain and readmit backend servers.
func measureChanges(ctx context.Context, op *operator, f *fleet, names []string, cfg *Config, r *Result) error {
	var times []time.Duration
	bytesBefore, began := f.controlBytes(), time.Now()
	for i := range cfg.Changes {
		server := i / 2 % cfg.Servers
		v, err := op.change(ctx, setDraining(names[server%len(names)], serverName(server), i%2 == 0))
		if err != nil {
			return err
		}
		took, err := f.awaitVersion(ctx, v, changeTimeout)
		if err != nil {
			return err
		}
		times = append(times, took)
		clock.Sleep(ctx, changeInterval)
	}
	idleBytes := r.EntryBytes * time.Since(began).Seconds() * float64(cfg.Entries)
	r.ChangeBytes = (float64(f.controlBytes()-bytesBefore) - idleBytes) / float64(cfg.Entries*cfg.Changes)
	slices.Sort(times)
	r.InForceMax, r.InForceMedian = times[len(times)-1], times[len(times)/2]
	return nil
}

// selfCPUTime returns the CPU time that this process has used, or 0 on an error.
func selfCPUTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuTick is the unit of CPU times in /proc/PID/stat.
const cpuTick = 10 * time.Millisecond

// cpuTimes returns the CPU time that each process has used.
func cpuTimes(pids []int) []time.Duration {
	out := make([]time.Duration, 0, len(pids))
	for _, pid := range pids {
		out = append(out, cpuTime(pid))
	}
	return out
}

// cpuTime returns the CPU time that a process has used, or 0 on an error.
func cpuTime(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0
	}
	ticks := 0
	for _, f := range fields[user : system+1] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0
		}
		ticks += n
	}
	return time.Duration(ticks) * cpuTick
}

// ResidentMB returns a process's resident memory in MiB, or 0 on an error.
func ResidentMB(pid int) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b))
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return float64(pages*os.Getpagesize()) / bytesPerMB
}
