// Package backend receives the announcements of backend servers.
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

// Limits and timing of announcements.
const (
	// maxBody is the largest size of an announcement in bytes.
	maxBody = 64 << 10
	// TTL is how long an announcement is valid.
	TTL = 10 * time.Second
	// renewInterval is the interval at which an unchanged announcement is sent to
	// control again.
	renewInterval = 4 * time.Second
)

// Registry holds the valid announcements that this instance has received.
type Registry struct {
	clock        catkinrail.Clock
	zone         catkinrail.Zone
	serviceKnown func(service string) bool

	mu            sync.Mutex
	announcements map[key]*announcement
}

type key struct {
	service, name string
}

type announcement struct {
	plan.Announcement
	receivedAt  time.Time
	deliveredAt time.Time
}

// New returns a registry for backend servers of the zone. The function known reports
// whether a service exists.
func New(clock catkinrail.Clock, zone catkinrail.Zone, known func(string) bool) *Registry {
	return &Registry{clock: clock, zone: zone, serviceKnown: known, announcements: map[key]*announcement{}}
}

// Reply is the HTTP reply to an announcement.
type Reply struct {
	// TTLSeconds is how long the announcement is valid.
	TTLSeconds int `json:"ttl-seconds,omitempty"`
	// Field names the invalid field, if there is one, and Error the reason.
	Field string `json:"field,omitempty"`
	Error string `json:"error,omitempty"`
}

// ServeHTTP receives an announcement as JSON.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var a plan.Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		writeReply(w, http.StatusBadRequest, Reply{Error: err.Error()})
		return
	}
	if err := r.accept(&a); err != nil {
		reply := Reply{Error: err.Error()}
		var field *catkinrail.FieldError
		if errors.As(err, &field) {
			reply = Reply{Field: field.Field, Error: field.Reason}
		}
		status := http.StatusBadRequest
		if errors.Is(err, plan.ErrNotFound) {
			status = http.StatusNotFound
		}
		writeReply(w, status, reply)
		return
	}
	writeReply(w, http.StatusOK, Reply{TTLSeconds: int(TTL.Seconds())})
}

func writeReply(w http.ResponseWriter, status int, reply Reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The backend server announces itself again if the reply is lost.
	_ = json.NewEncoder(w).Encode(reply)
}

func (r *Registry) accept(a *plan.Announcement) error {
	if a.Zone == "" {
		a.Zone = r.zone
	}
	if err := a.Validate(); err != nil {
		return err
	}
	if a.Zone != r.zone {
		return &catkinrail.FieldError{Field: "zone", Reason: fmt.Sprintf("this instance serves zone %q", r.zone)}
	}
	if !r.serviceKnown(a.Service) {
		return fmt.Errorf("service %q: %w", a.Service, plan.ErrNotFound)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := key{service: a.Service, name: a.Name}
	old := r.announcements[k]
	if old != nil && old.Incarnation > a.Incarnation {
		return &catkinrail.FieldError{Field: "incarnation", Reason: "is older than one that was announced"}
	}
	entry := &announcement{Announcement: *a, receivedAt: r.clock.Now()}
	if old != nil && sameAnnouncement(&old.Announcement, a) {
		entry.deliveredAt = old.deliveredAt
	}
	r.announcements[k] = entry
	return nil
}

func sameAnnouncement(a, b *plan.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Draining == b.Draining && a.Weight == b.Weight
}

// AddPermanent adds an announcement that is valid for a year, for emulated backend
// servers that don't announce themselves.
func (r *Registry) AddPermanent(a *plan.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	const forever = 365 * 24 * time.Hour
	r.announcements[key{service: a.Service, name: a.Name}] = &announcement{Announcement: *a, receivedAt: r.clock.Now().Add(forever)}
}

// Due returns the announcements to send to control now: new, changed and due for
// renewal. It removes those that have expired.
func (r *Registry) Due() []plan.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	var due []plan.Announcement
	for k, entry := range r.announcements {
		if now.Sub(entry.receivedAt) > TTL {
			delete(r.announcements, k)
			continue
		}
		if now.Sub(entry.deliveredAt) >= renewInterval {
			due = append(due, entry.Announcement)
		}
	}
	return due
}

// MarkDelivered records that control has received the announcements.
func (r *Registry) MarkDelivered(list []plan.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range list {
		entry := r.announcements[key{service: list[i].Service, name: list[i].Name}]
		if entry != nil && sameAnnouncement(&entry.Announcement, &list[i]) {
			entry.deliveredAt = r.clock.Now()
		}
	}
}
