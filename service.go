package catkinrail

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// Balance selects how a service assigns new flows.
type Balance string

const (
	// BalanceHashed assigns flows by bucket. It keeps records only where flows may
	// be on another slot than their bucket's, as while the bucket moves. It relays
	// the fewest packets.
	BalanceHashed Balance = "hashed"
	// BalanceTracked keeps a record of every flow and assigns each new flow to
	// the least loaded slot. It relays the most packets.
	BalanceTracked Balance = "tracked"
)

// Limits of a service's configuration.
const (
	MinBuckets       = 64
	MaxBuckets       = 1 << 16
	MinIdleTimeout   = 10 * time.Second
	MaxIdleTimeout   = 7 * 24 * time.Hour
	MaxEjectPercent  = 50
	MaxServiceName   = 63
	MaxBucketRecords = 1 << 16
)

// Objective is a service level objective, evaluated over a time window.
type Objective struct {
	// BrokenPerMillion is the number of flows in a million that may break.
	BrokenPerMillion uint32 `cbor:"1,keyasint,omitempty" json:"broken-per-million" yaml:"broken-per-million"`
	// RefusedPerMillion is the number of new flows in a million that may be refused.
	RefusedPerMillion uint32 `cbor:"2,keyasint,omitempty" json:"refused-per-million" yaml:"refused-per-million"`
	// ImbalancePercent is the largest allowed excess of the most loaded backend
	// server over the mean load, in percent.
	ImbalancePercent uint32 `cbor:"3,keyasint,omitempty" json:"imbalance-percent" yaml:"imbalance-percent"`
}

// ServiceConfig is the part of a service that an operator configures.
type ServiceConfig struct {
	Name        string         `cbor:"1,keyasint" json:"name" yaml:"name"`
	Addr        netip.AddrPort `cbor:"2,keyasint" json:"address" yaml:"address"`
	Proto       uint8          `cbor:"3,keyasint" json:"protocol" yaml:"protocol"`
	Balance     Balance        `cbor:"4,keyasint" json:"balance" yaml:"balance"`
	Buckets     int            `cbor:"5,keyasint" json:"buckets" yaml:"buckets"`
	IdleTimeout time.Duration  `cbor:"6,keyasint" json:"idle-timeout" yaml:"idle-timeout"`
	// MaxRecords is the largest number of flow records in one bucket.
	MaxRecords int `cbor:"7,keyasint" json:"max-records" yaml:"max-records"`
	// MaxEject is the largest share of backend servers, in percent, that failed
	// health checks may eject.
	MaxEject  int       `cbor:"8,keyasint" json:"max-eject-percent" yaml:"max-eject-percent"`
	Objective Objective `cbor:"9,keyasint" json:"objective" yaml:"objective"`
}

// FieldError reports an invalid field of a configuration.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %q: %s", e.Field, e.Reason)
}

// Default service settings.
const (
	defaultBuckets     = 2048
	defaultIdleTimeout = 6 * time.Hour
	defaultMaxRecords  = 4096
	defaultMaxEject    = 30
)

// SetDefaults sets every field that is zero to its default.
func (c *ServiceConfig) SetDefaults() {
	if c.Proto == 0 {
		c.Proto = ProtoTCP
	}
	if c.Balance == "" {
		c.Balance = defaultBalance(c.Proto)
	}
	if c.Buckets == 0 {
		c.Buckets = defaultBuckets
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.MaxRecords == 0 {
		c.MaxRecords = defaultMaxRecords
	}
	if c.MaxEject == 0 {
		c.MaxEject = defaultMaxEject
	}
}

// defaultBalance tracks UDP flows, because the first datagram of a flow can't be
// told from a later one.
func defaultBalance(proto uint8) Balance {
	if proto == ProtoUDP {
		return BalanceTracked
	}
	return BalanceHashed
}

var serviceName = regexp.MustCompile(`^[a-z][a-z0-9-]*$`)

// Validate returns a joined error with a FieldError for each invalid field, or nil.
func (c *ServiceConfig) Validate() error {
	var errs []error
	check := func(ok bool, field, format string, args ...any) {
		if !ok {
			errs = append(errs, &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
		}
	}
	check(serviceName.MatchString(c.Name) && len(c.Name) <= MaxServiceName, "name",
		"%q must be 1 to %d characters of a-z, 0-9 and -, beginning with a letter", c.Name, MaxServiceName)
	check(c.Addr.IsValid() && !c.Addr.Addr().IsUnspecified() && c.Addr.Port() != 0, "address",
		"%q must be an IP address and a port", c.Addr)
	check(c.Proto == ProtoTCP || c.Proto == ProtoUDP, "protocol", "%d must be 6 (tcp) or 17 (udp)", c.Proto)
	check(c.Balance == BalanceHashed || c.Balance == BalanceTracked, "balance",
		"%q must be %q or %q", c.Balance, BalanceHashed, BalanceTracked)
	check(c.Buckets >= MinBuckets && c.Buckets <= MaxBuckets && c.Buckets&(c.Buckets-1) == 0, "buckets",
		"%d must be a power of two from %d to %d", c.Buckets, MinBuckets, MaxBuckets)
	check(c.IdleTimeout >= MinIdleTimeout && c.IdleTimeout <= MaxIdleTimeout, "idle-timeout",
		"%s must be from %s to %s", c.IdleTimeout, MinIdleTimeout, MaxIdleTimeout)
	check(c.MaxRecords > 0 && c.MaxRecords <= MaxBucketRecords, "max-records",
		"%d must be from 1 to %d", c.MaxRecords, MaxBucketRecords)
	check(c.MaxEject > 0 && c.MaxEject <= MaxEjectPercent, "max-eject-percent",
		"%d must be from 1 to %d", c.MaxEject, MaxEjectPercent)
	return errors.Join(errs...)
}

// Endpoint returns the endpoint that the service listens on.
func (c *ServiceConfig) Endpoint() Endpoint {
	return Endpoint{Addr: c.Addr.Addr().As16(), Port: c.Addr.Port(), Proto: c.Proto}
}

// FieldErrors returns every FieldError that err wraps or joins.
func FieldErrors(err error) []FieldError {
	if err == nil {
		return nil
	}
	var list []FieldError
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			list = append(list, FieldErrors(e)...)
		}
		return list
	}
	var field *FieldError
	if errors.As(err, &field) {
		list = append(list, *field)
	}
	return list
}
