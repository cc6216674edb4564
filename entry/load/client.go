// Package load exchanges this entry instance's load with the other entry instances through
// the control instance that it follows.
package load

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc"
	"storj.io/drpc/drpcerr"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/message"
	"catkinrail.example/catkinrail/coordination/token"
	"catkinrail.example/catkinrail/entry/packet"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/protocol/control"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/transport/clock"
	"catkinrail.example/catkinrail/transport/rpc"
)

// Timing of the reports.
const (
	// interval is the time between two reports. With the time that a call and the exchange
	// between control instances take, a report is known to all well within load.Expiry.
	interval = 250 * time.Millisecond
	// maxInterval limits the interval where a report and its reply are large. It leaves
	// time for a call that takes callTimeout before load.Expiry.
	maxInterval = 600 * time.Millisecond
	// callTimeout bounds a call, so that a control instance that doesn't answer delays the
	// next report by less than half of load.Expiry.
	callTimeout = 400 * time.Millisecond
	// backoff is the time until the next report after a repeated failure, or if the control
	// instance doesn't know the call.
	backoff = time.Second
	// linesPerSecond limits the log lines about lost and regained exchanges.
	linesPerSecond = 2
)

// Limits on the bytes of the exchange, above which the interval grows.
const (
	// maxBytesPerSecond leaves the rest of the 30 KB/s for control at 940 entry instances
	// to the directory and the keep-alives.
	maxBytesPerSecond = 24e3
	// linkShare is the share of the instance's link. Control may take 5 % in all.
	linkShare = 0.04
	// callOverhead is the size in bytes of the headers of the packets of a call.
	callOverhead = 200
)

// Follower tells which control instance this entry instance follows.
type Follower interface {
	// Control returns its address, or an empty string while there is none.
	Control() string
}

// Config holds the settings and dependencies of a Client.
type Config struct {
	Name string
	Zone catkinrail.Zone
	// Process is a random number that identifies this process.
	Process uint64
	Creds   *rpc.Credentials
	Router  *packet.Router
	Follow  Follower
	Clock   catkinrail.Clock
	Log     *logs.Logger
	Metrics metrics.Registry
}

// Client sends the reports and applies the replies.
type Client struct {
	cfg    Config
	budget *logs.Budget
	stats  stats
	// bytesPerSecond is the limit on the bytes of the exchange, as a float64.
	bytesPerSecond atomic.Uint64

	report message.LoadReport
	conn   *rpc.Client
	// sent and received are the connection's counters at the last exchange.
	sent, received int64
	// failures is the number of consecutive failures.
	failures int
}

// stats are the metrics of the exchange.
type stats struct {
	reports, failures, sent, received metrics.Counter
	// age is the age of the view in milliseconds, rows the number of backend servers that
	// others put load on, and instances that of the zone's reporting entry instances.
	age, rows, instances metrics.Gauge
	// loansReceived, loansUsed and loansExpired count flows on cold backend servers.
	loansReceived, loansUsed, loansExpired metrics.Gauge
}

// New returns a client. It registers its metrics with the registry.
func New(cfg Config) *Client {
	reg := cfg.Metrics
	c := &Client{
		cfg: cfg, budget: logs.NewBudget(cfg.Clock, linesPerSecond),
		stats: stats{
			reports: metrics.GetOrRegisterCounter("load-reports", reg), failures: metrics.GetOrRegisterCounter("load-failures", reg),
			sent: metrics.GetOrRegisterCounter("load-bytes-sent", reg), received: metrics.GetOrRegisterCounter("load-bytes-received", reg),
			age: metrics.GetOrRegisterGauge("load-age-ms", reg), rows: metrics.GetOrRegisterGauge("load-rows", reg),
			instances:     metrics.GetOrRegisterGauge("load-instances", reg),
			loansReceived: metrics.GetOrRegisterGauge("loans-received", reg),
			loansUsed:     metrics.GetOrRegisterGauge("loans-used", reg), loansExpired: metrics.GetOrRegisterGauge("loans-expired", reg),
		},
		report: message.LoadReport{Name: cfg.Name, Zone: cfg.Zone, Process: cfg.Process},
	}
	c.SetLink(0)
	return c
}

