// Package core runs a control instance: it drives the quorum node, writes the
// node's log to disk, applies committed entries, and on the leader advances moves
// and grants leases to entry instances.
package core

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"catkinrail.example/catkinrail"
	"catkinrail.example/catkinrail/coordination/membership"
	"catkinrail.example/catkinrail/coordination/plan"
	"catkinrail.example/catkinrail/coordination/quorum"
	"catkinrail.example/catkinrail/logs"
	"catkinrail.example/catkinrail/state/cluster"
	"catkinrail.example/catkinrail/state/journal"
)

// Intervals and limits of the main loop.
const (
	tickInterval = 10 * time.Millisecond
	// planInterval is the least time between two planning rounds of the leader.
	planInterval = 50 * time.Millisecond
	// maxLogEntries is the length of the log, in entries, from which a snapshot
	// replaces it.
	maxLogEntries = 8192
	// inboxSize is the number of calls that can be queued for the core's goroutine.
	inboxSize = 1024
)

// Errors of requests to a core.
var (
	// ErrNotLeader means that this instance doesn't lead and did not run the request.
	ErrNotLeader = errors.New("not the leader")
	// ErrNotRun means that the request did not run and never will.
	ErrNotRun = errors.New("not run")
	// ErrUnknown means that the request may or may not have run. The client can ask
	// for its outcome or send it again.
	ErrUnknown = errors.New("outcome unknown")
	// ErrLeasesDisabled means that this cluster grants no leases to entry instances.
	ErrLeasesDisabled = errors.New("leases are turned off")
)

// LeaderError is an ErrNotLeader with the address of the leader.
type LeaderError struct {
	// Leader is empty if no leader is known.
	Leader string
	// Votes tells why no leader is known.
	Votes *VoteReport
}

// Error implements error.
func (e *LeaderError) Error() string {
	if e.Leader == "" {
		return fmt.Sprintf("not the leader; the leader is not known: %s", e.Votes)
	}
	return fmt.Sprintf("not the leader; the leader is at %s", e.Leader)
}

// Is makes the error match ErrNotLeader.
func (e *LeaderError) Is(target error) bool {
	return target == ErrNotLeader
}

// Config holds the settings and dependencies of a core.
type Config struct {
	ID     quorum.NodeID
	Name   string
	Timing quorum.Timing
	// Lease is the duration of the leases granted to entry instances.
	Lease time.Duration
	// Seed seeds the node's random election timeouts.
	Seed    uint64
	Clock   catkinrail.Clock
	Log     *logs.Logger
	Journal *journal.Journal
	// Stored is what Journal held when it was opened.
	Stored quorum.Stored
	// Reopen opens the journal again after a failure. If it is nil, the failure
	// ends Run.
	Reopen func() (*journal.Journal, quorum.Stored, error)
	// Membership decides which instances are voters.
	Membership membership.Policy
	// Send sends messages to other control instances. It must not block.
	Send func([]quorum.Message, *quorum.Members)
	// Learn records the address that a node sent with its messages, nil to ignore it. It must
	// not block.
	Learn func(quorum.NodeID, string)
	// Reconnect, unless nil, drops the pending calls to a control instance that has just
	// started. It must not block.
	Reconnect func(quorum.NodeID)
}

// Core is a control instance. Its state belongs to the goroutine of Run. Other
// goroutines use the inbox and the atomic values.
type Core struct {
	cfg Config
	// inbox queues calls for the goroutine of Run.
	inbox  chan func()
	node   *quorum.Node
	state  *cluster.State
	leader leaderState
	// changes are the latest applied changes.
	changes changeLog
	// changed is closed and replaced after each change.
	changed chan struct{}
	// pending are the proposals that are not in the log yet.
	pending []*proposal
	// inFlight is the proposal whose entry is in the log but not committed, or nil.
	inFlight *proposal
	// applied are the proposals that are applied in the state that is published next. They are
	// answered once it is: who gets an answer may read the published state.
	applied []*proposal
	// stopped is closed when Run returns.
	stopped chan struct{}
	reads   []pendingRead
	// publishedMembersIndex is the index of the entry that set the members in the
	// published state.
	publishedMembersIndex uint64
	published             atomic.Pointer[PublishedState]
	// advanced is closed and replaced when a state is published.
	advanced atomic.Pointer[chan struct{}]
	synced   atomic.Int64
	contacts contacts
	votes    atomic.Pointer[VoteReport]
	// held are the identities that this instance answers for beside its own, as logged last.
	held []quorum.NodeID
}

