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

// Config says what to measure.
type Config struct {
	Peers    []string
	Entries  int
	Services int
	Servers  int
	Changes  int
	// PIDs are the control instances' processes.
	PIDs []int
}

// Result is what was measured.
type Result struct {
	Entries, Services, Servers int
	// InForce are the times from the answer to an operator until every entry
	// instance had the change.
	InForceMax, InForceMedian time.Duration
	// EntryCorePercent is the processor time of an entry instance's control work,
	// in percent of a core, without changes.
	EntryCorePercent float64
	EntryMegabytes   float64
	// EntryBytes is the bytes a second of an entry instance without changes, and
	// ChangeBytes what one change adds.
	EntryBytes, ChangeBytes float64
	// ControlCorePercent and ControlMegabytes are the largest of the control
	// instances' processes, the leader's.
	ControlCorePercent, ControlMegabytes float64
}

// Timing of the measurement.
const (
	settleTime  = 4 * time.Second
	idleTime    = 6 * time.Second
	changeLimit = 20 * time.Second
	changeGap   = 150 * time.Millisecond
	bytesPerMB  = 1 << 20
)

// Measure runs stand-ins against control instances that are already running.
func Measure(ctx context.Context, cfg Config) (Result, error) {
	r := Result{Entries: cfg.Entries, Services: cfg.Services, Servers: cfg.Servers}
	clk := clock.New()
	op := newOperator(cfg.Peers)
	memory := heap()
	f := startFleet(ctx, cfg.Entries, cfg.Peers, clk)
	names, err := createServices(ctx, op, &cfg)
	if err != nil {
		return r, err
	}
	clock.Sleep(ctx, settleTime)
	announceAll(f, names, &cfg)
	clock.Sleep(ctx, settleTime)
	r.EntryMegabytes = (heap() - memory) / float64(cfg.Entries) / bytesPerMB
	measureIdle(ctx, f, &cfg, &r)
	if err := measureChanges(ctx, op, f, names, &cfg, &r); err != nil {
		return r, err
	}
	for _, name := range names {
		if _, err := op.change(ctx, remove(name)); err != nil {
			return r, err
		}
	}
	return r, f.leave(ctx)
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

type call = func(context.Context, api.DRPCOperatorClient, *api.Change) (*api.ChangeReply, error)

func remove(name string) call {
	return func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
		return c.DeleteService(ctx, &api.NameRequest{Change: change, Name: name})
	}
}

func drain(service, name string, on bool) call {
	return func(ctx context.Context, c api.DRPCOperatorClient, change *api.Change) (*api.ChangeReply, error) {
		req := &api.BackendServerRequest{Change: change, Service: service, Name: name}
		if on {
			return c.DrainBackendServer(ctx, req)
		}
		return c.ReadmitBackendServer(ctx, req)
	}
}

// bucketsPerServer is the number of buckets for each backend server.
const bucketsPerServer = 128

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

// announceAll keeps all backend servers announced through the stand-ins.
func announceAll(f *fleet, names []string, cfg *Config) {
	for i := range cfg.Servers {
		s := f.list[i%len(f.list)]
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 4, byte(i >> 8), byte(i)}), 6080)
		s.reg.AddPermanent(&plan.Announcement{
			Service: names[i%len(names)], Name: serverName(i),
			Zone:  catkinrail.Zone(fmt.Sprintf("zone-%d", i%len(f.list)%numZones)),
			Slots: []netip.AddrPort{addr, netip.AddrPortFrom(addr.Addr(), 6081)}, Incarnation: 1,
		})
	}
}

func serverName(i int) string {
	return fmt.Sprintf("server-%d", i)
}

// measureIdle measures heartbeats and renewals without changes.
func measureIdle(ctx context.Context, f *fleet, cfg *Config, r *Result) {
	bytes, own, pids := f.bytes(), ownCPU(), cpuOf(cfg.PIDs)
	began := time.Now()
	clock.Sleep(ctx, idleTime)
	span := time.Since(began).Seconds()
	n := float64(cfg.Entries)
	r.EntryBytes = float64(f.bytes()-bytes) / span / n
	r.EntryCorePercent = 100 * (ownCPU() - own).Seconds() / span / n
	for i, used := range cpuOf(cfg.PIDs) {
		r.ControlCorePercent = max(r.ControlCorePercent, 100*(used-pids[i]).Seconds()/span)
	}
	for _, pid := range cfg.PIDs {
		r.ControlMegabytes = max(r.ControlMegabytes, residentMegabytes(pid))
	}
}

// measureChanges drains and readmits backend servers.
func measureChanges(ctx context.Context, op *operator, f *fleet, names []string, cfg *Config, r *Result) error {
	var times []time.Duration
	bytes, began := f.bytes(), time.Now()
	for i := range cfg.Changes {
		server := i / 2 % cfg.Servers
		v, err := op.change(ctx, drain(names[server%len(names)], serverName(server), i%2 == 0))
		if err != nil {
			return err
		}
		took, err := f.await(ctx, v, changeLimit)
		if err != nil {
			return err
		}
		times = append(times, took)
		clock.Sleep(ctx, changeGap)
	}
	idle := r.EntryBytes * time.Since(began).Seconds() * float64(cfg.Entries)
	r.ChangeBytes = (float64(f.bytes()-bytes) - idle) / float64(cfg.Entries*cfg.Changes)
	slices.Sort(times)
	r.InForceMax, r.InForceMedian = times[len(times)-1], times[len(times)/2]
	return nil
}

func ownCPU() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// clockTick is the unit of processor times under /proc.
const clockTick = 10 * time.Millisecond

// cpuOf returns the processor time that each process has used.
func cpuOf(pids []int) []time.Duration {
	out := make([]time.Duration, 0, len(pids))
	for _, pid := range pids {
		out = append(out, processCPU(pid))
	}
	return out
}

func processCPU(pid int) time.Duration {
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
	return time.Duration(ticks) * clockTick
}

func residentMegabytes(pid int) float64 {
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