// SetLink sets the rate of the instance's link in bits a second. Anything but a positive
// number means that the link is unlimited.
func (c *Client) SetLink(bitsPerSecond float64) {
	limit := maxBytesPerSecond
	if bitsPerSecond > 0 {
		limit = min(limit, bitsPerSecond/8*linkShare)
	}
	c.bytesPerSecond.Store(math.Float64bits(limit))
}

// Run exchanges loads until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	defer c.close()
	// Instances that become ready together must not report together.
	delay := rand.N(interval)
	for clock.Sleep(ctx, delay) {
		delay = c.exchange(ctx)
		c.cfg.Router.Do(func(e *token.Engine, now int64) {
			v, loans := e.LoadView(), e.LoanStats()
			c.stats.loansReceived.Update(int64(loans.Received))
			c.stats.loansUsed.Update(int64(loans.Used))
			c.stats.loansExpired.Update(int64(loans.Expired))
			c.stats.rows.Update(int64(v.Rows()))
			c.stats.instances.Update(int64(v.Instances()))
			if v.At() > 0 {
				c.stats.age.Update(v.Age(now).Milliseconds())
			}
		})
	}
	return nil
}

func (c *Client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a report if one is due, and returns the time until the next.
func (c *Client) exchange(ctx context.Context) time.Duration {
	addr := c.cfg.Follow.Control()
	if addr == "" {
		return interval
	}
	due := false
	c.cfg.Router.Do(func(e *token.Engine, now int64) { due = e.LoadReport(&c.report, now) })
	if !due {
		return interval
	}
	if c.conn == nil || c.conn.Addr() != addr {
		c.close()
		c.conn = rpc.NewClient(addr, c.cfg.Creds)
		c.sent, c.received = 0, 0
	}
	c.stats.reports.Inc(1)
	var reply message.LoadReply
	err := c.conn.Call(ctx, "load", callTimeout, func(ctx context.Context, conn drpc.Conn) error {
		body, err := cluster.Encode(&c.report)
		if err != nil {
			return err
		}
		f, err := control.NewDRPCControlClient(conn).Load(ctx, &control.Frame{Body: body})
		if err != nil {
			return err
		}
		return cluster.DecodeCompressed(f.GetBody(), &reply)
	})
	bytes := c.countBytes()
	if err != nil {
		return c.recordFailure(ctx, addr, err)
	}
	c.cfg.Router.Do(func(e *token.Engine, now int64) { e.ApplyLoad(&reply, now) })
	if c.failures > 0 {
		if skipped, ok := c.budget.Allow(); ok {
			c.cfg.Log.Info().Str("control", addr).Int("failures", c.failures).Uint64("skipped", skipped).Msg("exchange of loads regained")
		}
	}
	c.failures = 0
	return c.nextInterval(bytes)
}

// countBytes returns the number of bytes of the exchange.
func (c *Client) countBytes() int64 {
	sent, received := c.conn.Bytes()
	out, in := sent-c.sent, received-c.received
	c.sent, c.received = sent, received
	c.stats.sent.Inc(out)
	c.stats.received.Inc(in)
	return out + in
}

// nextInterval returns the time until the next report after an exchange of that many
// bytes. It grows before the limit on bytes is exceeded.
func (c *Client) nextInterval(bytes int64) time.Duration {
	limit := math.Float64frombits(c.bytesPerSecond.Load())
	d := float64(bytes+callOverhead) / limit * float64(time.Second)
	return time.Duration(min(max(d, float64(interval)), float64(maxInterval)))
}

// recordFailure records a failed call and returns the time until the next report. Only the
// first of several failures in a row is logged.
func (c *Client) recordFailure(ctx context.Context, addr string, err error) time.Duration {
	if ctx.Err() != nil {
		return interval
	}
	c.failures++
	c.stats.failures.Inc(1)
	if c.failures == 1 {
		if skipped, ok := c.budget.Allow(); ok {
			c.cfg.Log.Warn(err).Str("control", addr).Uint64("skipped", skipped).Msg("exchange of loads lost")
		}
	}
	if c.failures > 1 || drpcerr.Code(err) == drpcerr.Unimplemented {
		return backoff
	}
	return interval
}
