package catkinrail

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// RequestKind says whether the requests of a route may be retried, and which part of
// them is long. A document may name kinds that this version doesn't know.
type RequestKind string

// Kinds of requests.
const (
	// KindSafe requests are idempotent and short.
	KindSafe RequestKind = "safe"
	// KindUnsafe requests may run at most once, so they must not be retried.
	KindUnsafe RequestKind = "unsafe"
	// KindDownload requests are idempotent and have long responses.
	KindDownload RequestKind = "download"
	// KindUpload requests have long bodies and may run at most once.
	KindUpload RequestKind = "upload"
)

// Known reports whether the kind is one of those above. Requests of another kind are
// treated like those of KindUnsafe.
func (k RequestKind) Known() bool {
	switch k {
	case KindSafe, KindUnsafe, KindDownload, KindUpload:
		return true
	}
	return false
}

// Target is a service that a route sends a share of its new flows to.
type Target struct {
	Service string `cbor:"1,keyasint"`
	// Weight is the share, relative to the route's other targets.
	Weight int `cbor:"2,keyasint,omitempty"`
}

// Route sends the new flows of an endpoint to services.
type Route struct {
	Name   string         `cbor:"1,keyasint"`
	Listen netip.AddrPort `cbor:"2,keyasint"`
	Kind   RequestKind    `cbor:"3,keyasint,omitempty"`
	// Timeout is how long a caller waits for a response.
	Timeout time.Duration `cbor:"4,keyasint,omitempty"`
	// LatencyTarget is the latency up to which a response has its full value.
	LatencyTarget time.Duration `cbor:"5,keyasint,omitempty"`
	Targets       []Target      `cbor:"6,keyasint"`
	// Priority orders the routes of a service when there is too little room for all of
	// their requests; 0 is the highest.
	Priority int `cbor:"7,keyasint,omitempty"`
}

// ServiceLimits holds the limits of a service's backend servers. Zero means no limit.
type ServiceLimits struct {
	// MaxFlows is the number of flows that a backend server holds.
	MaxFlows int `cbor:"1,keyasint,omitempty"`
	// WarmupTime is the time for which a backend server is cold after its start.
	WarmupTime time.Duration `cbor:"2,keyasint,omitempty"`
	// WarmupRate is the number of requests a second that a cold backend server bears.
	WarmupRate float64 `cbor:"3,keyasint,omitempty"`
}

// LimitsWarmup reports whether requests to cold backend servers are limited.
func (l ServiceLimits) LimitsWarmup() bool {
	return l.WarmupTime > 0 && l.WarmupRate > 0
}

// Document is a complete configuration that an operator puts as a whole.
type Document struct {
	Version uint64  `cbor:"1,keyasint"`
	Routes  []Route `cbor:"2,keyasint"`
	// Services are the names that routes may use.
	Services []string `cbor:"3,keyasint"`
	// IdleTimeout is the time without a packet after which a flow may expire.
	IdleTimeout time.Duration `cbor:"4,keyasint,omitempty"`
	// Source is the document as the operator sent it; reads return it unchanged.
	Source []byte `cbor:"5,keyasint,omitempty"`
	// Limits holds the limits of the services that have any, by service.
	Limits map[string]ServiceLimits `cbor:"6,keyasint,omitempty"`
}

// maxWeightSum is the largest sum of a route's weights.
const maxWeightSum = 1 << 30

// Validate returns a FieldError for the first invalid field, or nil.
func (d *Document) Validate() error {
	if d.Version == 0 {
		return &FieldError{Field: "version", Reason: "must be greater than 0"}
	}
	services := map[string]bool{}
	for i, name := range d.Services {
		field := fmt.Sprintf("services[%d].name", i)
		if name == "" {
			return &FieldError{Field: field, Reason: "is missing"}
		}
		services[name] = true
	}
	listens := map[netip.AddrPort]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.validate(fmt.Sprintf("routes[%d]", i), services); err != nil {
			return err
		}
		if other, ok := listens[r.Listen]; ok {
			return &FieldError{Field: fmt.Sprintf("routes[%d]", i), Reason: fmt.Sprintf("%s is taken by route %q", r.Listen, other)}
		}
		listens[r.Listen] = r.Name
	}
	return nil
}

func (r *Route) validate(field string, services map[string]bool) error {
	if !r.Listen.IsValid() || r.Listen.Port() == 0 {
		return &FieldError{Field: field, Reason: fmt.Sprintf("%s is not an address and a port", r.Listen)}
	}
	if r.Timeout <= 0 {
		return &FieldError{Field: field + ".timeout", Reason: fmt.Sprintf("%s is not positive", r.Timeout)}
	}
	if len(r.Targets) == 0 {
		return &FieldError{Field: field, Reason: "names no service"}
	}
	sum := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return &FieldError{Field: field, Reason: fmt.Sprintf("service %q is not defined", t.Service)}
		}
		if t.Weight < 0 || t.Weight > maxWeightSum {
			return &FieldError{Field: field, Reason: fmt.Sprintf("weight %d of service %q is out of range", t.Weight, t.Service)}
		}
		sum += t.Weight
	}
	if sum <= 0 || sum > maxWeightSum {
		return &FieldError{Field: field, Reason: "weights have no usable sum"}
	}
	return nil
}

// SharesLoads reports whether entry instances share the load that they observe: whether
// the routes to one service differ in priority, or a route states a latency target.
func (d *Document) SharesLoads() bool {
	priorities := map[string]int{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.LatencyTarget > 0 {
			return true
		}
		for _, t := range r.Targets {
			if t.Weight <= 0 {
				continue
			}
			if p, ok := priorities[t.Service]; ok && p != r.Priority {
				return true
			}
			priorities[t.Service] = r.Priority
		}
	}
	return false
}

// Pick returns the service that a new flow with the given hash goes to.
func (r *Route) Pick(hash uint64) string {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	point := int(hash % uint64(sum))
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// ErrUnavailable means that this instance can't answer at present; another instance
// may be able to.
var ErrUnavailable = errors.New("not available at this instance for now")

// DocumentStore keeps the operator's document.
type DocumentStore interface {
	// PutDocument returns once the document, or a newer one, is committed. A
	// document that is not newer than the one in force changes nothing.
	PutDocument(ctx context.Context, d *Document) error
	// CurrentDocument returns the newest committed document: the read is
	// linearizable. It returns nil if there is none yet, and ErrUnavailable if it
	// can't confirm that the document is current.
	CurrentDocument(ctx context.Context) (*Document, error)
}