// proposal is a change of the cluster state that is not committed yet: it waits to be
// appended to the log, or its entry is in the log.
type proposal struct {
	// mu guards evaluate.
	mu sync.Mutex
	// evaluate returns the events to propose, and the answer to the request. It is nil once it
	// has been called or nobody waits for the proposal any more: it may hold a large document.
	evaluate evaluateFunc
	answer   *cluster.Answer
	// confirm is set if a majority must confirm the leader before the result of a proposal
	// without events is given.
	confirm bool
	// done receives the result; nil if nobody waits for it.
	done chan Result
	// index and term are those of the proposal's entry in the log.
	index uint64
	term  uint64
}

// evaluateFunc returns the events to propose for a request and the answer to it.
type evaluateFunc func(*cluster.State) ([]cluster.Event, *cluster.Answer, error)

// take returns the function that evaluates the proposal, or nil if it was taken before.
func (p *proposal) take() evaluateFunc {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.evaluate
	p.evaluate = nil
	return f
}

// drop lets go of what the proposal holds, if it has not been evaluated.
func (p *proposal) drop() {
	p.take()
}

// Result is the outcome of a proposal.
type Result struct {
	Answer *cluster.Answer
	Err    error
}

// New returns a core that continues from cfg.Stored.
func New(cfg Config) (*Core, error) {
	c := &Core{
		cfg:     cfg,
		inbox:   make(chan func(), inboxSize),
		state:   cluster.New(),
		changed: make(chan struct{}),
		stopped: make(chan struct{}),
	}
	c.contacts = contacts{heard: map[quorum.NodeID]int64{}, leaderAt: c.now()}
	c.advanced.Store(newSignal())
	if err := c.startFromDisk(); err != nil {
		return nil, err
	}
	c.updateVotes()
	return c, nil
}

func (c *Core) now() int64 {
	return c.cfg.Clock.Now().UnixNano()
}

// Run runs the instance until ctx ends. Without Config.Reopen it also ends at the
// first failure to write or apply, and returns it.
func (c *Core) Run(ctx context.Context) error {
	defer close(c.stopped)
	if err := c.handleReady(); err != nil {
		if err := c.recover(ctx, err); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-c.inbox:
			f()
			c.drainInbox()
		case <-ticker.C:
			c.node.Tick(c.now())
		}
		c.runLeader()
		if err := c.handleReady(); err != nil {
			if err := c.recover(ctx, err); err != nil {
				return err
			}
			continue
		}
		c.confirmReads()
		c.publish()
		c.updateVotes()
	}
}

// drainInbox runs the calls that are queued, so that one write to disk serves
// several of them.
func (c *Core) drainInbox() {
	for range inboxSize {
		select {
		case f := <-c.inbox:
			f()
		default:
			return
		}
	}
}

