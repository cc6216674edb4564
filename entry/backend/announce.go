// Package backend takes the announcements of backend servers.
package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/plan"
)

// Limits and times of announcements.
const (
	// maxBody bounds an announcement in bytes.
	maxBody = 64 << 10
	// TTL is how long an announcement holds.
	TTL = 10 * time.Second
	// renewInterval is the time after which control hears of an unchanged
	// announcement again.
	renewInterval = 4 * time.Second
)

// Registry keeps the announcements that this instance has taken.
type Registry struct {
	clock catkinrail.Clock
	zone  catkinrail.Zone
	known func(service string) bool

	mu   sync.Mutex
	held map[key]*held
}

type key struct {
	service, name string
}

type held struct {
	plan.Announcement
	heard     time.Time
	delivered time.Time
}

// New returns a registry for backend servers of the zone. Known tells whether a
// service exists.
func New(clock catkinrail.Clock, zone catkinrail.Zone, known func(string) bool) *Registry {
	return &Registry{clock: clock, zone: zone, known: known, held: map[key]*held{}}
}

// Reply answers an announcement.
type Reply struct {
	// TTLSeconds is how long the announcement holds.
	TTLSeconds int `json:"ttl-seconds,omitempty"`
	// Field and Error say what is wrong with it.
	Field string `json:"field,omitempty"`
	Error string `json:"error,omitempty"`
}

// ServeHTTP takes an announcement as JSON.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var a plan.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		answer(w, http.StatusBadRequest, Reply{Error: err.Error()})
		return
	}
	if err := r.take(&a); err != nil {
		reply := Reply{Error: err.Error()}
		var field *catkinrail.FieldError
		if errors.As(err, &field) {
			reply = Reply{Field: field.Field, Error: field.Reason}
		}
		status := http.StatusBadRequest
		if errors.Is(err, plan.ErrNotFound) {
			status = http.StatusNotFound
		}
		answer(w, status, reply)
		return
	}
	answer(w, http.StatusOK, Reply{TTLSeconds: int(TTL.Seconds())})
}

func answer(w http.ResponseWriter, status int, reply Reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The backend server announces itself again if the answer is lost.
	_ = json.NewEncoder(w).Encode(reply)
}

func (r *Registry) take(a *plan.Announcement) error {
	if a.Zone == "" {
		a.Zone = r.zone
	}
	if err := a.Validate(); err != nil {
		return err
	}
	if a.Zone != r.zone {
		return &catkinrail.FieldError{Field: "zone", Reason: fmt.Sprintf("this instance serves zone %q", r.zone)}
	}
	if !r.known(a.Service) {
		return fmt.Errorf("service %q: %w", a.Service, plan.ErrNotFound)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := key{service: a.Service, name: a.Name}
	old := r.held[k]
	if old != nil && old.Incarnation > a.Incarnation {
		return &catkinrail.FieldError{Field: "incarnation", Reason: "is older than one that was announced"}
	}
	h := &held{Announcement: *a, heard: r.clock.Now()}
	if old != nil && same(&old.Announcement, a) {
		h.delivered = old.delivered
	}
	r.held[k] = h
	return nil
}

func same(a, b *plan.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Draining == b.Draining && a.Weight == b.Weight
}

// AddPermanent holds an announcement without end, for stand-ins that announce nothing
// themselves.
func (r *Registry) AddPermanent(a *plan.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const forever = 365 * 24 * time.Hour
	r.held[key{service: a.Service, name: a.Name}] = &held{Announcement: *a, heard: r.clock.Now().Add(forever)}
}

// Due returns the announcements that control should hear of now.
func (r *Registry) Due() []plan.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var due []plan.Announcement
	for k, h := range r.held {
		if now.Sub(h.heard) > TTL {
			delete(r.held, k)
			continue
		}
		if now.Sub(h.delivered) >= renewInterval {
			due = append(due, h.Announcement)
		}
	}
	return due
}

// Delivered notes that control has heard of the announcements.
func (r *Registry) Delivered(list []plan.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range list {
		h := r.held[key{service: list[i].Service, name: list[i].Name}]
		if h != nil && same(&h.Announcement, &list[i]) {
			h.delivered = r.clock.Now()
		}
	}
}
