// Package logs wraps the log library, so that every program logs in the same form.
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"catkinrail.example/catkinrail"
)

// Logger writes structured log lines.
type Logger struct {
	z zerolog.Logger
	w io.Closer
}

// ringLines is the number of lines that are buffered for a slow writer before new
// lines overwrite the oldest.
const ringLines = 2048

// NewRing returns a logger like New's that never blocks on w. Lines are buffered in a
// ring; those that are overwritten before w accepts them are lost, and their number
// is logged.
func NewRing(w io.Writer, s Settings, program, instance string) *Logger {
	ring := diode.NewWriter(w, ringLines, 0, func(missed int) {
		fmt.Fprintf(w, `{"level":"warn","program":%q,"instance":%q,"lost":%d,"message":"log lines lost"}`+"\n", program, instance, missed)
	})
	l := New(ring, s, program, instance)
	l.w = ring
	return l
}

// Close writes the buffered lines.
func (l *Logger) Close() error {
	if l.w == nil {
		return nil
	}
	return l.w.Close()
}

// Settings holds the settings of a program's log.
type Settings struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `yaml:"level"`
}

// Validate implements settings.Section.
func (s *Settings) Validate() []catkinrail.FieldError {
	if s.Level == "" {
		s.Level = "info"
	}
	if _, err := zerolog.ParseLevel(s.Level); err != nil {
		return []catkinrail.FieldError{{Field: "level", Reason: `must be "debug", "info", "warn" or "error"`}}
	}
	return nil
}

// New returns a logger that writes lines of the settings' level and above to w, each
// with the name of the program and of the instance.
func New(w io.Writer, s Settings, program, instance string) *Logger {
	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	z := zerolog.New(w).Level(level).Hook(timestampHook{}).With().Str("program", program).Str("instance", instance).Logger()
	return &Logger{z: z}
}

// timeFormat has milliseconds, because flows can open and end within a second.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// timestampHook adds the wall clock's time to each line.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format(timeFormat))
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return &Logger{z: zerolog.Nop()}
}

// Info logs events of normal operation that an operator wants to see.
func (l *Logger) Info() *zerolog.Event { return l.z.Info() }

// Debug logs details.
func (l *Logger) Debug() *zerolog.Event { return l.z.Debug() }

// Warn logs an error that the program handles itself, with its step and peer.
func (l *Logger) Warn(err error) *zerolog.Event { return withError(l.z.Warn(), err) }

// Error logs an error that needs an operator's attention, with its step and peer.
func (l *Logger) Error(err error) *zerolog.Event { return withError(l.z.Error(), err) }

func withError(e *zerolog.Event, err error) *zerolog.Event {
	if err == nil {
		return e
	}
	if step := catkinrail.StepOf(err); step != "" {
		e = e.Str("step", step)
	}
	if peer := catkinrail.PeerOf(err); peer != "" {
		e = e.Str("peer", peer)
	}
	return e.Err(err)
}

// Limiter allows one log line per interval and counts the lines that it suppresses.
// Use it for lines that packets can trigger, so that they can't flood the log.
type Limiter struct {
	clock    catkinrail.Clock
	interval time.Duration

	mu      sync.Mutex
	next    time.Time
	skipped uint64
}

// NewLimiter returns a limiter that allows one line per interval.
func NewLimiter(clock catkinrail.Clock, interval time.Duration) *Limiter {
	return &Limiter{clock: clock, interval: interval}
}

// Allow reports whether a line may be written now and, if so, how many lines were
// suppressed since the last one.
func (l *Limiter) Allow() (skipped uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if now.Before(l.next) {
		l.skipped++
		return 0, false
	}
	l.next = now.Add(l.interval)
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}

// Budget allows a number of log lines per second and counts the lines that it
// suppresses, so that the log volume stays bounded under load.
type Budget struct {
	clock catkinrail.Clock
	lines int

	mu      sync.Mutex
	second  int64
	used    int
	skipped uint64
}

// NewBudget returns a budget that allows the given number of lines per second.
func NewBudget(clock catkinrail.Clock, lines int) *Budget {
	return &Budget{clock: clock, lines: lines}
}

// Allow reports whether a line may be written now and, if so, how many lines were
// suppressed since the last one.
func (b *Budget) Allow() (skipped uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.clock.Now().Unix(); now != b.second {
		b.second, b.used = now, 0
	}
	if b.used >= b.lines {
		b.skipped++
		return 0, false
	}
	b.used++
	skipped, b.skipped = b.skipped, 0
	return skipped, true
}