// do runs f in the core's goroutine and waits until it returns. After an error f may still run: the
// caller must not read what it writes.
func (c *Core) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	select {
	case c.inbox <- func() { f(); close(done) }:
	case <-c.stopped:
		return ErrNotLeader
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-c.stopped:
		return ErrNotLeader
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Step passes messages from other control instances to the node.
func (c *Core) Step(ctx context.Context, list []quorum.Message) error {
	select {
	case c.inbox <- func() {
		for _, m := range list {
			if m.Addr != "" && c.cfg.Learn != nil {
				c.cfg.Learn(m.From, m.Addr)
			}
			if m.Kind == quorum.Probe && c.cfg.Reconnect != nil {
				c.cfg.Reconnect(m.From)
			}
			c.handleMessage(m)
		}
	}:
		return nil
	case <-c.stopped:
		return ErrNotLeader
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleReady does what the node asks for, in the order that it requires: write
// to disk, send, apply.
func (c *Core) handleReady() error {
	for {
		r := c.node.Ready()
		if r.Empty() {
			return nil
		}
		if err := c.save(&r); err != nil {
			return catkinrail.At(err, "write journal", c.cfg.Name)
		}
		c.logHeld()
		if len(r.Messages) > 0 {
			c.cfg.Send(r.Messages, c.node.Members())
		}
		if err := c.applyAll(r.Committed); err != nil {
			return catkinrail.At(err, "apply entry", c.cfg.Name)
		}
		if err := c.compact(); err != nil {
			return catkinrail.At(err, "write snapshot", c.cfg.Name)
		}
		c.runLeader()
	}
}

func (c *Core) save(r *quorum.Ready) error {
	if r.Snapshot == nil {
		return c.cfg.Journal.Save(r.HardState, r.Entries)
	}
	if err := c.cfg.Journal.Save(r.HardState, nil); err != nil {
		return err
	}
	if err := c.cfg.Journal.SaveSnapshot(r.Snapshot, nil); err != nil {
		return err
	}
	if err := c.restore(r.Snapshot); err != nil {
		return err
	}
	return c.cfg.Journal.Save(nil, r.Entries)
}

func (c *Core) restore(s *quorum.Snapshot) error {
	fresh := cluster.New()
	if err := cluster.Decode(s.Data, fresh); err != nil {
		return err
	}
	c.state = fresh
	c.changes = changeLog{}
	c.notify()
	return nil
}

// Keys of log entries.
const (
	// documentKey is the key of entries that only put a document.
	documentKey quorum.EntryKey = 1
)

// entryKey returns the key of the entry for a change with the given events.
func entryKey(events []cluster.Event) quorum.EntryKey {
	if len(events) == 1 && events[0].DocumentPut != nil {
		return documentKey
	}
	return 0
}

// applyAll applies entries in order. Those that a later one replaces are not decoded:
// after a restart the log may hold many documents, and decoding them all would delay the
// recovery.
func (c *Core) applyAll(list []quorum.Entry) error {
	last := map[quorum.EntryKey]int{}
	for i := range list {
		last[list[i].Key] = i
	}
	for i := range list {
		e := &list[i]
		if e.Key != 0 && last[e.Key] > i {
			c.skip(e)
			continue
		}
		if err := c.apply(e); err != nil {
			return err
		}
	}
	return nil
}

// skip applies an entry that a later one replaces, as a change without events.
func (c *Core) skip(e *quorum.Entry) {
	change := cluster.Change{Version: c.state.Version + 1}
	c.state.Version = change.Version
	c.changes.add(change, 0)
	c.notify()
	c.resolveInFlight(e)
}

func (c *Core) apply(e *quorum.Entry) error {
	if e.Kind == quorum.EntryData {
		change, size, err := cluster.DecodeChange(e.Data)
		if err != nil {
			return err
		}
		if err := c.state.Apply(change); err != nil {
			return err
		}
		c.changes.add(change, size)
		c.notify()
	}
	c.resolveInFlight(e)
	return nil
}

func (c *Core) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// resolveInFlight finishes the proposal in flight once the entry at its index is
// committed.
func (c *Core) resolveInFlight(e *quorum.Entry) {
	p := c.inFlight
	if p == nil || e.Index < p.index {
		return
	}
	c.inFlight = nil
	if e.Index == p.index && e.Term == p.term {
		c.applied = append(c.applied, p)
		return
	}
	// Another entry was committed at its index.
	p.finish(Result{Err: ErrNotRun})
}

// answerApplied answers the proposals that are applied in the published state.
func (c *Core) answerApplied() {
	for _, p := range c.applied {
		p.finish(Result{Answer: p.answer})
	}
	c.applied = nil
}

func (p *proposal) finish(r Result) {
	if p.done != nil {
		p.done <- r
	}
}

// compact replaces the applied part of a long log by a snapshot.
func (c *Core) compact() error {
	applied := c.node.AppliedIndex()
	if !c.cfg.Journal.NeedsSnapshot() && c.node.LastIndex()-c.snapshotIndex() < maxLogEntries {
		return nil
	}
	if applied == c.snapshotIndex() {
		return nil
	}
	return c.writeSnapshot()
}

// writeSnapshot replaces the applied part of the log by a snapshot.
func (c *Core) writeSnapshot() error {
	data, err := cluster.Encode(c.state)
	if err != nil {
		return err
	}
	s := c.node.Snapshot(data)
	if err := c.cfg.Journal.SaveSnapshot(s, c.node.EntriesAfter(s.Index)); err != nil {
		return err
	}
	c.node.Compact(s)
	return nil
}

func (c *Core) snapshotIndex() uint64 {
	return c.node.SnapshotIndex()
}

// runLeader does the leader's work: it advances moves, adjusts the voters and
// proposes the next pending change. On other instances it rejects the pending
// proposals.
func (c *Core) runLeader() {
	if c.node.Role() == quorum.Leader && c.node.AppliedIndex() < c.node.CommitIndex() {
		// A message has just committed entries, perhaps the whole log of an earlier process.
		// A term begins with the state after them, and proposals are evaluated against it:
		// handleReady applies them and calls this again.
		return
	}
	now := c.now()
	c.leader.update(c, now)
	if !c.leader.active {
		c.rejectPending()
		return
	}
	c.leader.plan(c, now)
	c.adjustVoters()
	if c.holdPending() {
		return
	}
	for c.inFlight == nil && len(c.pending) > 0 {
		p := c.pending[0]
		c.pending = c.pending[1:]
		c.propose(p)
	}
}

// rejectPending rejects the proposals that are not in the log yet. The one in
// flight stays until its entry is committed or replaced, or until the node is no
// longer leader: then its outcome is unknown.
func (c *Core) rejectPending() {
	for _, p := range c.pending {
		p.finish(Result{Err: c.leaderError()})
	}
	c.pending = nil
	if c.inFlight != nil && c.node.Role() != quorum.Leader {
		c.inFlight.finish(Result{Err: ErrUnknown})
		c.inFlight = nil
	}
}

func (c *Core) leaderError() error {
	m := c.node.Members()
	return &LeaderError{Leader: m.Nodes[c.node.LeaderID()].Addr, Votes: c.Votes()}
}

// propose evaluates the proposal, unless nobody waits for it any more, against the
// applied state and appends its entry to the log. The applied state is the latest since
// only one proposal is in flight at a time.
func (c *Core) propose(p *proposal) {
	evaluate := p.take()
	if evaluate == nil {
		p.finish(Result{Err: ErrUnknown})
		return
	}
	events, answer, err := evaluate(c.state)
	if err == nil {
		err = c.checkFeatures(events)
	}
	if err == nil && len(events) == 0 && p.confirm {
		c.confirmLeader(func(err error) { p.finish(Result{Answer: answer, Err: err}) })
		return
	}
	if err != nil || len(events) == 0 {
		p.finish(Result{Answer: answer, Err: err})
		return
	}
	data, err := cluster.EncodeCompressed(&cluster.Change{Version: c.state.Version + 1, Events: events})
	if err != nil {
		p.finish(Result{Err: err})
		return
	}
	p.answer = answer
	p.index, p.term, err = c.node.Propose(data, entryKey(events))
	if err != nil {
		p.finish(Result{Err: c.leaderError()})
		return
	}
	c.inFlight = p
}

// Submit proposes the events that evaluate returns and waits until they are
// applied. If evaluate returns no events, its answer is returned at once.
func (c *Core) Submit(ctx context.Context, evaluate evaluateFunc) (*cluster.Answer, error) {
	return c.submit(ctx, &proposal{evaluate: evaluate, done: make(chan Result, 1)})
}

// submit queues a proposal and waits for its result. If ctx ends first, the proposal is dropped
// unless it has been evaluated.
func (c *Core) submit(ctx context.Context, p *proposal) (*cluster.Answer, error) {
	defer p.drop()
	if err := c.do(ctx, func() { c.pending = append(c.pending, p) }); err != nil {
		if errors.Is(err, ErrNotLeader) {
			return nil, err
		}
		return nil, ErrUnknown
	}
	select {
	case r := <-p.done:
		return r.Answer, r.Err
	case <-c.stopped:
		return nil, ErrUnknown
	case <-ctx.Done():
		return nil, ErrUnknown
	}
}

// Read calls f with the committed state, if this instance is the leader and a
// majority has confirmed this after the call began.
func (c *Core) Read(ctx context.Context, f func(*cluster.State, *Status)) error {
	if _, err := c.ReadIndex(ctx); err != nil {
		return err
	}
	return c.do(ctx, func() { f(c.state, c.status()) })
}

// Start runs the core in a goroutine of the group.
func (c *Core) Start(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return c.Run(ctx) })
}

// Local calls f with the state that this instance has applied, which may be out
// of date.
func (c *Core) Local(ctx context.Context, f func(*cluster.State, *Status)) error {
	return c.do(ctx, func() { f(c.state, c.status()) })
}

// evaluatePlan adapts a function that plans events to a proposal.
func evaluatePlan(events func(*cluster.State) []cluster.Event) evaluateFunc {
	return func(s *cluster.State) ([]cluster.Event, *cluster.Answer, error) {
		return events(s), nil, nil
	}
}

// SubmitEvents proposes the events that f returns.
func (c *Core) SubmitEvents(ctx context.Context, f func(*cluster.State) ([]cluster.Event, error)) error {
	_, err := c.Submit(ctx, func(s *cluster.State) ([]cluster.Event, *cluster.Answer, error) {
		events, err := f(s)
		return events, nil, err
	})
	return err
}

// Command carries out an operator's command.
func (c *Core) Command(ctx context.Context, cmd *plan.Command) (*cluster.Answer, error) {
	return c.Submit(ctx, func(s *cluster.State) ([]cluster.Event, *cluster.Answer, error) {
		return plan.Evaluate(s, cmd)
	})
}
